//! What goes over the network: an envelope with version, fleet and checksum, and what voters and those who ask
//! them say. Whatever can't be read is dropped and counted, never answered.
//!
//! | bytes | what |
//! | --- | --- |
//! | 0 | `O`: no layout of membership's datagrams has this number |
//! | 1 | version of this layout |
//! | 2 to 9 | the fleet |
//! | 10 to 13 | CRC-32 of all other bytes, big-endian |
//! | 14 on | the message, by postcard |

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::book::{Command, Held};

/// The first byte of each datagram.
pub const FIRST: u8 = b'O';
const VERSION: u8 = 1;
const HEAD: usize = 14;
/// No datagram is longer, in bytes; all but snapshots are far shorter.
pub const LARGEST: usize = 16_384;
/// The longest name of a member or duty, in bytes.
pub const LONGEST_NAME: usize = 32;
/// The longest state of a duty, in bytes.
pub const LONGEST_STATE: usize = 512;

/// Identity of a voter: drawn when its records begin, so that one that lost them is another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct VoterId(pub u64);

/// Who owned a duty when: grows for ever.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Epoch(pub u64);

/// A voter and where it is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterAt {
    pub id: VoterId,
    pub name: String,
    pub addr: SocketAddrV4,
}

/// Which voters began the record together: the same of all of them, and of no others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Founding(pub u64);

/// 64 bits of FNV-1a: tells fleets and foundings apart, and is no protection.
pub(crate) fn hash(parts: &[&[u8]]) -> u64 {
    let mut h = 0xcbf2_9ce4_8422_2325u64;
    for part in parts {
        for byte in part.iter().chain(&[0xff]) {
            h = (h ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3);
        }
    }
    h
}

impl Founding {
    pub fn of(voters: &[VoterAt]) -> Self {
        let mut all: Vec<_> = voters.iter().map(|v| (v.name.as_str(), v.id.0.to_be_bytes())).collect();
        all.sort();
        let parts: Vec<&[u8]> = all.iter().flat_map(|(n, i)| [n.as_bytes(), i.as_slice()]).collect();
        Founding(hash(&parts))
    }
}

/// What a member asks of a voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    /// I stand for this duty. `stand` is drawn at each start of the process; `seen` is the highest epoch known
    /// here, so that one is never given twice even where all voters lost their records.
    Claim { duty: String, stand: u64, seen: Epoch },
    /// I own it in this epoch, and want that confirmed.
    Renew { duty: String, stand: u64, epoch: Epoch },
    /// I own it in this epoch, and no longer want it.
    GiveBack { duty: String, epoch: Epoch },
    /// Keep this with the duty.
    Keep { duty: String, epoch: Epoch, state: Vec<u8> },
    /// An operator's; nothing happens twice by one id.
    Operator { id: u64, wants: Wants },
    /// All duties and voters, as a majority has them.
    Show,
}

/// What an operator wants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Wants {
    /// The owner gives it up to another member.
    HandOver { duty: String, to: String },
    /// The owner is owner no more, whether it can be reached or not.
    Depose { duty: String },
    /// Another member is a voter in the place of one.
    Replace { old: String, new: String, addr: SocketAddrV4 },
}

/// What a voter answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// You own it, and did when you asked.
    Yours {
        epoch: Epoch,
        state: Vec<u8>,
    },
    /// Somebody else does, or nobody yet.
    NotYours {
        epoch: Epoch,
        owner: Option<String>,
    },
    /// It is done, or was when it was asked first; or why it can't be.
    Done,
    No {
        why: String,
    },
    /// All, as a majority had it after this was asked.
    Book {
        duties: Vec<(String, Held)>,
        voters: Vec<VoterAt>,
        leader: String,
    },
    /// This one does not lead; that one may.
    Elsewhere {
        leader: Option<SocketAddrV4>,
        voters: Vec<VoterAt>,
    },
    /// This one can't say now, and why.
    Aside {
        why: String,
    },
}

/// How far a voter is with its records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// It has an identity, and nothing recorded.
    Blank,
    /// It is one of those who began, or was taken in by them.
    Of(Founding),
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Between voters: of `raft`.
    Raft {
        founding: Founding,
        body: Vec<u8>,
    },
    /// Between voters: who I am; and a question for the same, where `asks`.
    Hello {
        me: VoterAt,
        standing: Standing,
        asks: bool,
    },
    /// To one that is to be a voter.
    Summon,
    Ask {
        from: String,
        number: u64,
        ask: Ask,
    },
    /// Something changed with this duty: ask now.
    Hint {
        duty: String,
    },
    Answer {
        number: u64,
        answer: Answer,
    },
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Dropped {
    Length,
    Version,
    Fleet,
    Checksum,
    Malformed,
}

/// Seals messages for one fleet, and opens them.
#[derive(Clone, Copy, Debug)]
pub struct Envelope {
    fleet: u64,
}

impl Envelope {
    pub fn of(fleet: &str) -> Self {
        Envelope { fleet: hash(&[fleet.as_bytes()]) }
    }

    fn checksum(bytes: &[u8]) -> [u8; 4] {
        let mut hasher = crc32fast::Hasher::new();
        hasher.update(&bytes[..10]);
        hasher.update(&bytes[HEAD..]);
        hasher.finalize().to_be_bytes()
    }

    /// None: too long to be sent.
    pub fn seal(&self, message: &Message) -> Option<Vec<u8>> {
        let body = postcard::to_allocvec(message).ok()?;
        let mut bytes = Vec::with_capacity(HEAD + body.len());
        bytes.extend([FIRST, VERSION]);
        bytes.extend(self.fleet.to_be_bytes());
        bytes.extend([0; 4]);
        bytes.extend(body);
        let checksum = Self::checksum(&bytes);
        bytes[10..HEAD].copy_from_slice(&checksum);
        (bytes.len() <= LARGEST).then_some(bytes)
    }

    /// # Errors
    /// Why it is to be dropped.
    pub fn open(&self, bytes: &[u8]) -> Result<Message, Dropped> {
        if bytes.len() <= HEAD || bytes.len() > LARGEST {
            return Err(Dropped::Length);
        }
        if bytes[0] != FIRST || bytes[1] != VERSION {
            return Err(Dropped::Version);
        }
        if bytes[2..10] != self.fleet.to_be_bytes() {
            return Err(Dropped::Fleet);
        }
        if bytes[10..HEAD] != Self::checksum(bytes) {
            return Err(Dropped::Checksum);
        }
        postcard::from_bytes(&bytes[HEAD..]).map_err(|_| Dropped::Malformed)
    }
}

/// A command as it lies in the voters' log.
pub(crate) fn logged(command: &Command) -> Vec<u8> {
    postcard::to_allocvec(command).unwrap_or_default()
}

#[cfg(test)]
mod tests;
