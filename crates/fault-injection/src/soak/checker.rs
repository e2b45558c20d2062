//! Checks the history of a soak against its rules. Shares no code with the programs under test.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use super::added_routes::check_added_routes;
use super::clients::{RequestEnd, SentRequest};
use super::departures::check_departed_workers;
use super::driver::{History, ProcessEvent};
use super::flooding::check_warming_workers;
use super::operator::ChangeOutcome;
use super::plan::{ProcessName, SoakPlan};
use super::quota::check_quota;
use super::workers::Run;

/// Share of the grace period before which a request must have been sent so that a proxy may abort it.
const EARLY_GRACE_SHARE: f64 = 0.5;
/// Share of the grace period after which a proxy may abort requests that are still being processed.
const LATE_GRACE_SHARE: f64 = 5.0 / 6.0;
/// Tolerance for the delay between an event and the recording of its time.
const CLOCK_SLACK_S: f64 = 0.15;
/// Time after a pause in which a connection may still end because of it.
const DISTURBANCE_S: f64 = 1.0;
/// Number of findings reported for each rule.
const MAX_FINDINGS_PER_RULE: usize = 5;

/// Rule of a soak. The docs of the variants describe the violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SoakRule {
    /// A request that reached a worker got no complete answer, or an error of the proxy while the worker was
    /// processing it, although no kill, pause or end of a grace period explains it.
    RequestLost,
    /// A request that may be executed once was executed more than once.
    ExecutedTwice,
    /// A request that was refused (429, 503) was executed.
    ExecutedAfterRefusal,
    /// A response belongs to another request.
    WrongResponse,
    /// A response is neither a sound worker's nor the proxy's own.
    BrokenResponse,
    /// A process exited by itself, with an error, or too late.
    UnexpectedExit,
    /// Two changes with the same base were accepted, a valid change was rejected, an accepted change was
    /// lost, or the configuration could not be read at the end.
    ConfigInconsistent,
    /// A worker received more requests in a second of its warm-up than allowed.
    WorkerOverloaded,
    /// Workers ran more requests of a tenant in a window than its quota allows.
    QuotaExceeded,
    /// A worker received a request of a proxy in touch long after its departure was acknowledged.
    DepartedWorkerUsed,
    /// Routes that a change of the configuration added are hardly served, although the others are.
    AddedRouteStarved,
    /// Too few requests succeeded for the other rules to be meaningful.
    TooFewServed,
}

impl fmt::Display for SoakRule {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            SoakRule::RequestLost => "lost",
            SoakRule::ExecutedTwice => "twice",
            SoakRule::ExecutedAfterRefusal => "refused",
            SoakRule::WrongResponse => "mixed",
            SoakRule::BrokenResponse => "broken",
            SoakRule::UnexpectedExit => "exit",
            SoakRule::ConfigInconsistent => "config",
            SoakRule::WorkerOverloaded => "flooded",
            SoakRule::QuotaExceeded => "quota",
            SoakRule::DepartedWorkerUsed => "drained",
            SoakRule::AddedRouteStarved => "starved",
            SoakRule::TooFewServed => "served",
        })
    }
}

/// Violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Violated rule.
    pub rule: SoakRule,
    /// Time, in seconds since the start of the soak.
    pub at_s: f64,
    /// Description of the violation.
    pub description: String,
}

/// Counts of a soak.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Requests sent.
    pub sent: usize,
    /// Requests answered with 200.
    pub succeeded: usize,
    /// Requests refused with 429 or 503.
    pub refused: usize,
    /// Requests answered with another status.
    pub failed: usize,
    /// Requests without an answer: the connection closed or timed out.
    pub unanswered: usize,
    /// Signals sent to processes, without repeated SIGTERM and without SIGCONT.
    pub signals: usize,
    /// Accepted changes of the configuration.
    pub changes: usize,
}

/// Checks a history. Returns the findings and the counts.
pub(super) fn check_soak(plan: &SoakPlan, history: &History) -> (Vec<Finding>, Summary) {
    let mut findings = Vec::new();
    let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in &history.runs {
        runs.entry(&run.id).or_default().push(run);
    }
    for request in &history.requests {
        let runs = runs.get(&request.id[..]).map(Vec::as_slice).unwrap_or_default();
        findings.extend(check_request(plan, history, request, runs));
    }
    findings.extend(check_processes(history));
    findings.extend(check_config(history));
    findings.extend(check_warming_workers(&history.warmup_periods, &history.runs, &history.requests));
    findings.extend(check_quota(&history.runs, &history.requests));
    findings.extend(check_departed_workers(history));
    findings.extend(check_added_routes(&history.requests));
    let summary = summarize(history);
    findings.extend(check_served(history));
    (limit_findings(findings), summary)
}

/// Checks the requests of the tenant without a quota. Those beyond a quota are refused.
fn check_served(history: &History) -> Option<Finding> {
    let unlimited = history.requests.iter().filter(|request| !request.is_limited);
    let (sent, served) = (unlimited.clone().count(), unlimited.filter(|r| r.has_succeeded()).count());
    (served * 2 < sent || sent == 0).then(|| Finding {
        rule: SoakRule::TooFewServed,
        at_s: 0.0,
        description: format!("{served} of {sent} requests without a quota succeeded"),
    })
}

/// Keeps the first findings of each rule.
fn limit_findings(mut findings: Vec<Finding>) -> Vec<Finding> {
    findings.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    let mut counts: BTreeMap<SoakRule, usize> = BTreeMap::new();
    findings.retain(|finding| {
        let count = counts.entry(finding.rule).or_default();
        *count += 1;
        *count <= MAX_FINDINGS_PER_RULE
    });
    findings
}

fn check_request(
    plan: &SoakPlan,
    history: &History,
    request: &SentRequest,
    runs: &[&Run],
) -> Option<Finding> {
    let finding = |rule, summary: &str| {
        let runs: Vec<String> = runs.iter().map(|r| format!("{:.3} to {:.3}", r.start_s, r.end_s)).collect();
        let description = format!(
            "{summary}: {} at proxy{}, sent {:.3}, ended {:.3} with {:?}, runs [{}], the proxy's events {:?}",
            request.id,
            request.proxy + 1,
            request.sent_s,
            request.ended_s,
            request.end,
            runs.join(", "),
            nearby(history, request),
        );
        Some(Finding { rule, at_s: request.ended_s, description })
    };
    if !request.is_safe && runs.len() > 1 {
        return finding(SoakRule::ExecutedTwice, "executed more than once");
    }
    match request.end {
        RequestEnd::Response { is_own: false, .. } => {
            finding(SoakRule::WrongResponse, "the response belongs to another request")
        }
        RequestEnd::BrokenResponse { .. } => {
            finding(SoakRule::BrokenResponse, "the response is neither the worker's nor the proxy's own")
        }
        RequestEnd::Response { status: 429 | 503, .. } if !runs.is_empty() => {
            finding(SoakRule::ExecutedAfterRefusal, "refused, but executed")
        }
        // Only a proxy that received SIGTERM aborts a request that a worker is processing.
        RequestEnd::Response { status: 502 | 504, .. } if is_aborted(plan, history, request, runs) => {
            finding(SoakRule::RequestLost, "aborted while a worker was processing it")
        }
        RequestEnd::Closed if is_lost(plan, history, request, runs) => {
            finding(SoakRule::RequestLost, "no answer")
        }
        _ => None,
    }
}

fn events_of<'a>(history: &'a History, request: &SentRequest) -> &'a [(f64, ProcessEvent)] {
    history.events.get(&ProcessName::Proxy(request.proxy)).map(Vec::as_slice).unwrap_or_default()
}

/// Returns the events of the proxy around the time of the request.
fn nearby(history: &History, request: &SentRequest) -> Vec<(f64, ProcessEvent)> {
    let is_near =
        |(at, _): &&(f64, ProcessEvent)| *at >= request.sent_s - 8.0 && *at <= request.ended_s + 1.0;
    events_of(history, request).iter().filter(is_near).copied().collect()
}

/// Returns `true` if a kill or a pause of the proxy can explain the end of the connection.
fn is_disturbed(history: &History, request: &SentRequest) -> bool {
    events_of(history, request).iter().any(|(at, event)| match event {
        ProcessEvent::Killed | ProcessEvent::Overdue => {
            *at >= request.sent_s - CLOCK_SLACK_S && *at <= request.ended_s + CLOCK_SLACK_S
        }
        ProcessEvent::Paused(seconds) => {
            *at <= request.ended_s && at + seconds + DISTURBANCE_S >= request.sent_s
        }
        ProcessEvent::Terminated | ProcessEvent::HungUp | ProcessEvent::Exited(_) => false,
    })
}

/// Returns the time of the last SIGTERM in whose grace period, or up to 1 s after it, the request ended.
fn terminated_at(plan: &SoakPlan, history: &History, request: &SentRequest) -> Option<f64> {
    let is_under = |at: f64| at <= request.ended_s && request.ended_s <= at + plan.shape.grace_s + 1.0;
    let events = events_of(history, request).iter().rev();
    events.filter(|(_, event)| *event == ProcessEvent::Terminated).map(|(at, _)| *at).find(|at| is_under(*at))
}

/// Returns `true` if the proxy may abort the request: it was sent before or early in the grace period, and
/// was being processed late in it.
fn may_be_aborted(plan: &SoakPlan, terminated_s: f64, request: &SentRequest, runs: &[&Run]) -> bool {
    let grace = plan.shape.grace_s;
    request.sent_s <= terminated_s + EARLY_GRACE_SHARE * grace
        && runs.iter().any(|run| run.end_s >= terminated_s + LATE_GRACE_SHARE * grace - CLOCK_SLACK_S)
}

fn is_aborted(plan: &SoakPlan, history: &History, request: &SentRequest, runs: &[&Run]) -> bool {
    let Some(terminated_s) = terminated_at(plan, history, request) else { return false };
    let is_processing = runs.iter().any(|run| run.end_s > request.ended_s + CLOCK_SLACK_S);
    is_processing && !is_disturbed(history, request) && !may_be_aborted(plan, terminated_s, request, runs)
}

fn is_lost(plan: &SoakPlan, history: &History, request: &SentRequest, runs: &[&Run]) -> bool {
    if runs.is_empty() || is_disturbed(history, request) {
        return false;
    }
    match terminated_at(plan, history, request) {
        Some(terminated_s) => !may_be_aborted(plan, terminated_s, request, runs),
        // SIGHUP and changes of the configuration must not lose requests.
        None => true,
    }
}

fn check_processes(history: &History) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (name, events) in &history.events {
        let mut terminated_s: Option<f64> = None;
        let mut is_killed = false;
        for (at, event) in events {
            let description = match event {
                ProcessEvent::Terminated => {
                    terminated_s = Some(*at);
                    continue;
                }
                ProcessEvent::Killed => {
                    is_killed = true;
                    continue;
                }
                ProcessEvent::HungUp | ProcessEvent::Paused(_) => continue,
                ProcessEvent::Overdue => {
                    is_killed = true;
                    format!("{name} had not exited {:.1} s after SIGTERM", at - terminated_s.unwrap_or(*at))
                }
                // SIGTERM can arrive before a starting process has installed its handler.
                ProcessEvent::Exited(code) => {
                    let is_fine = std::mem::take(&mut is_killed)
                        || terminated_s.is_some() && matches!(code, Some(0) | None);
                    terminated_s = None;
                    if is_fine {
                        continue;
                    }
                    format!("{name} exited unexpectedly with {code:?}")
                }
            };
            findings.push(Finding { rule: SoakRule::UnexpectedExit, at_s: *at, description });
        }
    }
    findings
}

fn check_config(history: &History) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut add_finding = |description: String| {
        findings.push(Finding { rule: SoakRule::ConfigInconsistent, at_s: 0.0, description })
    };
    let mut accepted_by_base: BTreeMap<u64, u64> = BTreeMap::new();
    for change in &history.changes {
        match change.outcome {
            ChangeOutcome::Accepted => {
                if let Some(other) = accepted_by_base.insert(change.base, change.generation) {
                    add_finding(format!(
                        "generations {other} and {} were both accepted with base {}",
                        change.generation, change.base
                    ));
                }
            }
            ChangeOutcome::Rejected(status) => {
                add_finding(format!("generation {} was rejected with status {status}", change.generation))
            }
            ChangeOutcome::Conflict | ChangeOutcome::Unknown => {}
        }
    }
    let newest = accepted_by_base.values().copied().max().unwrap_or(0);
    match history.final_generation {
        None => add_finding("no controller answers a read of the configuration".to_string()),
        Some(read) if read < newest => {
            add_finding(format!("generation {newest} was accepted, but {read} was read at the end"))
        }
        Some(_) => {}
    }
    findings
}

fn summarize(history: &History) -> Summary {
    let mut summary = Summary { sent: history.requests.len(), ..Summary::default() };
    for request in &history.requests {
        let count = match request.end {
            RequestEnd::Response { status: 200, .. } => &mut summary.succeeded,
            RequestEnd::Response { status: 429 | 503, .. } => &mut summary.refused,
            RequestEnd::Response { .. } | RequestEnd::BrokenResponse { .. } => &mut summary.failed,
            RequestEnd::Closed | RequestEnd::Silent => &mut summary.unanswered,
        };
        *count += 1;
    }
    let is_signal = |(_, event): &&(f64, ProcessEvent)| !matches!(event, ProcessEvent::Exited(_));
    summary.signals = history.events.values().flatten().filter(is_signal).count();
    summary.changes =
        history.changes.iter().filter(|change| change.outcome == ChangeOutcome::Accepted).count();
    summary
}
