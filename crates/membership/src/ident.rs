//! Names and incarnations.

use std::cmp::Ordering;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::net::SocketAddrV4;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The longest name of a member, a hall or a fleet, in bytes. Two of them and the rest of a header leave room
/// for some forty members in a datagram.
pub const LONGEST_NAME: usize = 32;

/// Why a name can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is no name: 1 to {LONGEST_NAME} of a-z, 0-9, '-', '_' and '.' are")]
pub struct BadName(pub String);

/// The name of a member, a hall or a fleet: 1 to 32 of `a-z`, `0-9`, `-`, `_`, `.`.
#[derive(Clone, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name {
    text: Arc<str>,
    /// Told apart by one comparison: `foca` goes through all members for each that it is told of.
    key: Key,
}

/// A number of 64 bits that stands for a name. Among 100,000 names two alike are not to be expected in a
/// billion fleets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key(u64);

impl Key {
    /// FNV-1a: fixed for ever, the same everywhere, and no secret.
    pub(crate) fn of(text: &str) -> Self {
        let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        Key(text.bytes().fold(0xcbf2_9ce4_8422_2325, mix))
    }

    pub(crate) fn number(self) -> u64 {
        self.0
    }
}

impl Name {
    /// # Errors
    /// Where it is empty, too long, or has a character that is not allowed.
    pub fn new(name: &str) -> Result<Self, BadName> {
        let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b);
        if name.is_empty() || name.len() > LONGEST_NAME || !name.bytes().all(allowed) {
            return Err(BadName(name.chars().take(2 * LONGEST_NAME).collect()));
        }
        Ok(Name { text: name.into(), key: Key::of(name) })
    }

    pub fn as_str(&self) -> &str {
        &self.text
    }

    pub fn key(&self) -> Key {
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
    type Error = BadName;
    fn try_from(name: String) -> Result<Self, BadName> {
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

/// Counts the lives of a name: one more at each start, and each time it was declared failed and came back.
/// Kept on disk before anybody is told of it, so that it never goes back; no clock goes into it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
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
pub struct Ident {
    pub name: Name,
    pub hall: Name,
    /// Where others reach it.
    pub addr: SocketAddrV4,
    pub incarnation: Incarnation,
    /// Drawn at each start of a process: two processes of one name differ in it even with copied data
    /// folders.
    pub run: u32,
}

impl foca::Identity for Ident {
    type Addr = Key;

    /// None: a member that learns that it was declared failed has to write its next incarnation down before
    /// it tells anybody of it, so the room brings it back and not `foca`.
    fn renew(&self) -> Option<Self> {
        None
    }

    fn addr(&self) -> Key {
        self.name.key()
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.incarnation, self.run) > (other.incarnation, other.run)
    }
}

#[cfg(test)]
mod tests;
