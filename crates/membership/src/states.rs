//! The states of a member as seen from here, and what may follow what.

use serde::{Deserialize, Serialize};

use crate::ident::Incarnation;

/// What is known of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Known by name only (from before a restart), or nobody was heard for so long that nothing can be said.
    Unknown,
    /// Asked to be let in, and is not yet heard of by others.
    Joining,
    Alive,
    /// Did not answer, neither directly nor to those who asked for us; has some time left to object.
    Suspected,
    /// Did not object in time.
    Failed,
    /// Said that it goes.
    Left,
    /// Taken out by an operator or a rule; stays out until it is let in again.
    ShutOut,
}

impl State {
    pub const ALL: [State; 7] = [
        State::Unknown,
        State::Joining,
        State::Alive,
        State::Suspected,
        State::Failed,
        State::Left,
        State::ShutOut,
    ];

    /// Takes part: is counted among those who are there.
    pub fn is_there(self) -> bool {
        matches!(self, State::Alive | State::Suspected)
    }

    /// Over: only a later incarnation takes part again.
    pub fn is_over(self) -> bool {
        matches!(self, State::Failed | State::Left | State::ShutOut)
    }
}

/// A change that may not be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{from:?} of incarnation {was} may not become {to:?} of incarnation {now}")]
pub struct MayNot {
    pub from: State,
    pub was: Incarnation,
    pub to: State,
    pub now: Incarnation,
}

/// State and incarnation of one member; changed by `change` only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Life {
    state: State,
    incarnation: Incarnation,
}

impl Life {
    pub fn unknown(incarnation: Incarnation) -> Self {
        Life { state: State::Unknown, incarnation }
    }

    pub fn state(self) -> State {
        self.state
    }

    pub fn incarnation(self) -> Incarnation {
        self.incarnation
    }

    /// Whether this may come next. Incarnations never go back; what is over in one incarnation stays over in
    /// it, but may be learnt to have ended otherwise (it had left before it was found silent).
    pub fn may_become(self, state: State, incarnation: Incarnation) -> bool {
        use State::*;
        if incarnation < self.incarnation {
            return false;
        }
        if incarnation > self.incarnation {
            // A new life of this name; one that is shut out is let in first, which makes it Unknown.
            return self.state != ShutOut && state != Unknown;
        }
        match (self.state, state) {
            (Unknown, _) => true,
            (Joining, Alive | Suspected | Failed | Left | ShutOut) => true,
            (Alive, Suspected | Failed | Left | ShutOut) => true,
            (Suspected, Alive | Failed | Left | ShutOut) => true,
            (Failed, Left | ShutOut) => true,
            (Left, ShutOut) => true,
            // Let in again: from here it is as one known by name only.
            (ShutOut, Unknown) => true,
            _ => false,
        }
    }

    /// Every change of a member's state goes through here.
    ///
    /// # Errors
    /// What may not follow is refused, and nothing changes.
    pub fn change(&mut self, state: State, incarnation: Incarnation) -> Result<(), MayNot> {
        if !self.may_become(state, incarnation) {
            let (from, was) = (self.state, self.incarnation);
            return Err(MayNot { from, was, to: state, now: incarnation });
        }
        (self.state, self.incarnation) = (state, incarnation);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
