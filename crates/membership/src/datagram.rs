//! What goes over the network: an envelope with version, fleet and checksum round messages of `foca` and our
//! own.
//!
//! Whatever can't be read is told as the reason it is dropped for, never answered.
//!
//! | bytes | what |
//! | --- | --- |
//! | 0 | version of this layout |
//! | 1 | kind of message |
//! | 2 to 9 | the fleet |
//! | 10 to 13 | CRC-32 of all other bytes, big-endian |
//! | 14 on | the message |

use std::net::{Ipv4Addr, SocketAddrV4};

use bytes::{Buf, BufMut};
use foca::{Header, Member, Message, State};
use serde::{Deserialize, Serialize};

use crate::ident::{Ident, Incarnation, LONGEST_NAME, Name};
use crate::notices::Reason;

/// The largest datagram, in bytes: goes unfragmented over any usual path.
pub const LARGEST: usize = 1_200;
const VERSION: u8 = 1;
const HEAD: usize = 14;
/// What passing on adds: a name and an address.
const PASSED_ON: usize = 1 + LONGEST_NAME + 6;
/// The largest message of `foca`, so that it can be passed on whole.
pub(crate) const LARGEST_SWIM: usize = LARGEST - HEAD - PASSED_ON;

/// Tells the datagrams of one fleet from those of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetId(u64);

impl FleetId {
    /// The same name gives the same id everywhere.
    pub fn of(fleet: &Name) -> Self {
        FleetId(fleet.key().number())
    }
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Dropped {
    TooShort,
    TooLong,
    /// Of a program that speaks another version.
    Version,
    /// Of another fleet.
    Fleet,
    Checksum,
    Kind,
    /// The envelope is whole, and what is in it can't be read.
    Malformed,
    /// For an earlier incarnation, or for another member.
    NotForUs,
    /// From, or for, one who is not a member here.
    NotAMember,
    /// More members than may be known.
    Full,
    /// It bears our own name, and is not from us.
    OurName,
    /// This one does not take part now, or not any more.
    NotTakingPart,
}

/// What the one asked says to one who wants in.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Verdict {
    Welcome,
    /// This name had a later incarnation already (an emptied data folder): begin after it.
    Behind(Incarnation),
    /// Another process bears this name and was heard after this one asked.
    Taken(SocketAddrV4),
    /// Another process bore this name until lately; it is being asked whether it is still there.
    Wait,
    ShutOut(Reason),
    Full,
}

/// Our own messages.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Ours<'a> {
    Swim(&'a [u8]),
    /// Are you there? By the number the answer is known to be fresh.
    Hello {
        from: Ident,
        number: u64,
    },
    Hi {
        from: Ident,
        number: u64,
    },
    Join {
        from: Ident,
        number: u64,
    },
    Answer {
        from: Ident,
        number: u64,
        verdict: Verdict,
    },
    /// Pass this on to a member that I can't reach.
    Relay {
        to: Name,
        swim: &'a [u8],
    },
    /// Passed on for another.
    Relayed {
        from: Name,
        swim: &'a [u8],
    },
    /// You are suspected, and I hear you: object. With the objection that is doubted.
    Accused {
        from: Ident,
        you: Ident,
        objection: u16,
    },
    /// Another life of your name was in this incarnation, or a later one: begin after it.
    Behind {
        you: Ident,
        held: Incarnation,
    },
    /// A notice, for one who hears us where few do.
    Told {
        from: Name,
        notice: &'a [u8],
    },
}

pub(crate) fn put_name(out: &mut impl BufMut, name: &Name) -> Option<()> {
    let bytes = name.as_str().as_bytes();
    (out.remaining_mut() > bytes.len()).then(|| {
        out.put_u8(bytes.len() as u8);
        out.put_slice(bytes);
    })
}

pub(crate) fn take_name(from: &mut impl Buf) -> Option<Name> {
    let len = usize::from(from.try_get_u8().ok()?);
    if len > LONGEST_NAME || from.remaining() < len {
        return None;
    }
    let mut bytes = [0; LONGEST_NAME];
    from.copy_to_slice(&mut bytes[..len]);
    Name::new(std::str::from_utf8(&bytes[..len]).ok()?).ok()
}

fn put_addr(out: &mut impl BufMut, addr: SocketAddrV4) -> Option<()> {
    (out.remaining_mut() >= 6).then(|| {
        out.put_slice(&addr.ip().octets());
        out.put_u16(addr.port());
    })
}

fn take_addr(from: &mut impl Buf) -> Option<SocketAddrV4> {
    let ip = Ipv4Addr::from_bits(from.try_get_u32().ok()?);
    Some(SocketAddrV4::new(ip, from.try_get_u16().ok()?))
}

pub(crate) fn put_ident(out: &mut impl BufMut, ident: &Ident) -> Option<()> {
    put_name(out, &ident.name)?;
    put_name(out, &ident.hall)?;
    put_addr(out, ident.addr)?;
    (out.remaining_mut() >= 12).then(|| {
        out.put_u64(ident.incarnation.0);
        out.put_u32(ident.run);
    })
}

pub(crate) fn take_ident(from: &mut impl Buf) -> Option<Ident> {
    Some(Ident {
        name: take_name(from)?,
        hall: take_name(from)?,
        addr: take_addr(from)?,
        incarnation: Incarnation(from.try_get_u64().ok()?),
        run: from.try_get_u32().ok()?,
    })
}

/// Seals a message into a datagram.
pub(crate) fn seal(fleet: FleetId, ours: &Ours<'_>) -> Vec<u8> {
    let kind = match ours {
        Ours::Swim(_) => 1,
        Ours::Hello { .. } => 2,
        Ours::Hi { .. } => 3,
        Ours::Join { .. } => 4,
        Ours::Answer { .. } => 5,
        Ours::Relay { .. } => 6,
        Ours::Relayed { .. } => 7,
        Ours::Accused { .. } => 8,
        Ours::Behind { .. } => 9,
        Ours::Told { .. } => 10,
    };
    let mut out = Vec::with_capacity(LARGEST);
    out.put_slice(&[VERSION, kind]);
    out.put_u64(fleet.0);
    out.put_u32(0);
    // A Vec takes whatever is put into it.
    match ours {
        Ours::Swim(swim) => out.put_slice(swim),
        Ours::Hello { from, number } | Ours::Hi { from, number } | Ours::Join { from, number } => {
            put_ident(&mut out, from);
            out.put_u64(*number);
        }
        Ours::Answer { from, number, verdict } => {
            put_ident(&mut out, from);
            out.put_u64(*number);
            put_verdict(&mut out, verdict);
        }
        Ours::Relay { to: name, swim }
        | Ours::Relayed { from: name, swim }
        | Ours::Told { from: name, notice: swim } => {
            put_name(&mut out, name);
            out.put_slice(swim);
        }
        Ours::Accused { from, you, objection } => {
            put_ident(&mut out, from);
            put_ident(&mut out, you);
            out.put_u16(*objection);
        }
        Ours::Behind { you, held } => {
            put_ident(&mut out, you);
            out.put_u64(held.0);
        }
    }
    let sum = checksum(&out);
    out[10..14].copy_from_slice(&sum.to_be_bytes());
    out
}

fn checksum(datagram: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&datagram[..10]);
    hasher.update(&datagram[HEAD..]);
    hasher.finalize()
}

fn put_verdict(out: &mut Vec<u8>, verdict: &Verdict) {
    match verdict {
        Verdict::Welcome => out.put_u8(1),
        Verdict::Behind(held) => {
            out.put_u8(2);
            out.put_u64(held.0);
        }
        Verdict::Taken(by) => {
            out.put_u8(3);
            put_addr(out, *by);
        }
        Verdict::Wait => out.put_u8(4),
        Verdict::ShutOut(reason) => {
            out.put_u8(5);
            reason.put(out);
        }
        Verdict::Full => out.put_u8(6),
    }
}

fn take_verdict(from: &mut impl Buf) -> Option<Verdict> {
    Some(match from.try_get_u8().ok()? {
        1 => Verdict::Welcome,
        2 => Verdict::Behind(Incarnation(from.try_get_u64().ok()?)),
        3 => Verdict::Taken(take_addr(from)?),
        4 => Verdict::Wait,
        5 => Verdict::ShutOut(Reason::take(from)?),
        6 => Verdict::Full,
        _ => return None,
    })
}

/// Opens a datagram.
pub(crate) fn open(fleet: FleetId, datagram: &[u8]) -> Result<Ours<'_>, Dropped> {
    if datagram.len() < HEAD {
        return Err(Dropped::TooShort);
    }
    if datagram.len() > LARGEST {
        return Err(Dropped::TooLong);
    }
    if datagram[0] != VERSION {
        return Err(Dropped::Version);
    }
    if datagram[2..10] != fleet.0.to_be_bytes() {
        return Err(Dropped::Fleet);
    }
    if datagram[10..HEAD] != checksum(datagram).to_be_bytes() {
        return Err(Dropped::Checksum);
    }
    let mut rest = &datagram[HEAD..];
    let message = |rest: &mut &[u8]| {
        let from = take_ident(rest)?;
        Some((from, rest.try_get_u64().ok()?))
    };
    let opened = match datagram[1] {
        1 => return Ok(Ours::Swim(rest)),
        2 => message(&mut rest).map(|(from, number)| Ours::Hello { from, number }),
        3 => message(&mut rest).map(|(from, number)| Ours::Hi { from, number }),
        4 => message(&mut rest).map(|(from, number)| Ours::Join { from, number }),
        5 => message(&mut rest).and_then(|(from, number)| {
            Some(Ours::Answer { from, number, verdict: take_verdict(&mut rest)? })
        }),
        6 => return take_name(&mut rest).map(|to| Ours::Relay { to, swim: rest }).ok_or(Dropped::Malformed),
        7 => {
            return take_name(&mut rest)
                .map(|from| Ours::Relayed { from, swim: rest })
                .ok_or(Dropped::Malformed);
        }
        8 => take_ident(&mut rest).and_then(|from| {
            let you = take_ident(&mut rest)?;
            Some(Ours::Accused { from, you, objection: rest.try_get_u16().ok()? })
        }),
        10 => {
            let told = take_name(&mut rest).map(|from| Ours::Told { from, notice: rest });
            return told.ok_or(Dropped::Malformed);
        }
        9 => message(&mut rest).map(|(you, held)| Ours::Behind { you, held: Incarnation(held) }),
        _ => return Err(Dropped::Kind),
    };
    // Nothing may stand behind a message: what we do not know we did not understand.
    opened.filter(|_| rest.is_empty()).ok_or(Dropped::Malformed)
}

/// How `foca`'s messages are written.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Codec;

/// Something did not fit, or can't be read.
#[derive(Debug, thiserror::Error)]
#[error("not to be written or read")]
pub(crate) struct Unreadable;

impl foca::Codec<Ident> for Codec {
    type Error = Unreadable;

    fn encode_header(&mut self, header: &Header<Ident>, buf: impl BufMut) -> Result<(), Unreadable> {
        put_header(header, buf).ok_or(Unreadable)
    }

    fn decode_header(&mut self, mut buf: impl Buf) -> Result<Header<Ident>, Unreadable> {
        take_header(&mut buf).ok_or(Unreadable)
    }

    fn encode_member(&mut self, member: &Member<Ident>, buf: impl BufMut) -> Result<(), Unreadable> {
        put_member(member, buf).ok_or(Unreadable)
    }

    fn decode_member(&mut self, mut buf: impl Buf) -> Result<Member<Ident>, Unreadable> {
        take_member(&mut buf).ok_or(Unreadable)
    }
}

fn put_header(header: &Header<Ident>, mut buf: impl BufMut) -> Option<()> {
    put_ident(&mut buf, &header.src)?;
    put_ident(&mut buf, &header.dst)?;
    if buf.remaining_mut() < 4 {
        return None;
    }
    buf.put_u16(header.src_incarnation);
    let (kind, number, other) = match &header.message {
        Message::Ping(n) => (1, *n, None),
        Message::Ack(n) => (2, *n, None),
        Message::PingReq { target, probe_number } => (3, *probe_number, Some(target)),
        Message::IndirectPing { origin, probe_number } => (4, *probe_number, Some(origin)),
        Message::IndirectAck { target, probe_number } => (5, *probe_number, Some(target)),
        Message::ForwardedAck { origin, probe_number } => (6, *probe_number, Some(origin)),
        Message::Announce => (7, 0, None),
        Message::Feed => (8, 0, None),
        Message::Gossip => (9, 0, None),
        Message::Broadcast => (10, 0, None),
        Message::TurnUndead => (11, 0, None),
    };
    buf.put_slice(&[kind, number]);
    other.map_or(Some(()), |ident| put_ident(&mut buf, ident))
}

pub(crate) fn take_header(buf: &mut impl Buf) -> Option<Header<Ident>> {
    let (src, dst) = (take_ident(buf)?, take_ident(buf)?);
    let src_incarnation = buf.try_get_u16().ok()?;
    let (kind, probe_number) = (buf.try_get_u8().ok()?, buf.try_get_u8().ok()?);
    let message = match kind {
        1 => Message::Ping(probe_number),
        2 => Message::Ack(probe_number),
        3 => Message::PingReq { target: take_ident(buf)?, probe_number },
        4 => Message::IndirectPing { origin: take_ident(buf)?, probe_number },
        5 => Message::IndirectAck { target: take_ident(buf)?, probe_number },
        6 => Message::ForwardedAck { origin: take_ident(buf)?, probe_number },
        7 => Message::Announce,
        8 => Message::Feed,
        9 => Message::Gossip,
        10 => Message::Broadcast,
        11 => Message::TurnUndead,
        _ => return None,
    };
    Some(Header { src, src_incarnation, dst, message })
}

fn put_member(member: &Member<Ident>, mut buf: impl BufMut) -> Option<()> {
    put_ident(&mut buf, member.id())?;
    (buf.remaining_mut() >= 3).then(|| {
        buf.put_u16(member.incarnation());
        buf.put_u8(match member.state() {
            State::Alive => 1,
            State::Suspect => 2,
            State::Down => 3,
        });
    })
}

fn take_member(buf: &mut impl Buf) -> Option<Member<Ident>> {
    let ident = take_ident(buf)?;
    let incarnation = buf.try_get_u16().ok()?;
    let state = match buf.try_get_u8().ok()? {
        1 => State::Alive,
        2 => State::Suspect,
        3 => State::Down,
        _ => return None,
    };
    Some(Member::new(ident, incarnation, state))
}

/// A message of `foca` read without it: its header, and the members it tells of.
pub(crate) fn look(mut swim: &[u8]) -> Option<(Header<Ident>, Vec<Member<Ident>>)> {
    let header = take_header(&mut swim)?;
    let mut members = Vec::new();
    let tells = !matches!(header.message, Message::Broadcast | Message::Announce | Message::TurnUndead);
    if tells && swim.remaining() >= 2 {
        for _ in 0..swim.get_u16() {
            members.push(take_member(&mut swim)?);
        }
    }
    Some((header, members))
}

#[cfg(test)]
mod tests;
