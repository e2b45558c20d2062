//! Notices: gossip beside the membership state of `foca`. They report members that left, members that an
//! operator shut out or let in again, and the state of links.
//!
//! Notices are piggybacked on the messages of `foca`. For each topic and member the newest notice is
//! valid; older and known ones are not forwarded.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::{Buf, BufMut};
use serde::{Deserialize, Serialize};

use crate::identity::{Identity, Incarnation, Name};
use crate::wire::{decode_name, encode_name};

/// Length limit of a reason, in bytes.
const MAX_REASON_BYTES: usize = 96;
/// Maximum number of members in a link report.
pub(crate) const MAX_LISTED_MEMBERS: usize = 12;
/// Number of topics: departure, admission and links.
const TOPICS_PER_MEMBER: usize = 3;

/// Notice kinds on the wire.
mod kind {
    pub const LEFT: u8 = 1;
    pub const SHUT_OUT: u8 = 2;
    pub const LET_IN: u8 = 3;
    pub const LINKS: u8 = 4;
}

/// An operator's reason for shutting a member out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShutOutReason(Box<str>);

impl ShutOutReason {
    /// Creates a reason. Truncates the text to at most 96 bytes.
    pub fn new(text: &str) -> Self {
        let longest = text.len().min(MAX_REASON_BYTES);
        let end = (0..=longest).rev().find(|at| text.is_char_boundary(*at)).unwrap_or(0);
        ShutOutReason(text[..end].into())
    }

    /// Text of the reason.
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
    /// The member announced that it leaves.
    Left {
        /// Name of the member.
        name: Name,
        /// Incarnation of the member that the notice is about.
        incarnation: Incarnation,
    },
    /// An operator shut the member out.
    ShutOut {
        /// Name of the member.
        name: Name,
        /// Admission number. The notice with the highest number is valid; this one if it equals that of
        /// a `LetIn`.
        number: u32,
        /// Reason that the operator gave.
        #[serde(rename = "why")]
        reason: ShutOutReason,
    },
    /// An operator let the member in again.
    LetIn {
        /// Name of the member.
        name: Name,
        /// Admission number. Must be higher than that of a `ShutOut` to be valid.
        number: u32,
    },
    /// Link report of the member.
    Links {
        /// Name of the member.
        name: Name,
        /// Incarnation of the member that the notice is about.
        incarnation: Incarnation,
        /// Sequence number of the report within the incarnation.
        #[serde(rename = "order")]
        sequence: u32,
        /// `true` if `members` are the only members that it reaches directly; `false` if they are the
        /// ones whose link is cut.
        #[serde(rename = "only")]
        lists_reachable: bool,
        /// At most 12 members, which `lists_reachable` describes.
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

/// Topic and member of a notice. A newer notice with the same key replaces it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct NoticeKey(Topic, Name);

impl foca::Invalidates for NoticeKey {
    fn invalidates(&self, other: &Self) -> bool {
        self == other
    }
}

impl Notice {
    /// Name of the member that the notice is about.
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

    /// Order of the notices with one key: the highest is valid.
    fn precedence(&self) -> (u64, u64) {
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
                if count > MAX_LISTED_MEMBERS {
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

/// Link report of a member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinkReport<'a> {
    /// `true` if `members` are the only reachable ones; `false` if they are the ones whose link is cut.
    pub lists_reachable: bool,
    pub members: &'a [Name],
}

impl LinkReport<'_> {
    /// Returns `true` if the report counts the member as reachable.
    pub fn reaches(&self, name: &Name) -> bool {
        self.members.contains(name) == self.lists_reachable
    }

    /// Returns `true` if the report lists the member among the only reachable ones.
    pub fn lists_as_reachable(&self, name: &Name) -> bool {
        self.lists_reachable && self.members.contains(name)
    }
}

/// All valid notices, and those that were new since the last call of [`Notices::take_new`].
#[derive(Debug, Default)]
pub(crate) struct Notices {
    current: HashMap<NoticeKey, Notice>,
    new: Vec<Notice>,
    max_members: usize,
    /// Known notice that is forwarded once more.
    resend: Option<Notice>,
}

impl Notices {
    /// Stores a notice that is newer than the known one with its key. Returns the key if the notice must be
    /// forwarded, and `None` if it is known, older, or over the limit.
    fn insert(&mut self, notice: Notice) -> Option<NoticeKey> {
        let key = notice.key();
        if self.resend.take_if(|resend| *resend == notice).is_some() {
            return Some(key);
        }
        let known = self.current.get(&key);
        let is_known = known.is_some_and(|known| known.precedence() >= notice.precedence());
        if is_known || known.is_none() && self.is_full() {
            return None;
        }
        self.current.insert(key.clone(), notice.clone());
        self.new.push(notice);
        Some(key)
    }

    fn is_full(&self) -> bool {
        self.current.len() >= TOPICS_PER_MEMBER * self.max_members
    }

    fn get(&self, topic: Topic, name: &Name) -> Option<&Notice> {
        self.current.get(&NoticeKey(topic, name.clone()))
    }

    /// Reason for which a member is shut out, or `None` if it isn't.
    pub fn shut_out(&self, name: &Name) -> Option<&ShutOutReason> {
        match self.get(Topic::Admission, name) {
            Some(Notice::ShutOut { reason, .. }) => Some(reason),
            _ => None,
        }
    }

    /// Number of the member's last admission notice, or 0 if there is none.
    pub fn admission_number(&self, name: &Name) -> u32 {
        match self.get(Topic::Admission, name) {
            Some(Notice::ShutOut { number, .. } | Notice::LetIn { number, .. }) => *number,
            _ => 0,
        }
    }

    /// Last link report of the member, or `None` if there is none.
    pub fn link_report(&self, name: &Name) -> Option<LinkReport<'_>> {
        match self.get(Topic::Links, name) {
            Some(Notice::Links { lists_reachable, members, .. }) => {
                Some(LinkReport { lists_reachable: *lists_reachable, members })
            }
            _ => None,
        }
    }

    /// Last incarnation in which the member left, or `None` if it never did.
    pub fn left_incarnation(&self, name: &Name) -> Option<Incarnation> {
        match self.get(Topic::Left, name) {
            Some(Notice::Left { incarnation, .. }) => Some(*incarnation),
            _ => None,
        }
    }

    /// Removes and returns the notices that were new since the last call.
    pub fn take_new(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.new)
    }

    /// Returns the admission notices. They are gossiped again when a member becomes present.
    pub fn durable(&self) -> Vec<Notice> {
        let is_durable = |notice: &&Notice| matches!(notice, Notice::ShutOut { .. } | Notice::LetIn { .. });
        self.current.values().filter(is_durable).cloned().collect()
    }

    /// Marks a known notice so that the next [`Self::insert`] of it forwards it once more.
    pub fn resend(&mut self, notice: &Notice) {
        self.resend = Some(notice.clone());
    }
}

/// Notices shared between `foca`, which receives and gossips them, and [`crate::Membership`], which
/// applies them.
#[derive(Clone, Debug)]
pub(crate) struct SharedNotices(Arc<Mutex<Notices>>);

impl SharedNotices {
    pub fn new(max_members: usize) -> Self {
        SharedNotices(Arc::new(Mutex::new(Notices { max_members, ..Notices::default() })))
    }

    /// Locks the notices. Must not be held during a call of `foca`, which takes the same lock.
    pub fn lock(&self) -> MutexGuard<'_, Notices> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Debug, thiserror::Error)]
#[error("malformed notice")]
pub(crate) struct MalformedNotice;

impl foca::BroadcastHandler<Identity> for SharedNotices {
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
