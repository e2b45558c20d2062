//! What operators ask by way of a member.

use lynxstair::types::{Span, Time};

use super::{LeaseHolder, REQUEST_LIFETIME};
use crate::message::{AdminCommand, Request, Response};

/// Most queries at a time, with their responses.
const MAX_QUERIES: usize = 64;
/// For so many lifetimes of a request its response is kept.
const KEPT_LIFETIMES: f64 = 4.0;

/// How far a query is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryStatus {
    /// No response yet: ask again by the same id.
    Pending,
    /// The voters' response.
    Answered(Response),
    /// Nobody answered for a majority; what was heard last, if anything.
    Unknown(String),
}

/// An operator's query.
pub(super) struct Query {
    since: Time,
    number: u64,
    last_failure: Option<String>,
    response: Option<Response>,
}

impl Query {
    pub(super) fn finish(&mut self, response: Response) {
        self.response = Some(response);
    }
}

fn kept_for() -> Span {
    REQUEST_LIFETIME.times(KEPT_LIFETIMES)
}

impl LeaseHolder {
    /// Asks the voters for an operator: to carry out a command, or without one to read the table. Asked again by
    /// the same id it is the same query.
    pub fn query(&mut self, now: Time, id: u64, command: Option<&AdminCommand>) -> QueryStatus {
        if let Some(query) = self.queries.get(&id) {
            return self.query_status(query);
        }
        if self.queries.len() >= MAX_QUERIES || self.voters.is_empty() {
            return QueryStatus::Unknown("this member can't ask now".to_string());
        }
        let request = match command {
            Some(command) => Request::Admin { id, command: command.clone() },
            None => Request::ReadTable,
        };
        let number = self.request(now, request);
        self.queries.insert(id, Query { since: now, number, last_failure: None, response: None });
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

    /// The query that a request was sent for.
    pub(super) fn query_of(&mut self, number: u64) -> Option<&mut Query> {
        self.queries.values_mut().find(|query| query.number == number)
    }

    /// Keeps why a query has no response yet, for where none comes.
    pub(super) fn note_failure(&mut self, number: u64, reason: &str) {
        if let Some(query) = self.query_of(number) {
            query.last_failure = Some(reason.to_string());
        }
    }

    pub(super) fn forget_old_queries(&mut self, now: Time) {
        self.queries.retain(|_, query| now - query.since < kept_for());
    }
}
