//! Encoding of names, addresses and identities in datagrams. Integers are big-endian; a text is preceded
//! by its length in one byte.

use std::net::{Ipv4Addr, SocketAddrV4};

use bytes::{Buf, BufMut};

use crate::identity::{Identity, Incarnation, MAX_NAME_BYTES, Name};

const ADDRESS_BYTES: usize = 6;
/// Size of the incarnation and run of an identity.
const INCARNATION_AND_RUN_BYTES: usize = 12;

/// Encodes a name. The encoding functions return `None` if the buffer is too small.
pub(crate) fn encode_name(out: &mut impl BufMut, name: &Name) -> Option<()> {
    let bytes = name.as_str().as_bytes();
    (out.remaining_mut() > bytes.len()).then(|| {
        out.put_u8(bytes.len() as u8);
        out.put_slice(bytes);
    })
}

/// Decodes a name. The decoding functions return `None` if the buffer doesn't hold a valid value.
pub(crate) fn decode_name(from: &mut impl Buf) -> Option<Name> {
    let length = usize::from(from.try_get_u8().ok()?);
    if length > MAX_NAME_BYTES || from.remaining() < length {
        return None;
    }
    let mut bytes = [0; MAX_NAME_BYTES];
    from.copy_to_slice(&mut bytes[..length]);
    Name::new(std::str::from_utf8(&bytes[..length]).ok()?).ok()
}

pub(crate) fn encode_address(out: &mut impl BufMut, addr: SocketAddrV4) -> Option<()> {
    (out.remaining_mut() >= ADDRESS_BYTES).then(|| {
        out.put_slice(&addr.ip().octets());
        out.put_u16(addr.port());
    })
}

pub(crate) fn decode_address(from: &mut impl Buf) -> Option<SocketAddrV4> {
    let ip = Ipv4Addr::from_bits(from.try_get_u32().ok()?);
    Some(SocketAddrV4::new(ip, from.try_get_u16().ok()?))
}

pub(crate) fn encode_identity(out: &mut impl BufMut, identity: &Identity) -> Option<()> {
    encode_name(out, &identity.name)?;
    encode_name(out, &identity.zone)?;
    encode_address(out, identity.addr)?;
    (out.remaining_mut() >= INCARNATION_AND_RUN_BYTES).then(|| {
        out.put_u64(identity.incarnation.0);
        out.put_u32(identity.run);
    })
}

pub(crate) fn decode_identity(from: &mut impl Buf) -> Option<Identity> {
    Some(Identity {
        name: decode_name(from)?,
        zone: decode_name(from)?,
        addr: decode_address(from)?,
        incarnation: Incarnation(from.try_get_u64().ok()?),
        run: from.try_get_u32().ok()?,
    })
}
