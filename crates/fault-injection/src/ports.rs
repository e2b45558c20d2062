//! Addresses of its own for each trial: 127.x.y.n, free ones.

use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};

const PORT: u16 = 7_100;
const SERVING: u16 = 8_443;
/// Gatekeeper n is at n + 1, and others reach it at this much more.
const FRONT: u8 = 128;

/// Where a trial's processes are.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place {
    b: u8,
    c: u8,
}

impl Place {
    /// One where nobody is. Two trials at a time look in different places first.
    pub fn find(gatekeepers: usize) -> std::io::Result<Place> {
        let pid = std::process::id();
        let mut last = None;
        for n in 0..64u32 {
            let at = pid.wrapping_mul(64).wrapping_add(n) % (200 * 250);
            let place = Place { b: (20 + at / 250) as u8, c: (at % 250 + 1) as u8 };
            match place.is_free(gatekeepers) {
                Ok(()) => return Ok(place),
                Err(e) => last = Some(e),
            }
        }
        Err(last.unwrap_or_else(|| std::io::Error::other("no free address")))
    }

    fn is_free(self, gatekeepers: usize) -> std::io::Result<()> {
        for n in 0..gatekeepers {
            for addr in [self.member(n), self.front(n)] {
                UdpSocket::bind(addr)?;
                TcpListener::bind(addr)?;
            }
            TcpListener::bind(self.serving(n))?;
        }
        Ok(())
    }

    fn at(self, d: u8, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.b, self.c, d), port)
    }

    /// Where the gatekeeper's control side is.
    pub fn member(self, n: usize) -> SocketAddrV4 {
        self.at(n as u8 + 1, PORT)
    }

    /// Where the others reach it: the relay.
    pub fn front(self, n: usize) -> SocketAddrV4 {
        self.at(n as u8 + 1 + FRONT, PORT)
    }

    /// Where clients reach it.
    pub fn serving(self, n: usize) -> SocketAddrV4 {
        self.at(n as u8 + 1, SERVING)
    }
}
