//! Names, incarnations and identities of members.

use std::cmp::Ordering;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::net::SocketAddrV4;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Length limit of the name of a member, a zone or a fleet, in bytes.
pub const MAX_NAME_BYTES: usize = 32;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Error: a text is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a valid name: expected 1 to {MAX_NAME_BYTES} characters of a-z, 0-9, '-', '_' and '.'")]
pub struct InvalidName(
    /// Beginning of the text.
    pub String,
);

/// Name of a member, a zone or a fleet: 1 to 32 characters of `a-z`, `0-9`, `-`, `_`, `.`.
#[derive(Clone, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name {
    text: Arc<str>,
    /// Hash that is compared before the text: `foca` scans all members for each update.
    key: NameKey,
}

/// 64-bit hash of a name. `foca` identifies members by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NameKey(u64);

impl NameKey {
    /// FNV-1a hash: equal on all members and versions. Not cryptographic.
    fn new(text: &str) -> Self {
        let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        NameKey(text.bytes().fold(FNV_OFFSET, mix))
    }

    pub(crate) fn to_bits(self) -> u64 {
        self.0
    }
}

impl Name {
    /// Creates a name from a text.
    ///
    /// # Errors
    /// The text is empty, too long, or has a character that is not allowed.
    pub fn new(name: &str) -> Result<Self, InvalidName> {
        let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b);
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(is_allowed) {
            return Err(InvalidName(name.chars().take(2 * MAX_NAME_BYTES).collect()));
        }
        Ok(Name { text: name.into(), key: NameKey::new(name) })
    }

    /// Text of the name.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Hash of the name.
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

/// Incarnation number of a member. Grows at each start of the process, and each time the member comes
/// back after it was declared failed. It is written to disk before it is sent, so that it never
/// decreases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Returns the next incarnation.
    pub fn next(self) -> Self {
        Incarnation(self.0.saturating_add(1))
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identity of one incarnation of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Name of the member.
    pub name: Name,
    /// Zone of the member.
    #[serde(rename = "hall")]
    pub zone: Name,
    /// Address at which other members reach it.
    pub addr: SocketAddrV4,
    /// Incarnation of the member.
    pub incarnation: Incarnation,
    /// Random number drawn at each start of the process. Distinguishes two processes with one name, even
    /// with copied data directories.
    pub run: u32,
}

impl foca::Identity for Identity {
    type Addr = NameKey;

    /// Returns `None`: a member that was declared failed first writes its next incarnation to disk, which
    /// [`crate::Membership`] does, not `foca`.
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
