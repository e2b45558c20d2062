//! Free loopback addresses for a trial, of the form 127.b.c.n.

use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};

const CONTROL_PORT: u16 = 7_100;
const SERVING_PORT: u16 = 8_443;
/// Gatekeeper n has the last octet n + 1; its relay address is higher by this offset.
const RELAY_ADDRESS_OFFSET: u8 = 128;

/// The addresses of a trial.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TrialAddresses {
    second_octet: u8,
    third_octet: u8,
}

impl TrialAddresses {
    /// Finds a free range. The search starts at a position derived from the process id, so that concurrent
    /// trials rarely collide.
    pub fn find(gatekeepers: usize) -> std::io::Result<TrialAddresses> {
        let pid = std::process::id();
        let mut last = None;
        for n in 0..64u32 {
            let at = pid.wrapping_mul(64).wrapping_add(n) % (200 * 250);
            let addresses =
                TrialAddresses { second_octet: (20 + at / 250) as u8, third_octet: (at % 250 + 1) as u8 };
            match addresses.check_free(gatekeepers) {
                Ok(()) => return Ok(addresses),
                Err(e) => last = Some(e),
            }
        }
        Err(last.unwrap_or_else(|| std::io::Error::other("no free address")))
    }

    fn check_free(self, gatekeepers: usize) -> std::io::Result<()> {
        for n in 0..gatekeepers {
            for addr in [self.control_addr(n), self.relay_addr(n)] {
                UdpSocket::bind(addr)?;
                TcpListener::bind(addr)?;
            }
            TcpListener::bind(self.serving_addr(n))?;
        }
        Ok(())
    }

    fn at(self, d: u8, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.second_octet, self.third_octet, d), port)
    }

    /// Control address of a gatekeeper.
    pub fn control_addr(self, n: usize) -> SocketAddrV4 {
        self.at(n as u8 + 1, CONTROL_PORT)
    }

    /// Address at which other gatekeepers reach it through the relay.
    pub fn relay_addr(self, n: usize) -> SocketAddrV4 {
        self.at(n as u8 + 1 + RELAY_ADDRESS_OFFSET, CONTROL_PORT)
    }

    /// Address at which clients reach it.
    pub fn serving_addr(self, n: usize) -> SocketAddrV4 {
        self.at(n as u8 + 1, SERVING_PORT)
    }
}
