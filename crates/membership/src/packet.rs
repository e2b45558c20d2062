//! Datagrams between members: a header with version, fleet and checksum, followed by a message of `foca`
//! or of this crate. A datagram that can't be decoded is dropped with a reason and not answered.
//!
//! | bytes | content |
//! | --- | --- |
//! | 0 | version of this layout |
//! | 1 | kind of packet |
//! | 2 to 9 | fleet id, big-endian |
//! | 10 to 13 | CRC-32 of all other bytes, big-endian |
//! | 14 and up | body of the packet |

use std::net::SocketAddrV4;
use std::ops::Range;

use bytes::{Buf, BufMut};
use serde::{Deserialize, Serialize};

use crate::identity::{Identity, Incarnation, MAX_NAME_BYTES, Name};
use crate::notices::ShutOutReason;
use crate::wire::{
    decode_address, decode_identity, decode_name, encode_address, encode_identity, encode_name,
};

/// Size limit of a datagram, in bytes, below the usual path MTU.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

const VERSION: u8 = 1;
const VERSION_AT: usize = 0;
const KIND_AT: usize = 1;
const FLEET_AT: Range<usize> = 2..10;
const CHECKSUM_AT: Range<usize> = 10..14;
const HEADER_BYTES: usize = 14;
/// Upper bound of the bytes that a relay adds to a message of `foca`.
const RELAY_OVERHEAD_BYTES: usize = 1 + MAX_NAME_BYTES + 6;
/// Size limit of a message of `foca`, in bytes, so that it can also be relayed.
pub(crate) const MAX_SWIM_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES - RELAY_OVERHEAD_BYTES;

/// Packet kinds on the wire.
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

/// Join response kinds on the wire.
mod response_kind {
    pub const ACCEPTED: u8 = 1;
    pub const STALE_INCARNATION: u8 = 2;
    pub const NAME_TAKEN: u8 = 3;
    pub const PENDING: u8 = 4;
    pub const SHUT_OUT: u8 = 5;
    pub const FULL: u8 = 6;
}

/// Identifier of a fleet in datagrams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetId(u64);

impl FleetId {
    /// Returns the identifier for the name of a fleet, the hash of the name.
    pub fn of(fleet: &Name) -> Self {
        FleetId(fleet.key().to_bits())
    }
}

/// Reason for dropping a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DropReason {
    /// Shorter than a header.
    TooShort,
    /// Longer than [`MAX_DATAGRAM_BYTES`].
    TooLong,
    /// Version of the layout that this program does not support.
    #[serde(rename = "version")]
    UnsupportedVersion,
    /// Datagram of another fleet.
    #[serde(rename = "fleet")]
    OtherFleet,
    /// Wrong checksum: the datagram was damaged.
    #[serde(rename = "checksum")]
    BadChecksum,
    /// Unknown kind of packet.
    #[serde(rename = "kind")]
    UnknownKind,
    /// The header is valid, but the body can't be decoded.
    Malformed,
    /// For another member or another incarnation, or an unexpected reply.
    NotForUs,
    /// From or for a process that is not a known member.
    NotAMember,
    /// It would exceed the limit of known members.
    Full,
    /// From this member's own name, or shows that another process holds it.
    #[serde(rename = "our_name")]
    NameConflict,
    /// This member is not in a phase that handles the packet.
    #[serde(rename = "not_taking_part")]
    NotParticipating,
}

/// Response to a join.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum JoinResponse {
    Accepted,
    /// The name already had this incarnation, which is not older than the joiner's. The joiner must
    /// start a later one.
    StaleIncarnation(Incarnation),
    /// Another process, at this address, holds the name.
    NameTaken(SocketAddrV4),
    /// Another present process holds the name and is being probed.
    Pending,
    ShutOut(ShutOutReason),
    /// The limit of known members is reached.
    Full,
}

/// Decoded packet.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Packet<'a> {
    /// A message of `foca`.
    Swim(&'a [u8]),
    /// Asks the receiver for a reply with the same number.
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
    /// Asks the receiver to relay a message of `foca` to the member `to`.
    Relay {
        to: Name,
        swim: &'a [u8],
    },
    /// Message of `foca` relayed by `from`.
    Relayed {
        from: Name,
        swim: &'a [u8],
    },
    /// Notifies that `suspect` is suspected by `from`, in the given SWIM incarnation, so that it can
    /// refute it.
    Suspected {
        from: Identity,
        suspect: Identity,
        swim_incarnation: u16,
    },
    /// Notifies the receiver `identity` that its name already had the incarnation `known`; it must start a
    /// later one.
    StaleIncarnation {
        identity: Identity,
        known: Incarnation,
    },
    /// Notice sent directly by a member that reaches few members.
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

    /// Encodes the packet into a datagram.
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

    /// Encodes the body. Writing to a `Vec` never fails.
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

    /// Decodes a datagram of the fleet.
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
    // Reject trailing bytes.
    packet.filter(|_| rest.is_empty()).ok_or(DropReason::Malformed)
}

/// Decodes a packet of a name and the remaining bytes.
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
