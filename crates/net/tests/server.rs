//! Tests of the HTTP server on loopback sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

use lynxstair_net::alarms::Alarms;
use lynxstair_net::clock::Clock;
use lynxstair_net::coroutine::{configure_runtime, spawn};
use lynxstair_net::server::{self, Request, Response, ServerLimits};

/// Length of a response that exceeds the socket buffers of loopback connections, in bytes.
const RESPONSE_BYTES: usize = 16 << 20;

/// Guards against closing a connection before the kernel has taken all of its last response.
#[test]
fn long_last_response_is_sent_completely() {
    configure_runtime();
    let address: SocketAddr = "127.7.3.1:18311".parse().expect("an address");
    let alarms = Arc::new(Alarms::new(Clock::start()).expect("alarms"));
    let a = alarms.clone();
    spawn("alarms", move || a.run());
    let listener = server::listen(address).expect("listens");
    let limits = ServerLimits { max_body_bytes: 32 << 20, max_connections: 8 };
    let handler = |_: &Request| Response::json(200, vec![b'x'; RESPONSE_BYTES]);
    spawn("calls", move || server::serve(&listener, &alarms, limits, &Arc::new(handler)));
    for connection in ["close", "keep-alive"] {
        let mut stream = TcpStream::connect(address).expect("connects");
        write!(stream, "GET /config HTTP/1.1\r\nHost: x\r\nConnection: {connection}\r\n\r\n").expect("asks");
        let (mut received, mut chunk) = (0, vec![0; 1 << 16]);
        while received < RESPONSE_BYTES {
            let n = stream.read(&mut chunk).expect("reads");
            assert!(n > 0, "{connection}: cut short after {received} bytes");
            received += n;
        }
    }
}
