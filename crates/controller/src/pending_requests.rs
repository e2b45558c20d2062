//! HTTP requests that wait for a proposal or a linearizable read, by its number.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use lynxstair::types::Time;
use lynxstair_consensus::RequestOutcome;
use lynxstair_net::alarms::Alarms;
use may::sync::Blocker;

/// Waits in a coroutine for the outcome of a proposal or read.
pub struct QuorumWaiter {
    blocker: Arc<Blocker>,
    outcome: Mutex<Option<RequestOutcome>>,
}

impl QuorumWaiter {
    /// Creates a waiter for the calling coroutine.
    pub fn for_current() -> Arc<QuorumWaiter> {
        Arc::new(QuorumWaiter { blocker: Blocker::current(), outcome: Mutex::new(None) })
    }

    /// Ends the wait with this outcome.
    pub fn complete(&self, outcome: RequestOutcome) {
        *self.outcome.lock().unwrap_or_else(|e| e.into_inner()) = Some(outcome);
        self.blocker.unpark();
    }

    /// Waits for the outcome. Returns `RequestOutcome::Unknown` if there is none by the deadline.
    pub fn wait(&self, alarms: &Alarms, deadline: Time) -> RequestOutcome {
        alarms.unpark_at(deadline, &self.blocker);
        let outcome = || *self.outcome.lock().unwrap_or_else(|e| e.into_inner());
        while outcome().is_none() && alarms.now() < deadline {
            let _ = self.blocker.park(None);
        }
        outcome().unwrap_or(RequestOutcome::Unknown)
    }
}

/// Waiters by the number of their proposal or read.
#[derive(Default)]
pub struct PendingRequests(HashMap<u64, Arc<QuorumWaiter>>);

impl PendingRequests {
    /// Registers a waiter for the proposal or read with this number.
    pub fn insert(&mut self, number: u64, waiter: Arc<QuorumWaiter>) {
        self.0.insert(number, waiter);
    }

    /// Removes the waiter for this number, if it is still registered.
    pub fn remove(&mut self, number: u64) {
        self.0.remove(&number);
    }

    /// Passes the outcome to the waiter for this number and removes it.
    pub fn complete(&mut self, number: u64, outcome: RequestOutcome) {
        if let Some(waiter) = self.0.remove(&number) {
            waiter.complete(outcome);
        }
    }
}
