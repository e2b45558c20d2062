//! Handles clients' requests: from a message that was read to the decision on it, and to the end of the connection.

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

/// Handles the requests of all clients.
pub struct ClientHandler {
    /// What each connection needs.
    pub context: Arc<ClientContext>,
    /// All connections.
    pub registry: Arc<ClientRegistry>,
    /// Accepts them.
    pub listener: ClientListener,
    /// Decides on requests.
    pub dispatcher: Arc<ClientDispatcher>,
    /// Forwards them.
    pub forwarder: Arc<Forwarder>,
    /// Time.
    pub wake_timer: Arc<WakeTimer>,
}

impl ClientHandler {
    /// Accepts clients until it is told to stop; for a coroutine of its own.
    pub fn accept(self: &Arc<Self>) {
        self.listener.accept(&self.context.clock, |stream| self.admit(stream));
    }

    /// Serves a new connection in a coroutine of its own.
    fn admit(self: &Arc<Self>, stream: TcpStream) {
        let connection = match Connection::new(stream, MAX_MESSAGE_BYTES) {
            Ok(connection) => connection,
            Err(e) => return log_limited!("a client's connection: {e}"),
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

    /// Handles the next message, if it is complete; whether there may be another one.
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
            self.give_up(client);
        }
        self.end_request(client);
        client.end();
        self.registry.remove(client);
        self.listener.on_room();
    }

    /// Nothing more is owed for the open request, if there is one: its attempts end.
    fn end_request(&self, client: &ClientConnection) -> Option<RequestId> {
        let request = client.open_request()?;
        for attempt in &self.dispatcher.end_request(self.context.clock.now(), request) {
            self.forwarder.give_up(attempt, Outcome::Cancelled);
        }
        Some(request)
    }

    /// No reply can be waited for any more: an error promises nothing.
    fn give_up(&self, client: &ClientConnection) {
        if let Some(request) = self.end_request(client) {
            client.reply(request, FinalReply::Errored);
        }
    }

    /// Gives all open requests their final reply now.
    pub fn give_up_all(&self) {
        for client in self.registry.all() {
            self.give_up(&client);
        }
    }

    /// Admits what the kernel has accepted already, then closes the listener and the idle connections.
    pub fn stop_listening(self: &Arc<Self>) {
        self.listener.stop(|stream| self.admit(stream));
        let all = self.registry.all();
        let is_unused = |client: &&Arc<ClientConnection>| client.is_idle() && !client.connection.is_stale();
        all.iter().filter(is_unused).for_each(|client| client.connection.close());
    }

    /// Ends connections on which nothing has moved for too long.
    pub fn expire(&self) {
        self.registry.expire(self.context.clock.now());
        self.listener.on_room();
    }
}
