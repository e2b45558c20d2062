//! The datagrams among members: an envelope with version, fleet and checksum around messages of `foca` and our
//! own. What can't be decoded is dropped with a reason, never answered.
//!
//! | bytes | content |
//! | --- | --- |
//! | 0 | version of this layout |
//! | 1 | kind of packet |
//! | 2 to 9 | the fleet's id, big-endian |
//! | 10 to 13 | CRC-32 of all other bytes, big-endian |
//! | 14 on | the packet |

use std::net::SocketAddrV4;
use std::ops::Range;

use bytes::{Buf, BufMut};
use serde::{Deserialize, Serialize};

use crate::identity::{Identity, Incarnation, MAX_NAME_BYTES, Name};
use crate::notices::ShutOutReason;
use crate::wire::{
    decode_address, decode_identity, decode_name, encode_address, encode_identity, encode_name,
};

/// Largest datagram, in bytes: it goes unfragmented over any usual path.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

const VERSION: u8 = 1;
const VERSION_AT: usize = 0;
const KIND_AT: usize = 1;
const FLEET_AT: Range<usize> = 2..10;
const CHECKSUM_AT: Range<usize> = 10..14;
const HEADER_BYTES: usize = 14;
/// What a relay adds: a name and an address.
const RELAY_OVERHEAD_BYTES: usize = 1 + MAX_NAME_BYTES + 6;
/// Largest message of `foca`, so that it can be relayed whole.
pub(crate) const MAX_SWIM_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES - RELAY_OVERHEAD_BYTES;

/// Kinds of packets on the wire.
mod kind {
    pub const SWIM: u8 = 1;
    pub const PROBE: u8 = 2;
    pub const PROBE_REPLY: u8 = 3;
    pub const JOIN: u8 = 4;
    pub const JOIN_REPLY: u8 = 5;
    pub const RELAY: u8 = 6;
    pub const RELAYED: u8 = 7;
    pub const SUSPECTED: u8 = 8;
    pub const STALE_INCARNATION: u8 = 9;
    pub const NOTICE: u8 = 10;
}

/// Kinds of responses to a join on the wire.
mod response_kind {
    pub const ACCEPTED: u8 = 1;
    pub const STALE_INCARNATION: u8 = 2;
    pub const NAME_TAKEN: u8 = 3;
    pub const PENDING: u8 = 4;
    pub const SHUT_OUT: u8 = 5;
    pub const FULL: u8 = 6;
}

/// Tells the datagrams of one fleet from those of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetId(u64);

impl FleetId {
    /// The id of a fleet's name, the same everywhere.
    pub fn of(fleet: &Name) -> Self {
        FleetId(fleet.key().to_bits())
    }
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DropReason {
    /// Shorter than an envelope.
    TooShort,
    /// Longer than [`MAX_DATAGRAM_BYTES`].
    TooLong,
    /// Of a program that speaks another version.
    #[serde(rename = "version")]
    UnsupportedVersion,
    /// Of another fleet.
    #[serde(rename = "fleet")]
    OtherFleet,
    /// Damaged on the way.
    #[serde(rename = "checksum")]
    BadChecksum,
    /// Of a kind that is not known.
    #[serde(rename = "kind")]
    UnknownKind,
    /// The envelope is whole, and what is in it can't be decoded.
    Malformed,
    /// For an earlier incarnation, or for another member.
    NotForUs,
    /// From, or for, somebody who is not a member here.
    NotAMember,
    /// It tells of more members than may be known.
    Full,
    /// It bears this member's name and is not from it.
    #[serde(rename = "our_name")]
    NameConflict,
    /// This member does not take part now, or not any more.
    #[serde(rename = "not_taking_part")]
    NotParticipating,
}

/// The response to a member that asks to join.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum JoinResponse {
    Accepted,
    /// The name had this incarnation or a later one already; its data directory was emptied. It is to begin after
    /// this one.
    StaleIncarnation(Incarnation),
    /// Another process, at this address, bears the name and still answers.
    NameTaken(SocketAddrV4),
    /// Another process bore the name until lately; it is being probed.
    Pending,
    ShutOut(ShutOutReason),
    /// More members may not be known.
    Full,
}

/// A packet.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Packet<'a> {
    /// A message of `foca`.
    Swim(&'a [u8]),
    /// Whether the receiver answers. By its number a reply is known to be fresh.
    Probe {
        from: Identity,
        number: u64,
    },
    ProbeReply {
        from: Identity,
        number: u64,
    },
    Join {
        from: Identity,
        number: u64,
    },
    JoinReply {
        from: Identity,
        number: u64,
        response: JoinResponse,
    },
    /// The receiver is to relay a message of `foca` to a member that the sender does not reach.
    Relay {
        to: Name,
        swim: &'a [u8],
    },
    /// A message of `foca` that `from` relays for its sender.
    Relayed {
        from: Name,
        swim: &'a [u8],
    },
    /// `suspect` is suspected and is to refute it. `swim_incarnation`: the one of `foca` that is suspected.
    Suspected {
        from: Identity,
        suspect: Identity,
        swim_incarnation: u16,
    },
    /// Another life of the receiver's name had this incarnation or a later one: it is to begin after it.
    StaleIncarnation {
        identity: Identity,
        known: Incarnation,
    },
    /// A notice, sent directly where few hear the sender.
    Notice {
        from: Name,
        notice: &'a [u8],
    },
}

impl Packet<'_> {
    fn kind(&self) -> u8 {
        match self {
            Packet::Swim(_) => kind::SWIM,
            Packet::Probe { .. } => kind::PROBE,
            Packet::ProbeReply { .. } => kind::PROBE_REPLY,
            Packet::Join { .. } => kind::JOIN,
            Packet::JoinReply { .. } => kind::JOIN_REPLY,
            Packet::Relay { .. } => kind::RELAY,
            Packet::Relayed { .. } => kind::RELAYED,
            Packet::Suspected { .. } => kind::SUSPECTED,
            Packet::StaleIncarnation { .. } => kind::STALE_INCARNATION,
            Packet::Notice { .. } => kind::NOTICE,
        }
    }

    /// The datagram.
    pub fn encode(&self, fleet: FleetId) -> Vec<u8> {
        let mut out = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        out.put_slice(&[VERSION, self.kind()]);
        out.put_u64(fleet.0);
        out.put_u32(0);
        self.encode_body(&mut out);
        let checksum = checksum(&out).to_be_bytes();
        out[CHECKSUM_AT].copy_from_slice(&checksum);
        out
    }

    /// A `Vec` takes whatever is put into it.
    fn encode_body(&self, out: &mut Vec<u8>) {
        match self {
            Packet::Swim(swim) => out.put_slice(swim),
            Packet::Probe { from, number }
            | Packet::ProbeReply { from, number }
            | Packet::Join { from, number } => {
                encode_identity(out, from);
                out.put_u64(*number);
            }
            Packet::JoinReply { from, number, response } => {
                encode_identity(out, from);
                out.put_u64(*number);
                encode_join_response(out, response);
            }
            Packet::Relay { to: name, swim: bytes }
            | Packet::Relayed { from: name, swim: bytes }
            | Packet::Notice { from: name, notice: bytes } => {
                encode_name(out, name);
                out.put_slice(bytes);
            }
            Packet::Suspected { from, suspect, swim_incarnation } => {
                encode_identity(out, from);
                encode_identity(out, suspect);
                out.put_u16(*swim_incarnation);
            }
            Packet::StaleIncarnation { identity, known } => {
                encode_identity(out, identity);
                out.put_u64(known.0);
            }
        }
    }

    /// The packet in a datagram of the fleet.
    pub fn decode(fleet: FleetId, datagram: &[u8]) -> Result<Packet<'_>, DropReason> {
        if datagram.len() < HEADER_BYTES {
            return Err(DropReason::TooShort);
        }
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(DropReason::TooLong);
        }
        if datagram[VERSION_AT] != VERSION {
            return Err(DropReason::UnsupportedVersion);
        }
        if datagram[FLEET_AT] != fleet.0.to_be_bytes() {
            return Err(DropReason::OtherFleet);
        }
        if datagram[CHECKSUM_AT] != checksum(datagram).to_be_bytes() {
            return Err(DropReason::BadChecksum);
        }
        decode_body(datagram[KIND_AT], &datagram[HEADER_BYTES..])
    }
}

fn decode_body(kind: u8, mut rest: &[u8]) -> Result<Packet<'_>, DropReason> {
    let packet = match kind {
        kind::SWIM => return Ok(Packet::Swim(rest)),
        kind::RELAY | kind::RELAYED | kind::NOTICE => return decode_wrapper(kind, rest),
        kind::PROBE => decode_numbered(&mut rest).map(|(from, number)| Packet::Probe { from, number }),
        kind::PROBE_REPLY => {
            decode_numbered(&mut rest).map(|(from, number)| Packet::ProbeReply { from, number })
        }
        kind::JOIN => decode_numbered(&mut rest).map(|(from, number)| Packet::Join { from, number }),
        kind::JOIN_REPLY => decode_numbered(&mut rest).and_then(|(from, number)| {
            Some(Packet::JoinReply { from, number, response: decode_join_response(&mut rest)? })
        }),
        kind::SUSPECTED => decode_suspected(&mut rest),
        kind::STALE_INCARNATION => decode_numbered(&mut rest)
            .map(|(identity, known)| Packet::StaleIncarnation { identity, known: Incarnation(known) }),
        _ => return Err(DropReason::UnknownKind),
    };
    // Nothing may follow a packet: what is not known is not understood.
    packet.filter(|_| rest.is_empty()).ok_or(DropReason::Malformed)
}

/// A name, and bytes to the end.
fn decode_wrapper(kind: u8, mut rest: &[u8]) -> Result<Packet<'_>, DropReason> {
    let name = decode_name(&mut rest).ok_or(DropReason::Malformed)?;
    Ok(match kind {
        kind::RELAY => Packet::Relay { to: name, swim: rest },
        kind::RELAYED => Packet::Relayed { from: name, swim: rest },
        _ => Packet::Notice { from: name, notice: rest },
    })
}

fn decode_numbered(rest: &mut &[u8]) -> Option<(Identity, u64)> {
    let identity = decode_identity(rest)?;
    Some((identity, rest.try_get_u64().ok()?))
}

fn decode_suspected(rest: &mut &[u8]) -> Option<Packet<'static>> {
    let from = decode_identity(rest)?;
    let suspect = decode_identity(rest)?;
    Some(Packet::Suspected { from, suspect, swim_incarnation: rest.try_get_u16().ok()? })
}

fn checksum(datagram: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&datagram[..CHECKSUM_AT.start]);
    hasher.update(&datagram[CHECKSUM_AT.end..]);
    hasher.finalize()
}

fn encode_join_response(out: &mut Vec<u8>, response: &JoinResponse) {
    match response {
        JoinResponse::Accepted => out.put_u8(response_kind::ACCEPTED),
        JoinResponse::StaleIncarnation(known) => {
            out.put_u8(response_kind::STALE_INCARNATION);
            out.put_u64(known.0);
        }
        JoinResponse::NameTaken(by) => {
            out.put_u8(response_kind::NAME_TAKEN);
            encode_address(out, *by);
        }
        JoinResponse::Pending => out.put_u8(response_kind::PENDING),
        JoinResponse::ShutOut(reason) => {
            out.put_u8(response_kind::SHUT_OUT);
            reason.encode(out);
        }
        JoinResponse::Full => out.put_u8(response_kind::FULL),
    }
}

fn decode_join_response(from: &mut impl Buf) -> Option<JoinResponse> {
    Some(match from.try_get_u8().ok()? {
        response_kind::ACCEPTED => JoinResponse::Accepted,
        response_kind::STALE_INCARNATION => {
            JoinResponse::StaleIncarnation(Incarnation(from.try_get_u64().ok()?))
        }
        response_kind::NAME_TAKEN => JoinResponse::NameTaken(decode_address(from)?),
        response_kind::PENDING => JoinResponse::Pending,
        response_kind::SHUT_OUT => JoinResponse::ShutOut(ShutOutReason::decode(from)?),
        response_kind::FULL => JoinResponse::Full,
        _ => return None,
    })
}

#[cfg(test)]
mod tests;
