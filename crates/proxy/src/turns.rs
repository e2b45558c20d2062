//! The turns of the answers on one client's connection: one answer for each request, in the order of the requests, and
//! none after the last. A request that ends without its answer ends the connection: whatever came next would be taken
//! for its answer. No input or output.

/// Whether an answer may be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    Now,
    /// Those before it come first.
    Later,
    /// The connection has ended.
    Never,
}

/// What follows when whoever worked on a request has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Then {
    /// It is the turn of the answer by this number, whenever it is there.
    Next(u64),
    /// Its answer was the last one: the connection ends behind it.
    Finish,
    /// Its answer was not written, or not whole: the connection breaks, so that its client can tell.
    Break,
}

#[derive(Debug, Default)]
pub struct Turns {
    asked: u64,
    answered: u64,
    /// The answer by this number is the last one; nothing is read behind its request.
    last: Option<u64>,
    is_over: bool,
}

impl Turns {
    /// A request was read, and by its own word is the last one or not; its number.
    pub fn ask(&mut self, is_last: bool) -> u64 {
        self.asked += 1;
        if is_last {
            self.last = Some(self.asked);
        }
        self.asked
    }

    /// Whether more requests are read.
    pub fn takes_more(&self) -> bool {
        self.last.is_none() && !self.is_over
    }

    /// Requests that were read and not answered.
    pub fn at_work(&self) -> u64 {
        self.asked - self.answered
    }

    pub fn turn(&self, number: u64) -> Turn {
        match self.answered + 1 {
            _ if self.is_over => Turn::Never,
            next if next == number => Turn::Now,
            _ => Turn::Later,
        }
    }

    /// Right before an answer is written: whether the connection ends with it. Where connections are closing, those
    /// that were read behind it are still answered.
    pub fn ends_with(&mut self, number: u64, is_closing: bool) -> bool {
        if is_closing && self.last.is_none() {
            self.last = Some(self.asked);
        }
        self.last == Some(number)
    }

    /// An answer was handed over whole.
    pub fn answer(&mut self, number: u64) {
        if self.turn(number) == Turn::Now {
            self.answered = number;
        }
    }

    /// Whoever worked on a request has ended, or never began.
    pub fn end(&mut self, number: u64) -> Then {
        if self.answered < number {
            self.is_over = true;
        }
        match self.last {
            _ if self.is_over => Then::Break,
            Some(last) if last <= number => Then::Finish,
            _ => Then::Next(number + 1),
        }
    }

    /// Nothing is left to say.
    pub fn is_done(&self) -> bool {
        self.is_over || self.answered >= self.last.unwrap_or(self.asked)
    }

    /// The connection has ended: no answer is written any more.
    pub fn leave(&mut self) {
        self.is_over = true;
    }
}
