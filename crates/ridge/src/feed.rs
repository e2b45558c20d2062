//! What a gatekeeper of the road acts on: one book at a time, never an older one, and where the road is in its life.

use std::collections::BTreeSet;
use std::sync::Arc;

use lynxstair::types::{Span, Time};
use lynxstair_trailbook::configuration::Configuration;

use crate::book::Book;

/// One version, as all decisions on a request see it.
#[derive(Debug)]
pub struct Version {
    pub number: u64,
    pub configuration: Configuration,
    pub evacuated: BTreeSet<String>,
}

#[derive(Debug, Default)]
pub struct Mirror {
    version: Option<Arc<Version>>,
    /// The state as it came, to be handed on.
    state: Vec<u8>,
    number: u64,
    /// When each zone was last taken back.
    returned: Vec<(String, Time)>,
}

impl Mirror {
    /// A book that was agreed on. Whether it is newer than what is in force; then it is in force from now on.
    pub fn take(&mut self, now: Time, number: u64, state: &[u8]) -> bool {
        if number <= self.number {
            return false;
        }
        let Some(book) = Book::read(state) else { return false };
        self.number = number;
        self.state = state.to_vec();
        if let Some(old) = &self.version {
            for zone in old.evacuated.difference(&book.evacuated) {
                self.returned.retain(|(z, _)| z != zone);
                self.returned.push((zone.clone(), now));
            }
        }
        let evacuated = book.evacuated.clone();
        if let Some(configuration) = book.configuration() {
            self.version = Some(Arc::new(Version { number, configuration, evacuated }));
        }
        true
    }

    pub fn number(&self) -> u64 {
        self.number
    }

    pub fn state(&self) -> &[u8] {
        &self.state
    }

    pub fn version(&self) -> Option<Arc<Version>> {
        self.version.clone()
    }

    pub fn returned_at(&self, zone: &str) -> Option<Time> {
        self.returned.iter().find(|(z, _)| z == zone).map(|(_, at)| *at)
    }
}

/// Whoever lacks the book after so long gets it from any hut.
const LACKS: Span = Span::from_millis(800);

/// What a hut has sent of the book to one gatekeeper, on one line.
#[derive(Debug, Default)]
pub struct Sent {
    number: u64,
    lacked: u32,
}

impl Sent {
    /// The book by this number was sent to all.
    pub fn all(&mut self, number: u64) {
        self.number = number;
    }

    /// A gatekeeper says which book it has. Whether it is sent the one by `number`, agreed on `age` ago: the leader sends
    /// it at once to who has not been sent it on this line, as who came just after all others were; other huts wait
    /// whether it comes from there.
    pub fn due(&mut self, have: u64, number: u64, leads: bool, age: Span) -> bool {
        self.lacked = if have < number { self.lacked + 1 } else { 0 };
        let is_first = leads && self.number < number;
        let due = self.lacked > 0 && (is_first || self.lacked > 1 && age > LACKS);
        if due {
            self.number = number;
        }
        due
    }
}

#[cfg(test)]
mod tests {
    use lynxstair::types::{Span, Time};

    use super::{Mirror, Sent};
    use crate::book::Book;

    #[test]
    fn never_back() {
        let mut mirror = Mirror::default();
        let now = Time::from_nanos(1);
        let state = Book::default().written();
        assert!(mirror.take(now, 4, &state));
        assert!(!mirror.take(now, 4, &state) && !mirror.take(now, 3, &state));
        assert!(!mirror.take(now, 5, b"no book"));
        assert_eq!(mirror.number(), 4);
    }

    /// Who comes just after a book was agreed on has it at once from the leader, and not from each hut.
    #[test]
    fn books_are_sent_once() {
        let ms = Span::from_millis;
        let mut leader = Sent::default();
        assert!(leader.due(0, 4, true, ms(30)), "it came after all were sent it");
        assert!(!leader.due(0, 4, true, ms(60)), "on its way");
        assert!(leader.due(0, 4, true, ms(1500)), "lost on its way");
        assert!(!leader.due(4, 4, true, ms(2000)));
        leader.all(5);
        assert!(!leader.due(4, 5, true, ms(10)));
        let mut other = Sent::default();
        assert!(!other.due(0, 4, false, ms(30)) && !other.due(0, 4, false, ms(500)));
        assert!(other.due(0, 4, false, ms(1500)), "the leader can't reach it");
    }
}
