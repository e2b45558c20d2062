//! Checker that know only what callers saw: answers to orders, reads and heartbeats, and what requests through an edge
//! showed to be in force there. They know nothing of leaders, terms or disks.

use std::collections::{BTreeMap, BTreeSet};

use lynxstair::types::{Span, Time};

use super::linearizability::{Call, CallInput, CallOutput, Version, check_linearizability};

/// As the operators' bounds of a small site.
pub(crate) const CONTACT: Span = Span::from_millis(5_000);
pub(crate) const CONVERGE: Span = Span::from_millis(2_500);
pub(crate) const REVOKE: Span = Span::from_millis(5_000);
pub(crate) const EVACUATE: Span = Span::from_millis(5_000);
pub(crate) const DRAIN: Span = Span::from_millis(2_500);
/// An order waits no longer for its acknowledgement in one stretch in which the core is settled.
pub(crate) const ACK: Span = Span::from_millis(4_000);
/// Whoever was told nothing for so long waits no longer, and what it asked for comes into force no more once the
/// next order on the same matter is acknowledged.
const GIVEN_UP: Span = Span::from_millis(1_100);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Check {
    /// Orders and reads of the configuration can be told from those of one store at one place.
    Linearizable,
    /// What was acknowledged is in the configuration that is read back at the end, or was built upon.
    Lasting,
    /// An edge goes back to an older version within its instance.
    Backwards,
    /// Something is in force that was refused, that nobody sent, or next to another under its number.
    InForce,
    /// An edge serves tenants by a version that was replaced longer ago than a key may still work.
    Revoked,
    /// In calm times an edge acts on an older version than what was acknowledged a while ago.
    Converges,
    /// A worker whose heartbeats are acknowledged is not sent to, in calm times.
    Promised,
    /// A worker that was told that it leaves is still sent to, in calm times; or one that is dead.
    Drained,
    /// A zone's last order is not in force, in calm times and at the end.
    Evacuated,
    /// An order waits too long for a clear answer in a calm time.
    Acknowledged,
    /// Once all is calm there is a way forward within `contact-s`: orders, reads, heartbeats, edges.
    WayForward,
}

/// What one judge says.
#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
    pub judge: Check,
    /// Since the scenario began.
    pub at: Span,
    pub what: String,
}

/// One sending of an order about a zone.
#[derive(Clone, Debug)]
pub(crate) struct ZoneCall {
    pub zone: usize,
    pub empties: bool,
    pub sent_at: Time,
    pub acked_at: Option<Time>,
}

pub(crate) struct Checker {
    began_at: Time,
    pub store: Vec<Call>,
    pub zones: Vec<ZoneCall>,
    refused: BTreeSet<u32>,
    sent: BTreeSet<u32>,
    /// Versions that were acknowledged, and when.
    pub acked: Vec<(Time, Version)>,
    /// Versions that an edge or a read showed.
    shown: BTreeMap<u64, u32>,
    /// The last version that each instance of an edge showed.
    edges: BTreeMap<(usize, u64), u64>,
    pub broken: Vec<Broken>,
}

impl Checker {
    pub fn new(began_at: Time) -> Checker {
        Checker {
            began_at,
            store: Vec::new(),
            zones: Vec::new(),
            refused: BTreeSet::new(),
            sent: BTreeSet::new(),
            acked: Vec::new(),
            shown: BTreeMap::new(),
            edges: BTreeMap::new(),
            broken: Vec::new(),
        }
    }

    /// Each judge speaks once.
    pub fn breaks(&mut self, now: Time, judge: Check, what: impl FnOnce() -> String) {
        if !self.broken.iter().any(|b| b.judge == judge) {
            self.broken.push(Broken { judge, at: now - self.began_at, what: what() });
        }
    }

    pub fn sends(&mut self, now: Time, input: CallInput) -> usize {
        if let CallInput::Change { mark, .. } = input {
            self.sent.insert(mark);
        }
        self.store.push(Call { sent_at: now, answered_at: now, input, output: CallOutput::Nothing });
        self.store.len() - 1
    }

    pub fn told(&mut self, now: Time, call: usize, output: CallOutput) {
        let call = &mut self.store[call];
        (call.answered_at, call.output) = (now, output);
        match (call.input, output) {
            (CallInput::Change { number, mark, .. }, CallOutput::Taken) => {
                self.acked.push((now, (number, mark)))
            }
            (CallInput::Change { mark, .. }, CallOutput::Refused) => {
                self.refused.insert(mark);
            }
            (_, CallOutput::Holds(Some(version))) => self.shows(now, "a read", version),
            _ => {}
        }
    }

    fn shows(&mut self, now: Time, where_: &str, (number, mark): Version) {
        let first = *self.shown.entry(number).or_insert(mark);
        if first != mark {
            let what = || format!("{where_} shows {mark} under {number}, where {first} was shown");
            self.breaks(now, Check::InForce, what);
        }
        if !self.sent.contains(&mark) {
            self.breaks(now, Check::InForce, || format!("{where_} shows {mark}, which nobody sent"));
        }
    }

    /// What requests through an edge showed. `in_touch`: it is calm, and this edge was in touch all the while.
    pub fn edge(
        &mut self,
        now: Time,
        edge: (usize, u64),
        shown: Option<Version>,
        serves: bool,
        in_touch: bool,
    ) {
        let number = shown.map_or(0, |(n, _)| n);
        if let Some(version) = shown {
            self.shows(now, "an edge", version);
        }
        let last = self.edges.entry(edge).or_default();
        let before = std::mem::replace(last, number);
        if number < before {
            self.breaks(now, Check::Backwards, || format!("edge {} goes from {before} to {number}", edge.0));
        }
        let newest = |before: Time| {
            let old = self.acked.iter().filter(|(at, _)| *at <= before);
            old.map(|(_, (n, _))| *n).max().unwrap_or(0)
        };
        let (revoked, settled) = (newest(now.saturating_sub(REVOKE)), newest(now.saturating_sub(CONVERGE)));
        if serves && number < revoked {
            let what = || format!("edge {} serves by {number}, {revoked} was acknowledged long ago", edge.0);
            self.breaks(now, Check::Revoked, what);
        }
        if in_touch && number < settled {
            let what = || format!("edge {} acts on {number}, {settled} was acknowledged", edge.0);
            self.breaks(now, Check::Converges, what);
        }
    }

    /// What each zone must be, by the orders: None where that is not certain.
    pub fn zone(&self, zone: usize, before: Time) -> Option<bool> {
        let of: Vec<&ZoneCall> = self.zones.iter().filter(|c| c.zone == zone).collect();
        let last =
            of.iter().filter(|c| c.acked_at.is_some_and(|at| at <= before)).max_by_key(|c| c.acked_at)?;
        // A sending of the other order whose caller may still have waited when this one was sent: either may be last.
        let is_before =
            |c: &&&ZoneCall| c.acked_at.map_or(c.sent_at + GIVEN_UP < last.sent_at, |at| at < last.sent_at);
        let certain = of.iter().filter(|c| c.empties != last.empties).all(|c| is_before(&c));
        certain.then_some(last.empties)
    }

    /// At the end: the configuration as it was read back, where it could be, and the history as a whole.
    pub fn end(&mut self, now: Time, read: Option<Option<Version>>) {
        let newest = self.acked.iter().map(|(_, v)| *v).max();
        if let (Some(newest), Some(read)) = (newest, read)
            && read.is_none_or(|r| r.0 < newest.0)
        {
            self.breaks(now, Check::Lasting, || {
                format!("{newest:?} was acknowledged, {read:?} is read back")
            });
        }
        let refused = self.shown.iter().find(|(_, mark)| self.refused.contains(mark));
        if let Some((number, mark)) = refused.map(|(n, m)| (*n, *m)) {
            self.breaks(now, Check::InForce, || {
                format!("{mark} is in force under {number}, and was refused")
            });
        }
        if let Err(call) = check_linearizability(&self.store) {
            let at = call.sent_at - self.began_at;
            self.breaks(now, Check::Linearizable, || {
                format!("{:?}, sent at {:.3} s, was told {:?}", call.input, at.secs(), call.output)
            });
        }
    }
}
