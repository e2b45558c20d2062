//! The words that the system's processes say to each other, in CBOR frames. Times are spans, never times of day:
//! what one process knows of another's clock it has from an echo of its own.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::consensus::Message;

/// Bytes that are handed on without being looked at.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bytes(pub Arc<Vec<u8>>);

impl Serialize for Bytes {
    fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct Take;
        impl serde::de::Visitor<'_> for Take {
            type Value = Bytes;
            fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
                f.write_str("bytes")
            }
            fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Bytes, E> {
                Ok(Bytes(Arc::new(bytes.to_vec())))
            }
            fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<Bytes, E> {
                Ok(Bytes(Arc::new(bytes)))
            }
        }
        from.deserialize_byte_buf(Take)
    }
}

/// How a worker's life stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    Ready,
    Draining,
    /// No beat came for long.
    Silent,
    /// It has said so.
    Gone,
}

/// One life of a worker, as it last said of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Life {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub capacity: u32,
    pub standing: Standing,
    /// How much longer it is cold, in milliseconds, as of when this word is sent.
    pub cold_ms: u64,
    pub seq: u64,
    /// How long ago it was heard, in milliseconds.
    pub heard_ms: u64,
}

/// What one gatekeeper let through for a tenant, and refused for want of a token, since it last said so.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Count {
    pub tenant: String,
    pub passed: u32,
    pub refused: u32,
    /// How long ago it was counted, in milliseconds: no core that leads was in reach since.
    pub ago_ms: u32,
}

/// A gatekeeper of the road, as the board needs it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Edge {
    pub node: String,
    pub zone: String,
    pub region: String,
    pub front: SocketAddr,
    /// Drawn at its start: another life, another number.
    pub life: u64,
}

/// What one tenant's bucket at one gatekeeper may hold: a part of the whole quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    pub tenant: String,
    pub part: f32,
    /// All gatekeepers together have let through what they may: refused for so long, in milliseconds.
    pub closed_ms: u32,
    /// And for so long no more than its even flow.
    pub tight_ms: u32,
}

/// Whether clients may come to a gatekeeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Readiness {
    Ready,
    /// It is not sure of its book, and serves on by what it has.
    Stale,
    /// It can't serve yet, or no more until it is sure again.
    Starting,
    /// It was told to end.
    Leaving,
    /// Its line has ended, or is silent.
    Gone,
}

/// How a gatekeeper was last heard by one hut.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sighting {
    pub edge: Edge,
    pub readiness: Readiness,
}

/// How a gatekeeper is. To the core that leads it also says what it counted and, where that one has just begun to
/// lead, which parts of quotas it holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ping {
    /// Its own clock, in nanoseconds; comes back in the answer.
    pub clock: u64,
    /// The number of the book that it has.
    pub have: u64,
    pub readiness: Readiness,
    /// The number of the shares that it got last.
    pub got: u64,
    pub counts: Vec<Count>,
    pub holds: Option<Vec<(String, f32)>>,
}

/// From one who follows the feed: a gatekeeper, or a core another core.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Up {
    /// Begins the feed. `lives`: all that is known of workers is wanted.
    Hello { edge: Edge, lives: bool },
    /// Every second and when something changed.
    Ping(Ping),
    /// Begins a line between cores, by the control address of the one who speaks; and says again and again that it is
    /// there. `hears`: whether it has heard the one it speaks to a moment ago. A line that was cut may stand and bring
    /// nothing: only the other end can tell. `others`: the huts that it heard a moment ago, as a newcomer may have been
    /// told of some only, and not of the one that leads.
    Core { from: SocketAddr, hears: bool, others: Vec<SocketAddr> },
    /// Which gatekeepers follow the core that speaks: all where `whole`, else what changed. `has_gathered`: it has
    /// been up for long enough that all of them have found it.
    Sightings { sightings: Vec<Sighting>, whole: bool, has_gathered: bool },
    /// About the book.
    Agreement(Message),
    /// A worker said something to the core that speaks.
    Heard(Vec<Life>),
}

/// From one who feeds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Down {
    /// The book, as agreed, by its number.
    Book { index: u64, state: Bytes },
    /// Lives of workers: all that are known where `whole`, else what changed.
    Lives { lives: Vec<Life>, whole: bool },
    /// `clock` as it came. No newer book than `index` was agreed on `fresh` milliseconds before that ping came here.
    Pong { clock: u64, index: u64, fresh: Option<u64>, leads: bool },
    /// From the core that leads: parts of quotas that changed, numbered.
    Shares { number: u64, shares: Vec<Share> },
    /// How many gatekeepers there are in each zone.
    Zones(Vec<(String, u32)>),
    /// The control addresses of cores: all there are where `whole`, as the leader says, else some.
    Huts { huts: Vec<SocketAddr>, whole: bool },
}
