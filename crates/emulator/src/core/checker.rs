//! Checks on what clients observe: answers to commands, reads and heartbeats, and the effects of the
//! configuration that is active at a proxy. They use no internal state such as leaders, terms or disks.

use std::collections::{BTreeMap, BTreeSet};

use lynxstair::types::{Span, Time};

use super::linearizability::{Call, CallInput, CallOutput, Version, check_linearizability};

// The limits up to `DRAIN_TIME` are those of the settings of a small site.

/// Time after a fault within which the controllers have a leader and proxies are in contact with it.
pub(crate) const CONTACT_TIME: Span = Span::from_millis(5_000);
/// Time within which a change reaches the proxies.
pub(crate) const CONVERGENCE_TIME: Span = Span::from_millis(2_500);
/// Longest time for which a revoked key may work.
pub(crate) const REVOCATION_TIME: Span = Span::from_millis(5_000);
/// Time within which an evacuation takes effect.
pub(crate) const EVACUATION_TIME: Span = Span::from_millis(5_000);
/// Time within which a draining worker receives no more requests.
pub(crate) const DRAIN_TIME: Span = Span::from_millis(2_500);
/// Longest time until a definite answer while the core is settled.
pub(crate) const ACK_TIMEOUT: Span = Span::from_millis(4_000);
/// Time after its sending from which an unanswered call counts as abandoned: its command can no longer take
/// effect after a later command for the same zone.
const CALL_LIFETIME: Span = Span::from_millis(1_100);

/// Checked property. The core is settled if no fault began or ended within `CONTACT_TIME`, no disk is
/// slow and a majority of the controllers is connected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Check {
    /// Changes and reads of the configuration are linearizable.
    Linearizable,
    /// The configuration read at the end is not older than the newest acknowledged one.
    Lasting,
    /// A proxy process never returns to an older generation.
    Backwards,
    /// Every observed version was sent and not rejected, and is the only one of its generation.
    InForce,
    /// A proxy serves no tenants with a version that was replaced more than `REVOCATION_TIME` ago.
    Revoked,
    /// While the core is settled, a proxy uses the newest version acknowledged `CONVERGENCE_TIME` ago, or
    /// a newer one.
    Converges,
    /// While the core is settled, a worker whose heartbeats are acknowledged receives requests.
    Promised,
    /// While the core is settled, a worker receives no requests `DRAIN_TIME` after its drain or
    /// deregistration was acknowledged, or long after it ended.
    Drained,
    /// While the core is settled, the last command for a zone is in effect `EVACUATION_TIME` after its
    /// acknowledgement.
    Evacuated,
    /// While the core is settled, a call gets a definite answer within `ACK_TIMEOUT`.
    Acknowledged,
    /// After the end of all faults, commands, reads and heartbeats are answered and proxies are up to date.
    WayForward,
}

/// Violation of a checked property. `lynxstair experiment core` prints the names of its fields.
#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
    /// The violated property.
    pub judge: Check,
    /// Time since the start of the scenario.
    pub at: Span,
    /// Description of the observation.
    pub what: String,
}

/// One attempt of a command for a zone.
#[derive(Clone, Debug)]
pub(crate) struct ZoneCall {
    pub zone: usize,
    /// `true` for the start of an evacuation, `false` for its end.
    pub empties: bool,
    pub sent_at: Time,
    pub acked_at: Option<Time>,
}

/// Recorded history of a simulation, with the violations found.
pub(crate) struct Checker {
    began_at: Time,
    /// Changes and reads of the configuration.
    pub calls: Vec<Call>,
    pub zone_calls: Vec<ZoneCall>,
    rejected_marks: BTreeSet<u32>,
    sent_marks: BTreeSet<u32>,
    /// Acknowledged versions, with the time of the answer.
    pub acknowledged: Vec<(Time, Version)>,
    /// Mark of the version first observed for each generation.
    observed: BTreeMap<u64, u32>,
    /// Last generation observed at each proxy process.
    proxy_generations: BTreeMap<(usize, u64), u64>,
    pub violations: Vec<Broken>,
}

impl Checker {
    pub fn new(began_at: Time) -> Checker {
        Checker {
            began_at,
            calls: Vec::new(),
            zone_calls: Vec::new(),
            rejected_marks: BTreeSet::new(),
            sent_marks: BTreeSet::new(),
            acknowledged: Vec::new(),
            observed: BTreeMap::new(),
            proxy_generations: BTreeMap::new(),
            violations: Vec::new(),
        }
    }

    /// Records a violation, only the first one of each property.
    pub fn report(&mut self, now: Time, check: Check, what: impl FnOnce() -> String) {
        if !self.violations.iter().any(|v| v.judge == check) {
            self.violations.push(Broken { judge: check, at: now - self.began_at, what: what() });
        }
    }

    /// Records the sending of a call and returns its index.
    pub fn record_call(&mut self, now: Time, input: CallInput) -> usize {
        if let CallInput::Change { mark, .. } = input {
            self.sent_marks.insert(mark);
        }
        self.calls.push(Call { sent_at: now, answered_at: now, input, output: CallOutput::Nothing });
        self.calls.len() - 1
    }

    pub fn record_output(&mut self, now: Time, call: usize, output: CallOutput) {
        let call = &mut self.calls[call];
        (call.answered_at, call.output) = (now, output);
        match (call.input, output) {
            (CallInput::Change { number, mark, .. }, CallOutput::Taken) => {
                self.acknowledged.push((now, (number, mark)))
            }
            (CallInput::Change { mark, .. }, CallOutput::Refused) => {
                self.rejected_marks.insert(mark);
            }
            (_, CallOutput::Holds(Some(version))) => self.observe_version(now, "a read", version),
            _ => {}
        }
    }

    fn observe_version(&mut self, now: Time, source: &str, (number, mark): Version) {
        let first = *self.observed.entry(number).or_insert(mark);
        if first != mark {
            let what = || format!("{source} shows {mark} for generation {number}, which was {first} before");
            self.report(now, Check::InForce, what);
        }
        if !self.sent_marks.contains(&mark) {
            self.report(now, Check::InForce, || format!("{source} shows {mark}, which was never sent"));
        }
    }

    /// Checks what requests through a proxy process show. `is_in_contact` is `true` if the core is
    /// settled and the proxy was connected all that time.
    pub fn observe_proxy(
        &mut self,
        now: Time,
        proxy: (usize, u64),
        active: Option<Version>,
        serves_tenants: bool,
        is_in_contact: bool,
    ) {
        let generation = active.map_or(0, |(n, _)| n);
        if let Some(version) = active {
            self.observe_version(now, "a proxy", version);
        }
        let last = self.proxy_generations.entry(proxy).or_default();
        let previous = std::mem::replace(last, generation);
        if generation < previous {
            self.report(now, Check::Backwards, || {
                format!("proxy {} goes back from {previous} to {generation}", proxy.0)
            });
        }
        let newest = |before: Time| {
            let acknowledged = self.acknowledged.iter().filter(|(at, _)| *at <= before);
            acknowledged.map(|(_, (n, _))| *n).max().unwrap_or(0)
        };
        let (revoked_below, converged) =
            (newest(now.saturating_sub(REVOCATION_TIME)), newest(now.saturating_sub(CONVERGENCE_TIME)));
        if serves_tenants && generation < revoked_below {
            let what = || {
                format!(
                    "proxy {} serves with {generation}, though {revoked_below} was acknowledged long ago",
                    proxy.0
                )
            };
            self.report(now, Check::Revoked, what);
        }
        if is_in_contact && generation < converged {
            let what = || format!("proxy {} uses {generation}, though {converged} was acknowledged", proxy.0);
            self.report(now, Check::Converges, what);
        }
    }

    /// Returns `Some(true)` if a zone must be evacuated and `Some(false)` if it must not be, by the commands
    /// acknowledged up to `before`. `None` if that is not certain.
    pub fn expected_evacuation(&self, zone: usize, before: Time) -> Option<bool> {
        let calls: Vec<&ZoneCall> = self.zone_calls.iter().filter(|c| c.zone == zone).collect();
        let last =
            calls.iter().filter(|c| c.acked_at.is_some_and(|at| at <= before)).max_by_key(|c| c.acked_at)?;
        // An opposite command that was still open when this one was sent may be applied after it.
        let is_before = |c: &&&ZoneCall| {
            c.acked_at.map_or(c.sent_at + CALL_LIFETIME < last.sent_at, |at| at < last.sent_at)
        };
        let is_certain = calls.iter().filter(|c| c.empties != last.empties).all(|c| is_before(&c));
        is_certain.then_some(last.empties)
    }

    /// Final checks, on the complete history. `read` is the result of the last read, if there is one.
    pub fn check_history(&mut self, now: Time, read: Option<Option<Version>>) {
        let newest = self.acknowledged.iter().map(|(_, v)| *v).max();
        if let (Some(newest), Some(read)) = (newest, read)
            && read.is_none_or(|r| r.0 < newest.0)
        {
            self.report(now, Check::Lasting, || {
                format!("{newest:?} was acknowledged, but {read:?} was read at the end")
            });
        }
        let rejected = self.observed.iter().find(|(_, mark)| self.rejected_marks.contains(mark));
        if let Some((number, mark)) = rejected.map(|(n, m)| (*n, *m)) {
            self.report(now, Check::InForce, || {
                format!("{mark} was observed for generation {number}, but had been rejected")
            });
        }
        if let Err(call) = check_linearizability(&self.calls) {
            let at = call.sent_at - self.began_at;
            self.report(now, Check::Linearizable, || {
                format!("{:?}, sent at {:.3} s, got {:?}", call.input, at.secs(), call.output)
            });
        }
    }
}
