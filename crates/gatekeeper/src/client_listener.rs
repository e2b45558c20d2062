//! Accepts client connections up to a limit.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use lynxstair_net::clock::Clock;
use lynxstair_net::log_limited;
use lynxstair_net::server::{self, ListenError};
use may::io::{CoIo, WaitIo};

use crate::client_registry::ClientRegistry;

/// Listener for client connections.
pub struct ClientListener {
    listener: CoIo<TcpListener>,
    registry: Arc<ClientRegistry>,
    /// `true` once the listener is being closed.
    is_closing: AtomicBool,
    /// `true` while accepting is paused because no further connection can be opened.
    is_paused: AtomicBool,
}

impl ClientListener {
    /// Binds a listener to `address`.
    pub fn bind(address: SocketAddr, registry: Arc<ClientRegistry>) -> Result<Self, ListenError> {
        Ok(ClientListener {
            listener: server::listen(address)?,
            registry,
            is_closing: AtomicBool::new(false),
            is_paused: AtomicBool::new(false),
        })
    }

    /// Accepts connections until `stop` is called, and passes each to `admit`.
    ///
    /// At the limit, the connection that has been idle for the longest time is closed first.
    pub fn accept(&self, clock: &Clock, admit: impl Fn(TcpStream)) {
        while !self.is_closing.load(Ordering::Relaxed) {
            if !self.registry.has_capacity() && !self.registry.close_longest_idle(clock.now()) {
                self.wait_for_capacity();
                continue;
            }
            match self.listener.inner().accept() {
                Ok((stream, _)) => admit(stream),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.listener.wait_io();
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    log_limited!("cannot accept a connection: {e}");
                    self.registry.close_longest_idle(clock.now());
                    self.wait_for_capacity();
                }
            }
        }
    }

    /// Pauses until `resume` is called or the listener has an event.
    fn wait_for_capacity(&self) {
        self.is_paused.store(true, Ordering::Relaxed);
        self.listener.wait_io();
    }

    /// Resumes accepting if it is paused.
    pub fn resume(&self) {
        if self.is_paused.swap(false, Ordering::Relaxed) {
            self.listener.waker().wakeup();
        }
    }

    /// Passes the connections that the kernel has accepted already to `admit`, and stops listening.
    pub fn stop(&self, admit: impl Fn(TcpStream)) {
        self.is_closing.store(true, Ordering::Relaxed);
        while let Ok((stream, _)) = self.listener.inner().accept() {
            admit(stream);
        }
        if let Err(e) = socket2::SockRef::from(self.listener.inner()).shutdown(std::net::Shutdown::Both) {
            log_limited!("cannot close the listener: {e}");
        }
        self.listener.waker().wakeup();
    }
}
