//! Codec of `foca`'s messages, and a parser that reads them before `foca` does.

use bytes::{Buf, BufMut};
use foca::{Header, Member, Message, State};

use crate::identity::Identity;
use crate::wire::{decode_identity, encode_identity};

/// Message kinds on the wire.
mod kind {
    pub const PING: u8 = 1;
    pub const ACK: u8 = 2;
    pub const PING_REQUEST: u8 = 3;
    pub const INDIRECT_PING: u8 = 4;
    pub const INDIRECT_ACK: u8 = 5;
    pub const FORWARDED_ACK: u8 = 6;
    pub const ANNOUNCE: u8 = 7;
    pub const FEED: u8 = 8;
    pub const GOSSIP: u8 = 9;
    pub const BROADCAST: u8 = 10;
    pub const TURN_UNDEAD: u8 = 11;
}

/// Member states on the wire.
mod state {
    pub const ALIVE: u8 = 1;
    pub const SUSPECT: u8 = 2;
    pub const DOWN: u8 = 3;
}

/// Size of the SWIM incarnation, kind and probe number of a message.
const MESSAGE_BYTES: usize = 4;
/// Size of the SWIM incarnation and state of a member.
const MEMBER_STATE_BYTES: usize = 3;

/// Codec of `foca`'s messages.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SwimCodec;

/// Error: a message does not fit into the datagram or can't be decoded.
#[derive(Debug, thiserror::Error)]
#[error("message does not fit into the datagram or can't be decoded")]
pub(crate) struct SwimCodecError;

impl foca::Codec<Identity> for SwimCodec {
    type Error = SwimCodecError;

    fn encode_header(&mut self, header: &Header<Identity>, buf: impl BufMut) -> Result<(), SwimCodecError> {
        encode_header(header, buf).ok_or(SwimCodecError)
    }

    fn decode_header(&mut self, mut buf: impl Buf) -> Result<Header<Identity>, SwimCodecError> {
        decode_header(&mut buf).ok_or(SwimCodecError)
    }

    fn encode_member(&mut self, member: &Member<Identity>, buf: impl BufMut) -> Result<(), SwimCodecError> {
        encode_member(member, buf).ok_or(SwimCodecError)
    }

    fn decode_member(&mut self, mut buf: impl Buf) -> Result<Member<Identity>, SwimCodecError> {
        decode_member(&mut buf).ok_or(SwimCodecError)
    }
}

fn encode_header(header: &Header<Identity>, mut buf: impl BufMut) -> Option<()> {
    encode_identity(&mut buf, &header.src)?;
    encode_identity(&mut buf, &header.dst)?;
    if buf.remaining_mut() < MESSAGE_BYTES {
        return None;
    }
    buf.put_u16(header.src_incarnation);
    let (kind, number, other) = match &header.message {
        Message::Ping(number) => (kind::PING, *number, None),
        Message::Ack(number) => (kind::ACK, *number, None),
        Message::PingReq { target, probe_number } => (kind::PING_REQUEST, *probe_number, Some(target)),
        Message::IndirectPing { origin, probe_number } => (kind::INDIRECT_PING, *probe_number, Some(origin)),
        Message::IndirectAck { target, probe_number } => (kind::INDIRECT_ACK, *probe_number, Some(target)),
        Message::ForwardedAck { origin, probe_number } => (kind::FORWARDED_ACK, *probe_number, Some(origin)),
        Message::Announce => (kind::ANNOUNCE, 0, None),
        Message::Feed => (kind::FEED, 0, None),
        Message::Gossip => (kind::GOSSIP, 0, None),
        Message::Broadcast => (kind::BROADCAST, 0, None),
        Message::TurnUndead => (kind::TURN_UNDEAD, 0, None),
    };
    buf.put_slice(&[kind, number]);
    other.map_or(Some(()), |identity| encode_identity(&mut buf, identity))
}

/// Decodes the header of a message.
pub(crate) fn decode_header(buf: &mut impl Buf) -> Option<Header<Identity>> {
    let (src, dst) = (decode_identity(buf)?, decode_identity(buf)?);
    let src_incarnation = buf.try_get_u16().ok()?;
    let (kind, probe_number) = (buf.try_get_u8().ok()?, buf.try_get_u8().ok()?);
    let message = match kind {
        kind::PING => Message::Ping(probe_number),
        kind::ACK => Message::Ack(probe_number),
        kind::PING_REQUEST => Message::PingReq { target: decode_identity(buf)?, probe_number },
        kind::INDIRECT_PING => Message::IndirectPing { origin: decode_identity(buf)?, probe_number },
        kind::INDIRECT_ACK => Message::IndirectAck { target: decode_identity(buf)?, probe_number },
        kind::FORWARDED_ACK => Message::ForwardedAck { origin: decode_identity(buf)?, probe_number },
        kind::ANNOUNCE => Message::Announce,
        kind::FEED => Message::Feed,
        kind::GOSSIP => Message::Gossip,
        kind::BROADCAST => Message::Broadcast,
        kind::TURN_UNDEAD => Message::TurnUndead,
        _ => return None,
    };
    Some(Header { src, src_incarnation, dst, message })
}

fn encode_member(member: &Member<Identity>, mut buf: impl BufMut) -> Option<()> {
    encode_identity(&mut buf, member.id())?;
    (buf.remaining_mut() >= MEMBER_STATE_BYTES).then(|| {
        buf.put_u16(member.incarnation());
        buf.put_u8(match member.state() {
            State::Alive => state::ALIVE,
            State::Suspect => state::SUSPECT,
            State::Down => state::DOWN,
        });
    })
}

fn decode_member(buf: &mut impl Buf) -> Option<Member<Identity>> {
    let identity = decode_identity(buf)?;
    let swim_incarnation = buf.try_get_u16().ok()?;
    let state = match buf.try_get_u8().ok()? {
        state::ALIVE => State::Alive,
        state::SUSPECT => State::Suspect,
        state::DOWN => State::Down,
        _ => return None,
    };
    Some(Member::new(identity, swim_incarnation, state))
}

/// Parses a message of `foca` into its header and its member updates.
pub(crate) fn parse_swim(mut swim: &[u8]) -> Option<(Header<Identity>, Vec<Member<Identity>>)> {
    let header = decode_header(&mut swim)?;
    let mut members = Vec::new();
    let has_members = !matches!(header.message, Message::Broadcast | Message::Announce | Message::TurnUndead);
    if has_members && swim.remaining() >= 2 {
        for _ in 0..swim.get_u16() {
            members.push(decode_member(&mut swim)?);
        }
    }
    Some((header, members))
}
