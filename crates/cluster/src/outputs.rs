//! Outputs of the state machines.

use std::net::SocketAddrV4;
use std::sync::Arc;

use lynxstair::types::Time;
use lynxstair_net::wake_timer::WakeTimer;
use serde::Serialize;

use crate::datagrams::DatagramSocket;
use crate::history::History;

/// Socket, history and timer, shared by membership and duties.
#[derive(Clone)]
pub(crate) struct Outputs {
    pub socket: Arc<DatagramSocket>,
    pub history: Arc<History>,
    pub wake_timer: Arc<WakeTimer>,
}

impl Outputs {
    pub fn send(&self, to: SocketAddrV4, datagram: &[u8]) {
        self.socket.send(to, datagram);
    }

    pub fn record_event<E: Serialize>(&self, now: Time, event: &E) {
        self.history.record(now, event);
    }

    /// Makes the timer fire at `deadline` at the latest; does nothing without a deadline.
    pub fn wake_by(&self, deadline: Option<Time>) {
        if let Some(deadline) = deadline {
            self.wake_timer.wake_by(deadline);
        }
    }
}
