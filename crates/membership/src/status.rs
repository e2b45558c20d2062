//! The states of a member as seen from here, and which may follow which.

use serde::{Deserialize, Serialize};

use crate::identity::Incarnation;

/// What is known of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Known by name only, from before a restart; or this member is isolated and can say nothing of it.
    Unknown,
    /// It asked to join, and others have not been heard of it yet.
    Joining,
    /// It answers.
    Alive,
    /// It did not answer, neither directly nor to others, and has some time left to refute the suspicion.
    Suspected,
    /// It did not refute the suspicion in time.
    Failed,
    /// It said that it leaves.
    Left,
    /// An operator excluded it; it stays out until it is readmitted.
    ShutOut,
}

impl State {
    /// All of them.
    pub const ALL: [State; 7] = [
        State::Unknown,
        State::Joining,
        State::Alive,
        State::Suspected,
        State::Failed,
        State::Left,
        State::ShutOut,
    ];

    /// Whether a member in this state takes part.
    pub fn is_present(self) -> bool {
        matches!(self, State::Alive | State::Suspected)
    }

    /// Whether only a later incarnation takes part again.
    pub fn is_final(self) -> bool {
        matches!(self, State::Failed | State::Left | State::ShutOut)
    }
}

/// A change that is not allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{from:?} of incarnation {from_incarnation} may not become {to:?} of incarnation {to_incarnation}")]
pub struct InvalidTransition {
    /// The state that stays.
    pub from: State,
    /// Its incarnation.
    pub from_incarnation: Incarnation,
    /// The state that was refused.
    pub to: State,
    /// Its incarnation.
    pub to_incarnation: Incarnation,
}

/// State and incarnation of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    state: State,
    incarnation: Incarnation,
}

impl MemberStatus {
    /// A member known by name only.
    pub fn unknown(incarnation: Incarnation) -> Self {
        MemberStatus { state: State::Unknown, incarnation }
    }

    /// The state.
    pub fn state(self) -> State {
        self.state
    }

    /// The incarnation.
    pub fn incarnation(self) -> Incarnation {
        self.incarnation
    }

    /// Whether a change is allowed. Incarnations never go back. A final state stays final within an incarnation,
    /// but a member may be learnt to have ended otherwise: it had left before it was found silent.
    pub fn may_become(self, state: State, incarnation: Incarnation) -> bool {
        use State::*;
        if incarnation < self.incarnation {
            return false;
        }
        if incarnation > self.incarnation {
            // A new life of this name. One that is shut out is readmitted first, which makes it Unknown.
            return self.state != ShutOut && state != Unknown;
        }
        match (self.state, state) {
            (Unknown, _) => true,
            (Joining, Alive | Suspected | Failed | Left | ShutOut) => true,
            (Alive, Suspected | Failed | Left | ShutOut) => true,
            (Suspected, Alive | Failed | Left | ShutOut) => true,
            (Failed, Left | ShutOut) => true,
            (Left, ShutOut) => true,
            // Readmitted: as if known by name only.
            (ShutOut, Unknown) => true,
            _ => false,
        }
    }

    /// Changes the status. Every change goes through here.
    ///
    /// # Errors
    /// The change is not allowed; nothing changes.
    pub fn change(&mut self, state: State, incarnation: Incarnation) -> Result<(), InvalidTransition> {
        if !self.may_become(state, incarnation) {
            return Err(InvalidTransition {
                from: self.state,
                from_incarnation: self.incarnation,
                to: state,
                to_incarnation: incarnation,
            });
        }
        self.state = state;
        self.incarnation = incarnation;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
