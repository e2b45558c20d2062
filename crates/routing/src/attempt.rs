//! A try: one sending of a request to one worker, from the connection to the end. What the kernel took of it, what
//! came back and whose that was; and so, at its end, what may be said of the request. `docs/design/tries.md` has the
//! same rows. The road tells it what it met and does what it says.

use crate::execution::Verdict;
use lynxstair::types::Outcome;

/// How far a try has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// The kernel has taken nothing of the request.
    Unsent,
    /// A part of it; the last byte is still here, and is never sent on once the try has ended.
    PartlySent,
    /// All of it: it may arrive and run, whatever becomes of the connection or of us.
    Sent,
    Ended,
}

/// Whose an answer is, by the ids that it carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Whose {
    Ours,
    /// It carries the id of another request: one that came too late, or one too many.
    Anothers,
    /// It carries no id.
    Nobodys,
    /// It carries more than one.
    Unclear,
}

/// An answer's head; the whole answer is there, or, where it is long, its beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heard {
    pub whose: Whose,
    pub status: u16,
    pub says_not_run: bool,
    pub is_sealed: bool,
    pub is_encoded: bool,
    /// Nothing of it is still to come, nothing stands behind it, and the worker lets the connection stand.
    pub is_clean: bool,
}

/// Why no more is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// The connection was closed in order, or reset.
    Lost,
    ClientGone,
    TimeUp,
}

/// What the road met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Met {
    /// No connection came up in time, or none may be opened.
    NoConnection,
    /// The request may not be sent any more: its time is up, its zone evacuated, the book too old.
    Withheld,
    /// The kernel has taken some of the request; whether all of it.
    Taken {
        all: bool,
    },
    Answer(Heard),
    /// Bytes that form no answer.
    Garbled,
    /// All that the kernel held was read, and none of it was the answer; whether an unfinished one is there.
    Stopped {
        why: Stop,
        in_part: bool,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// There is more to wait for.
    GoOn,
    /// The answer is not this request's: it is passed over, and the next one looked at.
    PassOver,
    Over(End),
}

/// The end of a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct End {
    pub verdict: Verdict,
    pub outcome: Outcome,
    /// The connection may carry another request.
    pub keep: bool,
}

#[derive(Debug)]
pub struct Try {
    state: State,
    /// The connection carried no other request before.
    is_first: bool,
    /// Something came that was not this request's.
    has_surplus: bool,
}

impl Try {
    pub fn begin(is_first: bool) -> Try {
        Try { state: State::Unsent, is_first, has_surplus: false }
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// Every change goes through here.
    pub fn step(&mut self, met: Met) -> Step {
        let step = match met {
            Met::NoConnection => over(Verdict::NeverRan, Outcome::ConnectFailed),
            Met::Withheld => over(Verdict::NeverRan, Outcome::Cancelled),
            Met::Taken { all } => {
                self.state = if all { State::Sent } else { State::PartlySent };
                Step::GoOn
            }
            Met::Answer(heard) => self.judge(heard),
            // Who answers something has read something: also where the end of the request has not left.
            Met::Garbled => over(Verdict::MayHaveRun, Outcome::Errored),
            Met::Stopped { why, in_part } => self.stopped(why, in_part),
        };
        if matches!(step, Step::Over(_)) {
            self.state = State::Ended;
        }
        step
    }

    fn judge(&mut self, heard: Heard) -> Step {
        if (100..200).contains(&heard.status) {
            return Step::PassOver;
        }
        match heard.whose {
            Whose::Unclear => return over(Verdict::MayHaveRun, Outcome::Errored),
            // The one answer without an id that is somebody's: to a request that came without one. Only where no
            // other request can be meant.
            Whose::Nobodys
                if heard.status == 400 && heard.says_not_run && self.is_first && !self.has_surplus =>
            {
                return over(Verdict::NeverRan, Outcome::Full);
            }
            Whose::Anothers | Whose::Nobodys => {
                self.has_surplus = true;
                return Step::PassOver;
            }
            Whose::Ours => {}
        }
        let keep = heard.is_clean && !self.has_surplus && self.state == State::Sent;
        let end = |verdict, outcome| Step::Over(End { verdict, outcome, keep });
        match (heard.status, heard.says_not_run) {
            (400 | 429 | 503, true) | (421, _) => end(Verdict::NeverRan, Outcome::Full),
            // It contradicts itself; or it is a promise that the worker did not give and we can't.
            (_, true) | (408 | 429 | 503, false) => over(Verdict::MayHaveRun, Outcome::Errored),
            _ if heard.is_encoded => over(Verdict::MayHaveRun, Outcome::Errored),
            (200..300, _) if !heard.is_sealed => over(Verdict::MayHaveRun, Outcome::Errored),
            (500.., _) => end(Verdict::Failed, Outcome::Errored),
            _ => end(Verdict::Ran, Outcome::Succeeded),
        }
    }

    fn stopped(&self, why: Stop, in_part: bool) -> Step {
        let outcome = match why {
            Stop::Lost => Outcome::Reset,
            Stop::ClientGone => Outcome::Cancelled,
            Stop::TimeUp => Outcome::TimedOut,
        };
        // Where an answer has begun, the worker did not wait for the end of the request.
        let may_have_run = self.state >= State::Sent || self.state == State::PartlySent && in_part;
        match (may_have_run, why) {
            (true, _) => over(Verdict::MayHaveRun, outcome),
            (false, Stop::ClientGone) => over(Verdict::NeverRan, Outcome::Cancelled),
            (false, _) => over(Verdict::NeverRan, Outcome::ConnectFailed),
        }
    }
}

/// An end after which the connection carries nothing more.
fn over(verdict: Verdict, outcome: Outcome) -> Step {
    Step::Over(End { verdict, outcome, keep: false })
}
