//! States of a member as seen by this one, and the allowed transitions.

use serde::{Deserialize, Serialize};

use crate::identity::Incarnation;

/// State of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// No state is known, for example after the member was restored from disk or let in again. In a view,
    /// also the state of a present member while this one is isolated.
    Unknown,
    /// The member sent a join, and no message or gossip about it was received yet.
    Joining,
    /// The member is alive.
    Alive,
    /// The member answered neither a direct nor an indirect probe, and can still refute the suspicion.
    Suspected,
    /// The member did not refute the suspicion in time.
    Failed,
    /// The member announced that it leaves.
    Left,
    /// An operator shut the member out. It stays out until it is let in again.
    ShutOut,
}

impl State {
    /// All states.
    pub const ALL: [State; 7] = [
        State::Unknown,
        State::Joining,
        State::Alive,
        State::Suspected,
        State::Failed,
        State::Left,
        State::ShutOut,
    ];

    /// Returns `true` if a member in this state is present in the fleet.
    pub fn is_present(self) -> bool {
        matches!(self, State::Alive | State::Suspected)
    }

    /// Returns `true` if no single transition within the incarnation leads from this state to a present one.
    pub fn is_final(self) -> bool {
        matches!(self, State::Failed | State::Left | State::ShutOut)
    }
}

/// Error: a state transition is not allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{from:?} of incarnation {from_incarnation} can't become {to:?} of incarnation {to_incarnation}")]
pub struct InvalidTransition {
    /// Current state, which stays.
    pub from: State,
    /// Current incarnation.
    pub from_incarnation: Incarnation,
    /// Rejected state.
    pub to: State,
    /// Rejected incarnation.
    pub to_incarnation: Incarnation,
}

/// State and incarnation of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    state: State,
    incarnation: Incarnation,
}

impl MemberStatus {
    /// Creates the status of a member in state `Unknown`.
    pub fn unknown(incarnation: Incarnation) -> Self {
        MemberStatus { state: State::Unknown, incarnation }
    }

    /// State of the member.
    pub fn state(self) -> State {
        self.state
    }

    /// Incarnation of the member.
    pub fn incarnation(self) -> Incarnation {
        self.incarnation
    }

    /// Returns `true` if the transition is allowed. Incarnations never decrease. A final state can
    /// change within an incarnation only to a final state of higher precedence (`Failed`, `Left`,
    /// `ShutOut`), because a notice may arrive after the failure was detected; or from `ShutOut` to
    /// `Unknown`.
    pub fn may_become(self, state: State, incarnation: Incarnation) -> bool {
        use State::*;
        if incarnation < self.incarnation {
            return false;
        }
        if incarnation > self.incarnation {
            // A member that is shut out must first be let in again, which sets Unknown.
            return self.state != ShutOut && state != Unknown;
        }
        match (self.state, state) {
            (Unknown, _) => true,
            (Joining, Alive | Suspected | Failed | Left | ShutOut) => true,
            (Alive, Suspected | Failed | Left | ShutOut) => true,
            (Suspected, Alive | Failed | Left | ShutOut) => true,
            (Failed, Left | ShutOut) => true,
            (Left, ShutOut) => true,
            // Let in again.
            (ShutOut, Unknown) => true,
            _ => false,
        }
    }

    /// Changes the status. All changes go through this method.
    ///
    /// # Errors
    /// The transition is not allowed. The status stays as it is.
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
