//! What goes round the fleet besides who is alive: who left, who is shut out or let in again, whose links are
//! cut.
//!
//! Notices ride on `foca`'s own messages. Of one kind about one member the highest order holds; what is older
//! or held already is not passed on.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::{Buf, BufMut};
use serde::{Deserialize, Serialize};

use crate::datagram::{put_name, take_name};
use crate::ident::{Ident, Incarnation, Name};

/// The longest reason, in bytes.
const LONGEST_REASON: usize = 96;
/// A notice names no more members than so many.
pub(crate) const MOST_NAMED: usize = 12;

/// Why one is shut out, in some words.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reason(Box<str>);

impl Reason {
    /// What is longer than 96 bytes is cut.
    pub fn new(why: &str) -> Self {
        let end = (0..=why.len().min(LONGEST_REASON)).rev().find(|at| why.is_char_boundary(*at)).unwrap_or(0);
        Reason(why[..end].into())
    }

    pub fn as_str(&self) -> &str {
        &self.0
    }

    pub(crate) fn put(&self, out: &mut Vec<u8>) {
        out.put_u8(self.0.len() as u8);
        out.put_slice(self.0.as_bytes());
    }

    pub(crate) fn take(from: &mut impl Buf) -> Option<Self> {
        let len = usize::from(from.try_get_u8().ok()?);
        if len > LONGEST_REASON || from.remaining() < len {
            return None;
        }
        let mut bytes = [0; LONGEST_REASON];
        from.copy_to_slice(&mut bytes[..len]);
        Some(Reason(std::str::from_utf8(&bytes[..len]).ok()?.into()))
    }
}

/// What is told about one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "notice")]
pub enum Notice {
    /// It said that it goes, in this incarnation.
    Left {
        name: Name,
        incarnation: Incarnation,
    },
    /// It may not take part. The higher number holds against `LetIn`; the same number keeps it out.
    ShutOut {
        name: Name,
        number: u32,
        why: Reason,
    },
    LetIn {
        name: Name,
        number: u32,
    },
    /// What this member says of its links: whom it does not hear and reach directly, or, where these are
    /// more, the only ones that it does.
    Links {
        name: Name,
        incarnation: Incarnation,
        order: u32,
        only: bool,
        named: Vec<Name>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Sort {
    Left,
    Out,
    Links,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Key(Sort, Name);

impl foca::Invalidates for Key {
    fn invalidates(&self, other: &Self) -> bool {
        self == other
    }
}

impl Notice {
    pub fn name(&self) -> &Name {
        let (Notice::Left { name, .. }
        | Notice::ShutOut { name, .. }
        | Notice::LetIn { name, .. }
        | Notice::Links { name, .. }) = self;
        name
    }

    fn key(&self) -> Key {
        let sort = match self {
            Notice::Left { .. } => Sort::Left,
            Notice::ShutOut { .. } | Notice::LetIn { .. } => Sort::Out,
            Notice::Links { .. } => Sort::Links,
        };
        Key(sort, self.name().clone())
    }

    /// What is higher holds.
    fn order(&self) -> (u64, u64) {
        match self {
            Notice::Left { incarnation, .. } => (incarnation.0, 0),
            Notice::ShutOut { number, .. } => (u64::from(*number), 1),
            Notice::LetIn { number, .. } => (u64::from(*number), 0),
            Notice::Links { incarnation, order, .. } => (incarnation.0, u64::from(*order)),
        }
    }

    pub(crate) fn written(&self) -> Vec<u8> {
        let mut out = Vec::new();
        match self {
            Notice::Left { name, incarnation } => {
                out.put_u8(1);
                put_name(&mut out, name);
                out.put_u64(incarnation.0);
            }
            Notice::ShutOut { name, number, why } => {
                out.put_u8(2);
                put_name(&mut out, name);
                out.put_u32(*number);
                why.put(&mut out);
            }
            Notice::LetIn { name, number } => {
                out.put_u8(3);
                put_name(&mut out, name);
                out.put_u32(*number);
            }
            Notice::Links { name, incarnation, order, only, named } => {
                out.put_u8(4);
                put_name(&mut out, name);
                out.put_u64(incarnation.0);
                out.put_u32(*order);
                out.put_u8(u8::from(*only));
                out.put_u8(named.len() as u8);
                named.iter().for_each(|n| {
                    put_name(&mut out, n);
                });
            }
        }
        out
    }

    pub(crate) fn read(mut from: &[u8]) -> Option<Self> {
        let kind = from.try_get_u8().ok()?;
        let name = take_name(&mut from)?;
        let notice = match kind {
            1 => Notice::Left { name, incarnation: Incarnation(from.try_get_u64().ok()?) },
            2 => {
                let number = from.try_get_u32().ok()?;
                Notice::ShutOut { name, number, why: Reason::take(&mut from)? }
            }
            3 => Notice::LetIn { name, number: from.try_get_u32().ok()? },
            4 => {
                let incarnation = Incarnation(from.try_get_u64().ok()?);
                let order = from.try_get_u32().ok()?;
                let only = from.try_get_u8().ok()? == 1;
                let count = usize::from(from.try_get_u8().ok()?);
                if count > MOST_NAMED {
                    return None;
                }
                let named = (0..count).map(|_| take_name(&mut from)).collect::<Option<Vec<_>>>()?;
                Notice::Links { name, incarnation, order, only, named }
            }
            _ => return None,
        };
        from.is_empty().then_some(notice)
    }
}

/// All notices held, and those that came since they were last taken.
#[derive(Debug, Default)]
pub(crate) struct Held {
    held: HashMap<Key, Notice>,
    fresh: Vec<Notice>,
    most: usize,
    /// Goes round once more, though it is held already.
    again: Option<Notice>,
}

impl Held {
    /// Takes it in where it says more than what is held.
    fn take_in(&mut self, notice: Notice) -> Option<Key> {
        let key = notice.key();
        if self.again.take_if(|again| *again == notice).is_some() {
            return Some(key);
        }
        let held = self.held.get(&key);
        if held.is_some_and(|held| held.order() >= notice.order()) || (held.is_none() && self.is_full()) {
            return None;
        }
        self.held.insert(key.clone(), notice.clone());
        self.fresh.push(notice);
        Some(key)
    }

    fn is_full(&self) -> bool {
        // Three kinds a member.
        self.held.len() >= 3 * self.most
    }

    pub fn shut_out(&self, name: &Name) -> Option<&Reason> {
        match self.held.get(&Key(Sort::Out, name.clone())) {
            Some(Notice::ShutOut { why, .. }) => Some(why),
            _ => None,
        }
    }

    /// The number of the last word on whether this one may take part.
    pub fn last_number(&self, name: &Name) -> u32 {
        match self.held.get(&Key(Sort::Out, name.clone())) {
            Some(Notice::ShutOut { number, .. } | Notice::LetIn { number, .. }) => *number,
            _ => 0,
        }
    }

    pub fn links(&self, name: &Name) -> Option<(Incarnation, bool, &[Name])> {
        match self.held.get(&Key(Sort::Links, name.clone())) {
            Some(Notice::Links { incarnation, only, named, .. }) => Some((*incarnation, *only, named)),
            _ => None,
        }
    }

    pub fn left(&self, name: &Name) -> Option<Incarnation> {
        match self.held.get(&Key(Sort::Left, name.clone())) {
            Some(Notice::Left { incarnation, .. }) => Some(*incarnation),
            _ => None,
        }
    }

    pub fn take_fresh(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.fresh)
    }

    /// Those that must not get lost: who is shut out, or let in again, is told again when somebody comes
    /// back.
    pub fn lasting(&self) -> Vec<Notice> {
        let lasts = |n: &&Notice| matches!(n, Notice::ShutOut { .. } | Notice::LetIn { .. });
        self.held.values().filter(lasts).cloned().collect()
    }

    pub fn tell_again(&mut self, notice: &Notice) {
        self.again = Some(notice.clone());
    }
}

/// The side of it that `foca` holds; the room has the other.
#[derive(Clone, Debug)]
pub(crate) struct Board(Arc<Mutex<Held>>);

impl Board {
    pub fn new(most: usize) -> Self {
        Board(Arc::new(Mutex::new(Held { most, ..Held::default() })))
    }

    /// Never held over anything but a look or a change.
    pub fn held(&self) -> MutexGuard<'_, Held> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }
}

#[derive(Debug, thiserror::Error)]
#[error("a notice can't be read")]
pub(crate) struct Unreadable;

impl foca::BroadcastHandler<Ident> for Board {
    type Key = Key;
    type Error = Unreadable;

    fn receive_item(&mut self, data: &[u8], _sender: Option<&Ident>) -> Result<Option<Key>, Unreadable> {
        let notice = Notice::read(data).ok_or(Unreadable)?;
        Ok(self.held().take_in(notice))
    }
}

#[cfg(test)]
mod tests;
