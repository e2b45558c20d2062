//! Notices: what spreads through the fleet besides who is alive. Who left, who is shut out or let in again, whose
//! links are cut.
//!
//! Notices ride on `foca`'s own messages. Of one kind about one member the newest holds; an older or known one is
//! not sent on.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::{Buf, BufMut};
use serde::{Deserialize, Serialize};

use crate::identity::{Identity, Incarnation, Name};
use crate::wire::{decode_name, encode_name};

/// Longest reason, in bytes.
const MAX_REASON_BYTES: usize = 96;
/// Most members that one notice names.
pub(crate) const MAX_NAMED_MEMBERS: usize = 12;
/// Left, shut out or let in, links.
const NOTICE_KINDS: usize = 3;

/// Kinds of notices on the wire.
mod kind {
    pub const LEFT: u8 = 1;
    pub const SHUT_OUT: u8 = 2;
    pub const LET_IN: u8 = 3;
    pub const LINKS: u8 = 4;
}

/// Why a member is shut out, in some words.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShutOutReason(Box<str>);

impl ShutOutReason {
    /// Cuts the text to 96 bytes.
    pub fn new(text: &str) -> Self {
        let longest = text.len().min(MAX_REASON_BYTES);
        let end = (0..=longest).rev().find(|at| text.is_char_boundary(*at)).unwrap_or(0);
        ShutOutReason(text[..end].into())
    }

    /// The text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    pub(crate) fn encode(&self, out: &mut Vec<u8>) {
        out.put_u8(self.0.len() as u8);
        out.put_slice(self.0.as_bytes());
    }

    pub(crate) fn decode(from: &mut impl Buf) -> Option<Self> {
        let length = usize::from(from.try_get_u8().ok()?);
        if length > MAX_REASON_BYTES || from.remaining() < length {
            return None;
        }
        let mut bytes = [0; MAX_REASON_BYTES];
        from.copy_to_slice(&mut bytes[..length]);
        Some(ShutOutReason(std::str::from_utf8(&bytes[..length]).ok()?.into()))
    }
}

/// A notice about one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "notice")]
pub enum Notice {
    /// It said that it leaves.
    Left {
        /// The member.
        name: Name,
        /// In this incarnation.
        incarnation: Incarnation,
    },
    /// It may not take part.
    ShutOut {
        /// The member.
        name: Name,
        /// The higher number holds against `LetIn`; of equal ones, this notice does.
        number: u32,
        /// Why.
        #[serde(rename = "why")]
        reason: ShutOutReason,
    },
    /// It may take part again.
    LetIn {
        /// The member.
        name: Name,
        /// The higher number holds against `ShutOut`.
        number: u32,
    },
    /// What the member says of its links.
    Links {
        /// The member.
        name: Name,
        /// In this incarnation.
        incarnation: Incarnation,
        /// Grows with each such notice of the incarnation.
        #[serde(rename = "order")]
        sequence: u32,
        /// False: `named` are those that it does not hear and reach directly. True: they are the only ones that
        /// it does.
        #[serde(rename = "only")]
        lists_reachable: bool,
        /// At most 12 members.
        #[serde(rename = "named")]
        members: Vec<Name>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Topic {
    Left,
    Admission,
    Links,
}

/// What a notice is about: a newer one of the same key replaces it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct NoticeKey(Topic, Name);

impl foca::Invalidates for NoticeKey {
    fn invalidates(&self, other: &Self) -> bool {
        self == other
    }
}

impl Notice {
    /// The member that it is about.
    pub fn name(&self) -> &Name {
        let (Notice::Left { name, .. }
        | Notice::ShutOut { name, .. }
        | Notice::LetIn { name, .. }
        | Notice::Links { name, .. }) = self;
        name
    }

    fn key(&self) -> NoticeKey {
        let topic = match self {
            Notice::Left { .. } => Topic::Left,
            Notice::ShutOut { .. } | Notice::LetIn { .. } => Topic::Admission,
            Notice::Links { .. } => Topic::Links,
        };
        NoticeKey(topic, self.name().clone())
    }

    /// Of two notices with one key the higher one holds.
    fn order(&self) -> (u64, u64) {
        match self {
            Notice::Left { incarnation, .. } => (incarnation.0, 0),
            Notice::ShutOut { number, .. } => (u64::from(*number), 1),
            Notice::LetIn { number, .. } => (u64::from(*number), 0),
            Notice::Links { incarnation, sequence, .. } => (incarnation.0, u64::from(*sequence)),
        }
    }

    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut out = Vec::new();
        match self {
            Notice::Left { name, incarnation } => {
                out.put_u8(kind::LEFT);
                encode_name(&mut out, name);
                out.put_u64(incarnation.0);
            }
            Notice::ShutOut { name, number, reason } => {
                out.put_u8(kind::SHUT_OUT);
                encode_name(&mut out, name);
                out.put_u32(*number);
                reason.encode(&mut out);
            }
            Notice::LetIn { name, number } => {
                out.put_u8(kind::LET_IN);
                encode_name(&mut out, name);
                out.put_u32(*number);
            }
            Notice::Links { name, incarnation, sequence, lists_reachable, members } => {
                out.put_u8(kind::LINKS);
                encode_name(&mut out, name);
                out.put_u64(incarnation.0);
                out.put_u32(*sequence);
                out.put_u8(u8::from(*lists_reachable));
                out.put_u8(members.len() as u8);
                for name in members {
                    encode_name(&mut out, name);
                }
            }
        }
        out
    }

    pub(crate) fn decode(mut from: &[u8]) -> Option<Self> {
        let kind = from.try_get_u8().ok()?;
        let name = decode_name(&mut from)?;
        let notice = match kind {
            kind::LEFT => Notice::Left { name, incarnation: Incarnation(from.try_get_u64().ok()?) },
            kind::SHUT_OUT => {
                let number = from.try_get_u32().ok()?;
                Notice::ShutOut { name, number, reason: ShutOutReason::decode(&mut from)? }
            }
            kind::LET_IN => Notice::LetIn { name, number: from.try_get_u32().ok()? },
            kind::LINKS => {
                let incarnation = Incarnation(from.try_get_u64().ok()?);
                let sequence = from.try_get_u32().ok()?;
                let lists_reachable = from.try_get_u8().ok()? == 1;
                let count = usize::from(from.try_get_u8().ok()?);
                if count > MAX_NAMED_MEMBERS {
                    return None;
                }
                let members = (0..count).map(|_| decode_name(&mut from)).collect::<Option<Vec<_>>>()?;
                Notice::Links { name, incarnation, sequence, lists_reachable, members }
            }
            _ => return None,
        };
        from.is_empty().then_some(notice)
    }
}

/// What a member said of its links.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinkReport<'a> {
    /// Whether `named` are the only members that it hears, or those that it does not.
    pub lists_reachable: bool,
    pub members: &'a [Name],
}

impl LinkReport<'_> {
    /// Whether it says that it hears the member.
    pub fn hears(&self, name: &Name) -> bool {
        self.members.contains(name) == self.lists_reachable
    }

    /// Whether it names the member among the only ones that it hears.
    pub fn hears_only_few_with(&self, name: &Name) -> bool {
        self.lists_reachable && self.members.contains(name)
    }
}

/// All notices that hold, and those that are new.
#[derive(Debug, Default)]
pub(crate) struct Notices {
    current: HashMap<NoticeKey, Notice>,
    new: Vec<Notice>,
    max_members: usize,
    /// Sent on once more, though it is known.
    repeated: Option<Notice>,
}

impl Notices {
    /// Takes a notice in where it is newer than what is known. Returns its key where it is to be sent on.
    fn insert(&mut self, notice: Notice) -> Option<NoticeKey> {
        let key = notice.key();
        if self.repeated.take_if(|repeated| *repeated == notice).is_some() {
            return Some(key);
        }
        let known = self.current.get(&key);
        let is_known = known.is_some_and(|known| known.order() >= notice.order());
        if is_known || known.is_none() && self.is_full() {
            return None;
        }
        self.current.insert(key.clone(), notice.clone());
        self.new.push(notice);
        Some(key)
    }

    fn is_full(&self) -> bool {
        self.current.len() >= NOTICE_KINDS * self.max_members
    }

    fn get(&self, topic: Topic, name: &Name) -> Option<&Notice> {
        self.current.get(&NoticeKey(topic, name.clone()))
    }

    /// Why a member is shut out, if it is.
    pub fn shut_out(&self, name: &Name) -> Option<&ShutOutReason> {
        match self.get(Topic::Admission, name) {
            Some(Notice::ShutOut { reason, .. }) => Some(reason),
            _ => None,
        }
    }

    /// The number of the last notice on whether the member may take part.
    pub fn admission_number(&self, name: &Name) -> u32 {
        match self.get(Topic::Admission, name) {
            Some(Notice::ShutOut { number, .. } | Notice::LetIn { number, .. }) => *number,
            _ => 0,
        }
    }

    /// What the member said of its links.
    pub fn link_report(&self, name: &Name) -> Option<LinkReport<'_>> {
        match self.get(Topic::Links, name) {
            Some(Notice::Links { lists_reachable, members, .. }) => {
                Some(LinkReport { lists_reachable: *lists_reachable, members })
            }
            _ => None,
        }
    }

    /// The incarnation in which the member left.
    pub fn left(&self, name: &Name) -> Option<Incarnation> {
        match self.get(Topic::Left, name) {
            Some(Notice::Left { incarnation, .. }) => Some(*incarnation),
            _ => None,
        }
    }

    /// Takes the notices that came since the last call.
    pub fn take_new(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.new)
    }

    /// Notices that must not get lost: who is shut out or let in again is told once more when a member comes
    /// back.
    pub fn durable(&self) -> Vec<Notice> {
        let is_durable = |notice: &&Notice| matches!(notice, Notice::ShutOut { .. } | Notice::LetIn { .. });
        self.current.values().filter(is_durable).cloned().collect()
    }

    /// Has a known notice be sent on once more.
    pub fn repeat(&mut self, notice: &Notice) {
        self.repeated = Some(notice.clone());
    }
}

/// The notices, shared between `foca`, which brings and spreads them, and [`crate::Membership`], which acts on
/// them.
#[derive(Clone, Debug)]
pub(crate) struct NoticeBoard(Arc<Mutex<Notices>>);

impl NoticeBoard {
    pub fn new(max_members: usize) -> Self {
        NoticeBoard(Arc::new(Mutex::new(Notices { max_members, ..Notices::default() })))
    }

    /// Not to be held over a call into `foca`, which locks it, too.
    pub fn lock(&self) -> MutexGuard<'_, Notices> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Debug, thiserror::Error)]
#[error("a notice can't be read")]
pub(crate) struct MalformedNotice;

impl foca::BroadcastHandler<Identity> for NoticeBoard {
    type Key = NoticeKey;
    type Error = MalformedNotice;

    fn receive_item(
        &mut self,
        data: &[u8],
        _sender: Option<&Identity>,
    ) -> Result<Option<NoticeKey>, MalformedNotice> {
        let notice = Notice::decode(data).ok_or(MalformedNotice)?;
        Ok(self.lock().insert(notice))
    }
}

#[cfg(test)]
mod tests;
