//! Calls that wait for the quorum: each for a proposal or a read, by its number.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use lynxstair::types::Time;
use lynxstair_consensus::RequestOutcome;
use lynxstair_net::alarms::Alarms;
use may::sync::Blocker;

/// One waiting call.
pub struct QuorumWaiter {
    blocker: Arc<Blocker>,
    answer: Mutex<Option<RequestOutcome>>,
}

impl QuorumWaiter {
    /// For the coroutine that calls this.
    pub fn for_current() -> Arc<QuorumWaiter> {
        Arc::new(QuorumWaiter { blocker: Blocker::current(), answer: Mutex::new(None) })
    }

    fn complete(&self, outcome: RequestOutcome) {
        *self.answer.lock().unwrap_or_else(|e| e.into_inner()) = Some(outcome);
        self.blocker.unpark();
    }

    /// Waits for the answer of the quorum; unknown where there is none until the deadline.
    pub fn wait(&self, alarms: &Alarms, deadline: Time) -> RequestOutcome {
        alarms.unpark_at(deadline, &self.blocker);
        let answer = || *self.answer.lock().unwrap_or_else(|e| e.into_inner());
        while answer().is_none() && alarms.now() < deadline {
            let _ = self.blocker.park(None);
        }
        answer().unwrap_or(RequestOutcome::Unknown)
    }
}

/// All waiting calls.
#[derive(Default)]
pub struct PendingRequests(HashMap<u64, Arc<QuorumWaiter>>);

impl PendingRequests {
    /// A call waits for the proposal or read with this number.
    pub fn insert(&mut self, number: u64, waiter: Arc<QuorumWaiter>) {
        self.0.insert(number, waiter);
    }

    /// It waits no longer.
    pub fn remove(&mut self, number: u64) {
        self.0.remove(&number);
    }

    /// The consensus has answered.
    pub fn complete(&mut self, number: u64, outcome: RequestOutcome) {
        if let Some(waiter) = self.0.remove(&number) {
            waiter.complete(outcome);
        }
    }
}
