//! Names, incarnations and identities.

use std::cmp::Ordering;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::net::SocketAddrV4;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Longest name of a member, a zone or a fleet, in bytes. Two of them and the rest of a header leave room for
/// some forty members in a datagram.
pub const MAX_NAME_BYTES: usize = 32;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Why a text is no name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a valid name: expected 1 to {MAX_NAME_BYTES} characters of a-z, 0-9, '-', '_' and '.'")]
pub struct InvalidName(
    /// Its beginning.
    pub String,
);

/// The name of a member, a zone or a fleet: 1 to 32 of `a-z`, `0-9`, `-`, `_`, `.`.
#[derive(Clone, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name {
    text: Arc<str>,
    /// Compared first: `foca` goes through all members for each one that it is told of.
    key: NameKey,
}

/// 64 bits that stand for a name. Among 100,000 names two equal keys are not to be expected in a billion fleets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NameKey(u64);

impl NameKey {
    /// FNV-1a: the same everywhere and for ever, and no secret.
    fn new(text: &str) -> Self {
        let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        NameKey(text.bytes().fold(FNV_OFFSET, mix))
    }

    pub(crate) fn to_bits(self) -> u64 {
        self.0
    }
}

impl Name {
    /// Checks a text.
    ///
    /// # Errors
    /// It is empty, too long, or has a character that is not allowed.
    pub fn new(name: &str) -> Result<Self, InvalidName> {
        let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b);
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(is_allowed) {
            return Err(InvalidName(name.chars().take(2 * MAX_NAME_BYTES).collect()));
        }
        Ok(Name { text: name.into(), key: NameKey::new(name) })
    }

    /// The text.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// The key.
    pub fn key(&self) -> NameKey {
        self.key
    }
}

impl PartialEq for Name {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key && self.text == other.text
    }
}

impl Eq for Name {}

impl PartialOrd for Name {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Name {
    fn cmp(&self, other: &Self) -> Ordering {
        self.text.cmp(&other.text)
    }
}

impl Hash for Name {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key.0.hash(state);
    }
}

impl TryFrom<String> for Name {
    type Error = InvalidName;
    fn try_from(name: String) -> Result<Self, InvalidName> {
        Name::new(&name)
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.text.to_string()
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.text)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

/// Counts the lives of a name: one more at each start, and each time a member was declared failed and came back.
/// It is on disk before anybody is told of it, so that it never goes back; no clock goes into it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// The one after it.
    pub fn next(self) -> Self {
        Incarnation(self.0.saturating_add(1))
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One life of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The member's name.
    pub name: Name,
    /// Its zone.
    #[serde(rename = "hall")]
    pub zone: Name,
    /// Where others reach it.
    pub addr: SocketAddrV4,
    /// Which of its lives.
    pub incarnation: Incarnation,
    /// Drawn at each start of a process: two processes of one name differ in it, even with copied data
    /// directories.
    pub run: u32,
}

impl foca::Identity for Identity {
    type Addr = NameKey;

    /// `None`: a member that was declared failed writes its next incarnation to disk before it tells anybody of
    /// it. [`crate::Membership`] brings it back, not `foca`.
    fn renew(&self) -> Option<Self> {
        None
    }

    fn addr(&self) -> NameKey {
        self.name.key()
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.incarnation, self.run) > (other.incarnation, other.run)
    }
}

#[cfg(test)]
mod tests;
