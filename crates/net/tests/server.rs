//! The server of requests on loopback sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

use lynxstair_net::alarms::Alarms;
use lynxstair_net::clock::Clock;
use lynxstair_net::coroutine::{configure_runtime, spawn};
use lynxstair_net::server::{self, Request, Response, ServerLimits};

/// More than sockets on loopback hold.
const LONG: usize = 16 << 20;

/// A reply longer than the kernel takes at once comes whole, also where it is the last one on its connection. Before, a
/// configuration of 69 kB was cut short for an operator that closed after each call, and could not be read back.
#[test]
fn a_long_last_reply_comes_whole() {
    configure_runtime();
    let on: SocketAddr = "127.7.3.1:18311".parse().expect("an address");
    let alarms = Arc::new(Alarms::new(Clock::start()).expect("alarms"));
    let a = alarms.clone();
    spawn("alarms", move || a.run());
    let listener = server::listen(on).expect("listens");
    let limits = ServerLimits { max_body_bytes: 32 << 20, max_connections: 8 };
    let long = |_: &Request| Response::json(200, vec![b'x'; LONG]);
    spawn("calls", move || server::serve(&listener, &alarms, limits, &Arc::new(long)));
    for connection in ["close", "keep-alive"] {
        let mut stream = TcpStream::connect(on).expect("connects");
        write!(stream, "GET /config HTTP/1.1\r\nHost: x\r\nConnection: {connection}\r\n\r\n").expect("asks");
        let (mut got, mut piece) = (0, vec![0; 1 << 16]);
        while got < LONG {
            let n = stream.read(&mut piece).expect("reads");
            assert!(n > 0, "{connection}: cut short after {got} bytes");
            got += n;
        }
    }
}
