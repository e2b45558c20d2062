//! What a gatekeeper of the road acts on: one book at a time, never an older one, and where the road is in its life.

use std::collections::BTreeSet;
use std::sync::Arc;

use lynxstair::types::Time;
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

#[cfg(test)]
mod tests {
    use lynxstair::types::Time;

    use super::Mirror;
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
}
