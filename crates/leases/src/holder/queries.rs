//! Queries of operators, which a member forwards to the voters.

use lynxstair::types::{Span, Time};

use super::{LeaseHolder, REQUEST_LIFETIME};
use crate::message::{AdminCommand, Request, Response};

/// Maximum number of queries that are kept, pending or answered.
const MAX_QUERIES: usize = 64;
/// Retention of a query and its response, as a multiple of the lifetime of a request.
const RETENTION_LIFETIMES: f64 = 4.0;

/// Status of a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryStatus {
    /// No response yet. The caller repeats the query with the same id.
    Pending,
    /// Response of the leader.
    Answered(Response),
    /// No response is available, so it is unknown whether a command took effect. Contains the reason.
    Unknown(String),
}

/// An operator's query.
pub(super) struct Query {
    started_at: Time,
    /// Number of the request that was sent for it.
    number: u64,
    last_failure: Option<String>,
    response: Option<Response>,
}

impl Query {
    pub(super) fn finish(&mut self, response: Response) {
        self.response = Some(response);
    }
}

fn retention() -> Span {
    REQUEST_LIFETIME.times(RETENTION_LIFETIMES)
}

impl LeaseHolder {
    /// Sends an operator's command to the voters, or a read of the table if `command` is `None`. A repeated
    /// call with the same id returns the status of the first query.
    pub fn query(&mut self, now: Time, id: u64, command: Option<&AdminCommand>) -> QueryStatus {
        if let Some(query) = self.queries.get(&id) {
            return self.query_status(query);
        }
        if self.queries.len() >= MAX_QUERIES || self.voters.is_empty() {
            return QueryStatus::Unknown("no voter is known or too many queries are kept".to_string());
        }
        let request = match command {
            Some(command) => Request::Admin { id, command: command.clone() },
            None => Request::ReadTable,
        };
        let number = self.send_request(now, request);
        self.queries.insert(id, Query { started_at: now, number, last_failure: None, response: None });
        QueryStatus::Pending
    }

    fn query_status(&self, query: &Query) -> QueryStatus {
        match &query.response {
            Some(response) => QueryStatus::Answered(response.clone()),
            None if self.pending.contains_key(&query.number) => QueryStatus::Pending,
            None => {
                let last_failure = query.last_failure.clone();
                QueryStatus::Unknown(last_failure.unwrap_or_else(|| "no voter answered".to_string()))
            }
        }
    }

    /// Returns the query for which a request was sent.
    pub(super) fn query_of(&mut self, number: u64) -> Option<&mut Query> {
        self.queries.values_mut().find(|query| query.number == number)
    }

    /// Records why a query has no response yet, for [`QueryStatus::Unknown`].
    pub(super) fn record_failure(&mut self, number: u64, reason: &str) {
        if let Some(query) = self.query_of(number) {
            query.last_failure = Some(reason.to_string());
        }
    }

    pub(super) fn expire_queries(&mut self, now: Time) {
        self.queries.retain(|_, query| now - query.started_at < retention());
    }
}
