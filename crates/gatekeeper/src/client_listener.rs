//! Accepts clients' connections, as many as there is room for.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use lynxstair_net::clock::Clock;
use lynxstair_net::log_limited;
use lynxstair_net::server::{self, ListenError};
use may::io::{CoIo, WaitIo};

use crate::client_registry::ClientRegistry;

/// The listener for clients.
pub struct ClientListener {
    listener: CoIo<TcpListener>,
    registry: Arc<ClientRegistry>,
    /// No more are accepted: the listener is to be closed.
    is_closing: AtomicBool,
    /// Connections wait to be accepted until there is room.
    is_full: AtomicBool,
}

impl ClientListener {
    /// Binds the address.
    pub fn bind(address: SocketAddr, registry: Arc<ClientRegistry>) -> Result<Self, ListenError> {
        Ok(ClientListener {
            listener: server::listen(address)?,
            registry,
            is_closing: AtomicBool::new(false),
            is_full: AtomicBool::new(false),
        })
    }

    /// Accepts until it is told to stop, and hands each connection to `admit`.
    pub fn accept(&self, clock: &Clock, admit: impl Fn(TcpStream)) {
        while !self.is_closing.load(Ordering::Relaxed) {
            if !self.registry.has_room() && !self.registry.close_idlest(clock.now()) {
                self.wait_for_room();
                continue;
            }
            match self.listener.inner().accept() {
                Ok((stream, _)) => admit(stream),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.listener.wait_io();
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    log_limited!("accepting: {e}");
                    self.registry.close_idlest(clock.now());
                    self.wait_for_room();
                }
            }
        }
    }

    /// Those that wait outside are let in as soon as a connection ends.
    fn wait_for_room(&self) {
        self.is_full.store(true, Ordering::Relaxed);
        self.listener.wait_io();
    }

    /// There may be room again.
    pub fn resume(&self) {
        if self.is_full.swap(false, Ordering::Relaxed) {
            self.listener.waker().wakeup();
        }
    }

    /// Admits what the kernel has accepted already, and stops listening.
    pub fn stop(&self, admit: impl Fn(TcpStream)) {
        self.is_closing.store(true, Ordering::Relaxed);
        while let Ok((stream, _)) = self.listener.inner().accept() {
            admit(stream);
        }
        if let Err(e) = socket2::SockRef::from(self.listener.inner()).shutdown(std::net::Shutdown::Both) {
            log_limited!("closing the listener: {e}");
        }
        self.listener.waker().wakeup();
    }
}
