//! The response pipeline of one client's connection: one response for each request, in the order of the requests, and none
//! after the last. A request that ends without its response ends the connection: whatever came next would be taken for its
//! response. No I/O.

/// Whether a response may be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It is the next one.
    Now,
    /// Those before it come first.
    Later,
    /// The connection has ended.
    Never,
}

/// What follows when the handling of a request has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterRequest {
    /// It is the turn of the response with this number, whenever it is there.
    Next(u64),
    /// Its response was the last one: the connection ends behind it.
    Finish,
    /// Its response was not written, or not completely: the connection breaks, so that its client can tell.
    Break,
}

/// The order of responses on one connection.
#[derive(Debug, Default)]
pub struct ResponsePipeline {
    received: u64,
    answered: u64,
    /// The response with this number is the last one; nothing is read behind its request.
    last: Option<u64>,
    /// The newest response that told its client that the connection stays.
    keeps_open: u64,
    is_over: bool,
}

impl ResponsePipeline {
    /// A request was read; `is_last`: it says itself that no other follows. Returns its number.
    pub fn on_request(&mut self, is_last: bool) -> u64 {
        self.received += 1;
        if is_last {
            self.last = Some(self.received);
        }
        self.received
    }

    /// The connection is closing: behind a request whose response is still to be begun, nothing is read. That response says
    /// so, and its client sends elsewhere what it sent behind it. Where the client was told that the connection stays, what
    /// it sends is read, and answered.
    pub fn stop_reading(&mut self) {
        if self.received > self.answered.max(self.keeps_open) && self.last.is_none() {
            self.last = Some(self.received);
        }
    }

    /// Whether more requests are read.
    pub fn accepts_requests(&self) -> bool {
        self.last.is_none() && !self.is_over
    }

    /// How many requests were read and not answered.
    pub fn unanswered(&self) -> u64 {
        self.received - self.answered
    }

    /// Whether a response may be written now.
    pub fn turn(&self, number: u64) -> Turn {
        match self.answered + 1 {
            _ if self.is_over => Turn::Never,
            next if next == number => Turn::Now,
            _ => Turn::Later,
        }
    }

    /// Right before a response is written: whether the connection ends with it. On a connection that is closing, requests
    /// that were read behind it are still answered.
    pub fn closes_after(&mut self, number: u64, is_closing: bool) -> bool {
        if is_closing {
            self.stop_reading();
        }
        let closes = self.last == Some(number);
        if !closes {
            self.keeps_open = number;
        }
        closes
    }

    /// A response was written completely.
    pub fn on_answered(&mut self, number: u64) {
        if self.turn(number) == Turn::Now {
            self.answered = number;
        }
    }

    /// The handling of a request has ended, or never began.
    pub fn on_request_done(&mut self, number: u64) -> AfterRequest {
        if self.answered < number {
            self.is_over = true;
        }
        match self.last {
            _ if self.is_over => AfterRequest::Break,
            Some(last) if last <= number => AfterRequest::Finish,
            _ => AfterRequest::Next(number + 1),
        }
    }

    /// Nothing is left to write.
    pub fn is_done(&self) -> bool {
        self.is_over || self.answered >= self.last.unwrap_or(self.received)
    }

    /// The connection has ended: no response is written any more.
    pub fn on_disconnected(&mut self) {
        self.is_over = true;
    }
}
