//! Response order on one client connection: one response per request, in request order, and none after the
//! last. If a request ends without a response, the connection is aborted, because the client would take the
//! next response for the missing one. No I/O.

/// Turn of a response to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// The response is next.
    Now,
    /// Earlier responses must be written first.
    Later,
    /// The connection has ended; the response is never written.
    Never,
}

/// Step after the handling of a request has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterRequest {
    /// The response with this number is next.
    Next(u64),
    /// The last response was written; the connection can be closed in order.
    Finish,
    /// A response is missing or incomplete; the connection must be aborted so that the client notices.
    Abort,
}

/// The order of responses on one connection.
#[derive(Debug, Default)]
pub struct ResponsePipeline {
    received: u64,
    answered: u64,
    /// Number of the last response; no request after it is read.
    last: Option<u64>,
    /// Number of the newest response that announced keep-alive.
    last_keep_alive: u64,
    has_ended: bool,
}

impl ResponsePipeline {
    /// Registers a request and returns its number, starting at 1. `is_last`: no further request is read on this
    /// connection.
    pub fn on_request(&mut self, is_last: bool) -> u64 {
        self.received += 1;
        if is_last {
            self.last = Some(self.received);
        }
        self.received
    }

    /// Stops reading after the newest request, if its response can still announce the close; the client then
    /// sends later requests elsewhere. If the client was already promised keep-alive, its next request is
    /// still read and answered.
    pub fn stop_reading(&mut self) {
        if self.received > self.answered.max(self.last_keep_alive) && self.last.is_none() {
            self.last = Some(self.received);
        }
    }

    /// Returns `true` if further requests may be read.
    pub fn accepts_requests(&self) -> bool {
        self.last.is_none() && !self.has_ended
    }

    /// Returns the number of requests without a complete response.
    pub fn unanswered(&self) -> u64 {
        self.received - self.answered
    }

    /// Returns the turn of the response with this number.
    pub fn turn(&self, number: u64) -> Turn {
        match self.answered + 1 {
            _ if self.has_ended => Turn::Never,
            next if next == number => Turn::Now,
            _ => Turn::Later,
        }
    }

    /// Returns `true` if the connection closes after this response. Must be called right before its head is
    /// written. `is_closing`: the proxy closes its connections; requests that were already read are still
    /// answered.
    pub fn closes_after(&mut self, number: u64, is_closing: bool) -> bool {
        if is_closing {
            self.stop_reading();
        }
        let closes = self.last == Some(number);
        if !closes {
            self.last_keep_alive = number;
        }
        closes
    }

    /// Records that a response was written completely.
    pub fn on_answered(&mut self, number: u64) {
        if self.turn(number) == Turn::Now {
            self.answered = number;
        }
    }

    /// Records that the handling of a request has ended or could not start.
    pub fn on_request_done(&mut self, number: u64) -> AfterRequest {
        if self.answered < number {
            self.has_ended = true;
        }
        match self.last {
            _ if self.has_ended => AfterRequest::Abort,
            Some(last) if last <= number => AfterRequest::Finish,
            _ => AfterRequest::Next(number + 1),
        }
    }

    /// Returns `true` if no response is left to write.
    pub fn is_done(&self) -> bool {
        self.has_ended || self.answered >= self.last.unwrap_or(self.received)
    }

    /// Records the end of the connection; no further response is written.
    pub fn on_disconnected(&mut self) {
        self.has_ended = true;
    }
}
