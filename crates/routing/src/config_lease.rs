//! How fresh the book of a gatekeeper is: when it was last sure that no newer one had been agreed on. By its own
//! steady clock only. Where keys that were taken away must stop working everywhere, a gatekeeper that has not been
//! sure for long serves no tenant.

use lynxstair::types::{Span, Time};

/// Kept back of the time that the operators grant, for the way of a request to its worker and for timers.
const MARGIN: Span = Span::from_millis(350);

#[derive(Debug, Default)]
pub struct Trust {
    sure_at: Option<Time>,
}

impl Trust {
    /// An answer to a ping that was sent then: no newer book than `index` was agreed on `fresh` before it came there.
    /// It counts only where that book is in force here.
    pub fn hear(&mut self, sent_at: Time, index: u64, fresh: Span, have: u64) {
        if index <= have {
            self.sure_at = self.sure_at.max(Some(sent_at.saturating_sub(fresh)));
        }
    }

    pub fn sure_at(&self) -> Option<Time> {
        self.sure_at
    }

    /// Whether requests of tenants may go to workers, where a key that was taken away may work for no longer than
    /// `revoke` anywhere; None where that binds only those in touch.
    pub fn holds(&self, now: Time, revoke: Option<Span>) -> bool {
        match (revoke, self.sure_at) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(revoke), Some(sure)) => now + MARGIN < sure + revoke,
        }
    }

    /// Whether the gatekeeper is up to date enough for clients to be sent to it.
    pub fn is_fresh(&self, now: Time, within: Span) -> bool {
        self.sure_at.is_some_and(|sure| now - sure < within)
    }
}

#[cfg(test)]
mod tests {
    use lynxstair::types::{Span, Time};

    use super::Trust;

    fn at(ms: u64) -> Time {
        Time::from_nanos((100_000 + ms) * 1_000_000)
    }

    /// Answers that came late, that speak of a book not held here, or of long ago, lend no more than they are worth.
    #[test]
    fn what_answers_are_worth() {
        let revoke = Some(Span::from_millis(5000));
        let mut trust = Trust::default();
        assert!(!trust.holds(at(0), revoke) && trust.holds(at(0), None));
        trust.hear(at(1000), 7, Span::from_millis(200), 6);
        assert!(!trust.holds(at(1000), revoke), "a newer book is not here yet");
        trust.hear(at(1000), 7, Span::from_millis(200), 7);
        assert!(trust.holds(at(5400), revoke) && !trust.holds(at(5500), revoke));
        trust.hear(at(2000), 7, Span::from_millis(4000), 7);
        assert!(!trust.holds(at(5500), revoke), "an older certainty takes nothing away and adds nothing");
        assert!(
            trust.is_fresh(at(1500), Span::from_millis(1000))
                && !trust.is_fresh(at(2000), Span::from_millis(1000))
        );
    }
}
