//! Clients that send ahead on their connections and read nothing, and what a process takes meanwhile.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use socket2::{Domain, Socket, Type};

/// Receive buffer of a client, so that unread responses stay with the process under test.
const RECEIVE_BUFFER_BYTES: usize = 4 << 10;
/// A client stops sending once the process has taken nothing for this long.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// What each client of a crowd sends: `first` once, then `repeated` again and again.
#[derive(Clone, Debug)]
pub struct CrowdPlan {
    /// Number of clients, each with one connection.
    pub clients: usize,
    /// Bytes sent at first.
    pub first: Vec<u8>,
    /// Bytes sent after that.
    pub repeated: Vec<u8>,
    /// Number of repetitions.
    pub repetitions: usize,
}

/// Open connections of clients that read nothing. They are closed on drop.
pub struct Crowd {
    /// Connections that the process has not refused at once.
    pub connections: Vec<TcpStream>,
}

impl Crowd {
    /// Lets all clients send at the same time. Returns when each has sent everything, or can send no more: the
    /// process has closed its connection, or takes nothing.
    pub fn send(to: SocketAddr, plan: &CrowdPlan) -> Crowd {
        let clients: Vec<_> = (0..plan.clients)
            .map(|_| {
                let plan = plan.clone();
                thread::spawn(move || send_ahead(to, &plan))
            })
            .collect();
        let connections = clients.into_iter().filter_map(|client| client.join().expect("a client")).collect();
        Crowd { connections }
    }
}

fn send_ahead(to: SocketAddr, plan: &CrowdPlan) -> Option<TcpStream> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("set");
    socket.connect_timeout(&to.into(), Duration::from_secs(5)).ok()?;
    let mut stream = TcpStream::from(socket);
    stream.set_write_timeout(Some(SEND_TIMEOUT)).expect("set");
    let repeated = std::iter::repeat_n(&plan.repeated, plan.repetitions);
    for bytes in std::iter::once(&plan.first).chain(repeated) {
        if stream.write_all(bytes).is_err() {
            break;
        }
    }
    Some(stream)
}

/// A process under test, by its id.
#[derive(Clone, Copy, Debug)]
pub struct ProcessUsage(pub u32);

impl ProcessUsage {
    fn path(self, name: &str) -> PathBuf {
        PathBuf::from(format!("/proc/{}/{name}", self.0))
    }

    /// Most memory that the process has had at any time, in kilobytes.
    ///
    /// # Panics
    /// If the process has ended.
    pub fn peak_memory_kb(self) -> u64 {
        let status = std::fs::read_to_string(self.path("status")).expect("the process lives");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("the process lives");
        peak.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    /// Number of descriptors that the process has open.
    ///
    /// # Panics
    /// If the process has ended.
    pub fn open_descriptors(self) -> usize {
        std::fs::read_dir(self.path("fd")).expect("the process lives").count()
    }

    /// Checks that the process lives and is within its limits, as the settings file names them.
    ///
    /// # Panics
    /// If it has ended or is not.
    pub fn assert_within(self, memory_mb: u64, max_fds: usize) {
        let (memory_kb, descriptors) = (self.peak_memory_kb(), self.open_descriptors());
        assert!(memory_kb <= memory_mb << 10, "{memory_kb} kB, {memory_mb} MB allowed");
        assert!(descriptors <= max_fds, "{descriptors} descriptors, {max_fds} allowed");
    }
}
