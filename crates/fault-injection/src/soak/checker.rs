//! Judges what a soak saw. It knows no code of what it judges.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use super::clients::{End, SentRequest};
use super::driver::{History, ProcessEvent};
use super::flooding::judge_cold_workers;
use super::operator::ChangeEnd;
use super::plan::{ProcessName, SoakPlan};
use super::workers::Run;

/// A request that was sent in this part of the grace
const FIRST_PART: f64 = 0.5;
/// and is still at work from this part on may be broken off.
const LAST_PART: f64 = 5.0 / 6.0;
/// Clocks are read a moment after what they are read for.
const SLACK_S: f64 = 0.15;
/// How long after a kill or a pause a connection may still end by it.
const TROUBLE_S: f64 = 1.0;
/// A finding of one rule is told in full this often.
const MAX_TOLD: usize = 5;

/// What must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SoakRule {
    /// A request that was forwarded to a worker ends without a complete answer, or with the proxy's own while
    /// its worker is at work, and only planned work can be the reason.
    Lost,
    /// A request that may run once ran more than once.
    Twice,
    /// A request that was refused (429, 503) ran.
    Refused,
    /// A response is not the request's own.
    Mixed,
    /// A process ended by itself, badly, or not in time.
    Exit,
    /// Of two changes with one base both were accepted, a valid one was refused, or an accepted one is gone.
    Config,
    /// A cold worker got more requests in some second than it may.
    Flooded,
    /// Too little was served for the other rules to mean anything.
    Served,
}

impl fmt::Display for SoakRule {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            SoakRule::Lost => "lost",
            SoakRule::Twice => "twice",
            SoakRule::Refused => "refused",
            SoakRule::Mixed => "mixed",
            SoakRule::Exit => "exit",
            SoakRule::Config => "config",
            SoakRule::Flooded => "flooded",
            SoakRule::Served => "served",
        })
    }
}

/// Something that broke.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Which rule.
    pub rule: SoakRule,
    /// When, in seconds of the soak.
    pub at_s: f64,
    /// What was seen.
    pub description: String,
}

/// What a soak came to, in counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Requests sent.
    pub sent: usize,
    /// Answered 200.
    pub succeeded: usize,
    /// Refused, 429 or 503.
    pub refused: usize,
    /// Ended with another status.
    pub failed: usize,
    /// Ended with a connection that closed, or in silence.
    pub unanswered: usize,
    /// Signals to processes, and kills.
    pub signals: usize,
    /// Changes of the configuration that were accepted.
    pub changes: usize,
}

/// Judges a history.
pub(super) fn check_soak(plan: &SoakPlan, history: &History) -> (Vec<Finding>, Summary) {
    let mut findings = Vec::new();
    let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in &history.runs {
        runs.entry(&run.id).or_default().push(run);
    }
    for request in &history.requests {
        let runs = runs.get(&request.id[..]).map(Vec::as_slice).unwrap_or_default();
        findings.extend(judge_request(plan, history, request, runs));
    }
    findings.extend(judge_processes(history));
    findings.extend(judge_config(history));
    findings.extend(judge_cold_workers(&history.cold_spells, &history.runs, &history.requests));
    let summary = summarize(history);
    if summary.succeeded * 2 < summary.sent || summary.sent == 0 {
        let description = format!("{} of {} requests succeeded", summary.succeeded, summary.sent);
        findings.push(Finding { rule: SoakRule::Served, at_s: 0.0, description });
    }
    (bounded(findings), summary)
}

/// Keeps the first findings of each rule.
fn bounded(mut findings: Vec<Finding>) -> Vec<Finding> {
    findings.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    let mut told: BTreeMap<SoakRule, usize> = BTreeMap::new();
    findings.retain(|finding| {
        let count = told.entry(finding.rule).or_default();
        *count += 1;
        *count <= MAX_TOLD
    });
    findings
}

fn judge_request(
    plan: &SoakPlan,
    history: &History,
    request: &SentRequest,
    runs: &[&Run],
) -> Option<Finding> {
    let finding = |rule, summary: &str| {
        let runs: Vec<String> = runs.iter().map(|r| format!("{:.3} to {:.3}", r.began, r.ends)).collect();
        let description = format!(
            "{summary}: {} at proxy{}, sent {:.3}, ended {:.3} with {:?}, runs [{}], the proxy's events {:?}",
            request.id,
            request.proxy + 1,
            request.sent,
            request.ended,
            request.end,
            runs.join(", "),
            nearby(history, request),
        );
        Some(Finding { rule, at_s: request.ended, description })
    };
    if !request.is_safe && runs.len() > 1 {
        return finding(SoakRule::Twice, "it ran more than once");
    }
    match request.end {
        End::Response { is_own: false, .. } => finding(SoakRule::Mixed, "the response is another's"),
        End::Response { status: 429 | 503, .. } if !runs.is_empty() => {
            finding(SoakRule::Refused, "refused, and yet it ran")
        }
        // Broken off at its worker: only where the proxy was told to end is that its own doing.
        End::Response { status: 502 | 504, .. } if is_broken_off(plan, history, request, runs) => {
            finding(SoakRule::Lost, "broken off at its worker")
        }
        End::Closed if is_lost(plan, history, request, runs) => finding(SoakRule::Lost, "no answer"),
        _ => None,
    }
}

fn events_of<'a>(history: &'a History, request: &SentRequest) -> &'a [(f64, ProcessEvent)] {
    history.events.get(&ProcessName::Proxy(request.proxy)).map(Vec::as_slice).unwrap_or_default()
}

/// What happened to the request's proxy shortly before and while it was there.
fn nearby(history: &History, request: &SentRequest) -> Vec<(f64, ProcessEvent)> {
    let is_near = |(at, _): &&(f64, ProcessEvent)| *at >= request.sent - 8.0 && *at <= request.ended + 1.0;
    events_of(history, request).iter().filter(is_near).copied().collect()
}

/// Whether a kill, or a pause, is why the connection ended.
fn is_in_trouble(history: &History, request: &SentRequest) -> bool {
    events_of(history, request).iter().any(|(at, event)| match event {
        ProcessEvent::Killed | ProcessEvent::Overdue => {
            *at >= request.sent - SLACK_S && *at <= request.ended + SLACK_S
        }
        ProcessEvent::Paused(seconds) => *at <= request.ended && at + seconds + TROUBLE_S >= request.sent,
        ProcessEvent::Terminated | ProcessEvent::HungUp | ProcessEvent::Exited(_) => false,
    })
}

/// The SIGTERM under which a request ended, if any.
fn terminated_at(plan: &SoakPlan, history: &History, request: &SentRequest) -> Option<f64> {
    let is_under = |at: f64| at <= request.ended && request.ended <= at + plan.shape.grace_s + 1.0;
    let events = events_of(history, request).iter().rev();
    events.filter(|(_, event)| *event == ProcessEvent::Terminated).map(|(at, _)| *at).find(|at| is_under(*at))
}

/// Whether the request was sent early enough, and its worker is at work late enough, for it to be broken off.
fn may_be_broken_off(plan: &SoakPlan, told: f64, request: &SentRequest, runs: &[&Run]) -> bool {
    let grace = plan.shape.grace_s;
    request.sent <= told + FIRST_PART * grace
        && runs.iter().any(|run| run.ends >= told + LAST_PART * grace - SLACK_S)
}

fn is_broken_off(plan: &SoakPlan, history: &History, request: &SentRequest, runs: &[&Run]) -> bool {
    let Some(told) = terminated_at(plan, history, request) else { return false };
    let is_at_work = runs.iter().any(|run| run.ends > request.ended + SLACK_S);
    is_at_work && !is_in_trouble(history, request) && !may_be_broken_off(plan, told, request, runs)
}

fn is_lost(plan: &SoakPlan, history: &History, request: &SentRequest, runs: &[&Run]) -> bool {
    if runs.is_empty() || is_in_trouble(history, request) {
        return false;
    }
    match terminated_at(plan, history, request) {
        Some(told) => !may_be_broken_off(plan, told, request, runs),
        // Nothing was done to the proxy but a change of settings or of the configuration.
        None => true,
    }
}

fn judge_processes(history: &History) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (name, events) in &history.events {
        let mut told: Option<f64> = None;
        let mut is_killed = false;
        for (at, event) in events {
            let description = match event {
                ProcessEvent::Terminated => {
                    told = Some(*at);
                    continue;
                }
                ProcessEvent::Killed => {
                    is_killed = true;
                    continue;
                }
                ProcessEvent::HungUp | ProcessEvent::Paused(_) => continue,
                ProcessEvent::Overdue => {
                    is_killed = true;
                    format!("{name} had not ended {:.1} s after SIGTERM", at - told.unwrap_or(*at))
                }
                // One that was told to end as it began has not caught the signal yet.
                ProcessEvent::Exited(code) => {
                    let is_fine =
                        std::mem::take(&mut is_killed) || told.is_some() && matches!(code, Some(0) | None);
                    told = None;
                    if is_fine {
                        continue;
                    }
                    format!("{name} ended by itself with {code:?}")
                }
            };
            findings.push(Finding { rule: SoakRule::Exit, at_s: *at, description });
        }
    }
    findings
}

fn judge_config(history: &History) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut found =
        |description: String| findings.push(Finding { rule: SoakRule::Config, at_s: 0.0, description });
    let mut accepted_on: BTreeMap<u64, u64> = BTreeMap::new();
    for change in &history.changes {
        match change.end {
            ChangeEnd::Accepted => {
                if let Some(other) = accepted_on.insert(change.base, change.generation) {
                    found(format!(
                        "{other} and {} were both accepted on top of {}",
                        change.generation, change.base
                    ));
                }
            }
            ChangeEnd::Refused(status) => found(format!("{} was refused with {status}", change.generation)),
            ChangeEnd::Conflict | ChangeEnd::Unclear => {}
        }
    }
    let newest = accepted_on.values().copied().max().unwrap_or(0);
    match history.read_back {
        None => found("no controller answers a read of the configuration".to_string()),
        Some(read) if read < newest => found(format!("{newest} was accepted, {read} is read back")),
        Some(_) => {}
    }
    findings
}

fn summarize(history: &History) -> Summary {
    let mut summary = Summary { sent: history.requests.len(), ..Summary::default() };
    for request in &history.requests {
        let count = match request.end {
            End::Response { status: 200, .. } => &mut summary.succeeded,
            End::Response { status: 429 | 503, .. } => &mut summary.refused,
            End::Response { .. } => &mut summary.failed,
            End::Closed | End::Silent => &mut summary.unanswered,
        };
        *count += 1;
    }
    let is_signal = |(_, event): &&(f64, ProcessEvent)| !matches!(event, ProcessEvent::Exited(_));
    summary.signals = history.events.values().flatten().filter(is_signal).count();
    summary.changes = history.changes.iter().filter(|change| change.end == ChangeEnd::Accepted).count();
    summary
}
