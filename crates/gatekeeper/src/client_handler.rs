//! Serves client connections: reads requests, asks the dispatcher for a decision and executes it.

use std::net::TcpStream;
use std::sync::Arc;

use lynxstair::types::{Outcome, RequestId};
use lynxstair_dispatch::{Decision, FinalReply};
use lynxstair_net::connection::{Connection, ReadOutcome};
use lynxstair_net::coroutine::spawn_then;
use lynxstair_net::http::MAX_MESSAGE_BYTES;
use lynxstair_net::log_limited;
use lynxstair_net::wake_timer::WakeTimer;

use crate::client_connection::{ClientConnection, ClientContext, NextMessage};
use crate::client_listener::ClientListener;
use crate::client_registry::ClientRegistry;
use crate::forwarder::{ClientDispatcher, Forwarder};

/// Serves all client connections.
pub struct ClientHandler {
    /// State shared by the connections.
    pub context: Arc<ClientContext>,
    /// Open connections.
    pub registry: Arc<ClientRegistry>,
    /// Listener for new connections.
    pub listener: ClientListener,
    /// Dispatcher of requests.
    pub dispatcher: Arc<ClientDispatcher>,
    /// Forwarder of attempts to workers.
    pub forwarder: Arc<Forwarder>,
    /// Timer of the gatekeeper.
    pub wake_timer: Arc<WakeTimer>,
}

impl ClientHandler {
    /// Accepts clients until the listener is stopped. Must run in a coroutine of its own.
    pub fn accept(self: &Arc<Self>) {
        self.listener.accept(&self.context.clock, |stream| self.admit(stream));
    }

    /// Serves a new connection in a new coroutine.
    fn admit(self: &Arc<Self>, stream: TcpStream) {
        let connection = match Connection::new(stream, MAX_MESSAGE_BYTES) {
            Ok(connection) => connection,
            Err(e) => return log_limited!("cannot serve a client connection: {e}"),
        };
        let number = self.registry.next_number();
        let client = Arc::new(ClientConnection::new(number, connection, self.context.clone()));
        self.registry.insert(&client);
        let (handler, serving, this) = (self.clone(), client.clone(), self.clone());
        let serve = move || handler.serve(&serving);
        spawn_then("a client", serve, move |has_panicked| this.on_connection_ended(&client, has_panicked));
    }

    fn serve(&self, client: &Arc<ClientConnection>) {
        loop {
            while self.handle_message(client) {}
            if client.connection.read() != ReadOutcome::Bytes {
                return;
            }
        }
    }

    /// Handles the next message if it is complete. Returns `false` if there is none.
    fn handle_message(&self, client: &Arc<ClientConnection>) -> bool {
        let (request, extent) = match client.next_message(|now| self.wake_timer.received_at(now)) {
            NextMessage::None => return false,
            NextMessage::Handled => return true,
            NextMessage::Request(request, extent) => (request, extent),
        };
        let now = self.context.clock.now();
        let (id, decision) = self.dispatcher.dispatch(now, request, client.clone());
        client.begin_request(id, extent);
        match decision {
            Decision::Forward(assignment) => self.forwarder.forward(assignment),
            Decision::Reply(reply) => client.reply(id, reply),
        }
        self.wake_timer.wake_by(self.dispatcher.next_due());
        true
    }

    fn on_connection_ended(&self, client: &ClientConnection, has_panicked: bool) {
        if has_panicked {
            self.fail_request(client);
        }
        self.end_request(client);
        client.end();
        self.registry.remove(client);
        self.listener.resume();
    }

    /// Ends the open request, if there is one, and aborts its attempts.
    fn end_request(&self, client: &ClientConnection) -> Option<RequestId> {
        let request = client.open_request()?;
        for attempt in &self.dispatcher.end_request(self.context.clock.now(), request) {
            self.forwarder.abort(attempt, Outcome::Cancelled);
        }
        Some(request)
    }

    /// Ends the open request with an error reply, which leaves open whether the request was processed.
    fn fail_request(&self, client: &ClientConnection) {
        if let Some(request) = self.end_request(client) {
            client.reply(request, FinalReply::Errored);
        }
    }

    /// Ends all open requests with an error reply.
    pub fn fail_all_requests(&self) {
        for client in self.registry.all() {
            self.fail_request(&client);
        }
    }

    /// Serves the connections that the kernel has accepted already, then closes the listener and the idle
    /// connections.
    pub fn stop_listening(self: &Arc<Self>) {
        self.listener.stop(|stream| self.admit(stream));
        let all = self.registry.all();
        let is_idle = |client: &&Arc<ClientConnection>| client.is_idle() && !client.connection.is_stale();
        all.iter().filter(is_idle).for_each(|client| client.connection.close());
    }

    /// Closes connections that have made no progress for too long.
    pub fn expire(&self) {
        self.registry.expire(self.context.clock.now());
        self.listener.resume();
    }
}
