//! Checks the trace of a trial against the rules.
//!
//! Input are the histories of the processes and the records of clients, workers and the sink. The checker
//! shares no code with the gatekeeper's state machines: it parses the history lines and has its own
//! transition table.

mod agreement;
mod clients;
mod ownership;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use lynxstair_export::BatchReply;
use lynxstair_fakes::{ReceivedAttempt, ReceivedBatch, RequestOutcome};
use serde::Serialize;
use serde_json::Value;

use clients::count_requests;

/// Time after a worker starts draining in which it may still receive requests, in nanoseconds.
const DRAIN_GRACE_NS: u64 = 1_000_000_000;
/// Suspicions of one member by one peer that are allowed in an interval with only link cuts.
const MAX_SUSPICIONS: usize = 2;
/// Least share of the undisturbed requests to a gatekeeper that must succeed.
const MIN_SUCCESS_SHARE: f64 = 0.8;

/// An invariant that every trial must satisfy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Rule {
    /// Name in the verdict.
    pub name: &'static str,
    /// One-line description, printed by `lynxstair trial --rules`.
    #[serde(rename = "says")]
    pub requirement: &'static str,
}

/// All rules that a trial is checked against.
pub const RULES: [Rule; 21] = [
    Rule {
        name: "all-join",
        requirement: "before the first fault, every gatekeeper has joined and sees all others",
    },
    Rule {
        name: "states-follow",
        requirement: "each change of a member's state is a valid transition from its previous state",
    },
    Rule {
        name: "incarnation-forward",
        requirement: "a member's incarnation never decreases, in its own history or as seen by others",
    },
    Rule {
        name: "over-stays-over",
        requirement: "a member that failed, left or was shut out returns only with a higher incarnation",
    },
    Rule {
        name: "not-failed-for-good",
        requirement: "at the end, no running gatekeeper holds another running one failed",
    },
    Rule {
        name: "all-agree",
        requirement: "from agree_within after the last fault on, running gatekeepers see the same members",
    },
    Rule {
        name: "status-as-history",
        requirement: "the status a gatekeeper answers at the end matches its history",
    },
    Rule {
        name: "cuts-do-not-flap",
        requirement: "while links are cut and nothing else is wrong, no peer is suspected again and again",
    },
    Rule {
        name: "never-failed",
        requirement: "no gatekeeper declares a member under must.never_failed failed",
    },
    Rule {
        name: "seen-failed",
        requirement: "members under must.seen_failed are declared failed by all others not killed or stopped",
    },
    Rule {
        name: "epoch-has-one-owner",
        requirement: "each epoch of a duty is granted to one owner; no other gatekeeper owns the duty in it",
    },
    Rule {
        name: "epochs-forward",
        requirement: "no gatekeeper owns a duty in a lower epoch than one in which it owned it before",
    },
    Rule {
        name: "owned-again",
        requirement: "at the end, each duty has one owner, if most voters run and kept their records",
    },
    Rule {
        name: "effects-in-order",
        requirement: "the sink accepts no batch of a lower epoch after one of a higher epoch",
    },
    Rule {
        name: "exported-as-answered",
        requirement: "at the end, the sink has the usage of all succeeded requests, by gatekeeper and tenant",
    },
    Rule {
        name: "ends-well",
        requirement: "no process exits by itself, and each exits with code 0 after SIGTERM",
    },
    Rule {
        name: "history-whole",
        requirement: "each running process has a history, and its lines can be parsed",
    },
    Rule {
        name: "one-answer",
        requirement: "each request gets one final answer, in time, at gatekeepers that no fault disturbs",
    },
    Rule { name: "no-effect-twice", requirement: "a request that is not idempotent runs at most once" },
    Rule {
        name: "nothing-to-drained",
        requirement: "a draining worker receives no new request after the grace period",
    },
    Rule {
        name: "served-through",
        requirement: "gatekeepers that no fault disturbs answer at least 80 % of their requests with 200",
    },
];

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// Name of the violated rule.
    pub rule: &'static str,
    /// Time of the violation, in seconds since the trial began.
    #[serde(rename = "at")]
    pub at_s: f64,
    /// Names of the gatekeepers involved.
    #[serde(rename = "who")]
    pub gatekeepers: Vec<String>,
    /// Description of the violation.
    #[serde(rename = "what")]
    pub description: String,
    /// History lines or records that show the violation.
    #[serde(rename = "lines")]
    pub history_lines: Vec<String>,
}

/// Result of a trial.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    /// The trial's name.
    pub name: String,
    /// `true` if no rule was violated.
    #[serde(rename = "kept")]
    pub passed: bool,
    /// Violations, ordered by time.
    #[serde(rename = "breaks")]
    pub violations: Vec<Violation>,
    /// Seconds from the end of the last fault until all running gatekeepers agreed for good, or until the end
    /// of the trial if they disagree then. `None` if the gatekeepers did not join.
    #[serde(rename = "agreed_after")]
    pub agreed_after_s: Option<f64>,
    /// Detection times of killed gatekeepers. A kill that was not detected has no entry.
    pub detections: Vec<Detection>,
    /// Counts of client requests and worker deliveries.
    #[serde(rename = "invocations")]
    pub requests: RequestCounts,
    /// Counts of export batches at the sink, or `None` if the trial has no sink.
    #[serde(rename = "effects")]
    pub batches: Option<BatchCounts>,
    /// Mean CPU use of the gatekeepers that no fault killed or stopped, in cores.
    #[serde(rename = "cpu")]
    pub cpu_cores: Option<f64>,
}

/// Time until the other gatekeepers, except killed or stopped ones, declared a killed gatekeeper failed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Detection {
    /// Name of the killed gatekeeper.
    #[serde(rename = "who")]
    pub gatekeeper: String,
    /// Seconds from the kill to the first declaration.
    #[serde(rename = "first")]
    pub first_s: f64,
    /// Seconds from the kill until the last gatekeeper that declared it failed did so.
    #[serde(rename = "last")]
    pub last_s: f64,
}

/// Export batches that reached the sink.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct BatchCounts {
    /// New batches that the sink stored.
    #[serde(rename = "taken")]
    pub accepted: usize,
    /// Batches that the sink had stored before.
    #[serde(rename = "again")]
    pub duplicates: usize,
    /// Batches that the sink rejected because their epoch was stale.
    #[serde(rename = "refused")]
    pub fenced: usize,
}

/// Counts of client requests by outcome, and of worker deliveries.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RequestCounts {
    /// Requests sent by clients.
    pub sent: usize,
    /// Requests answered with status 200.
    pub succeeded: usize,
    /// Requests answered with 429 or 503.
    pub throttled: usize,
    /// Requests answered with any other status.
    pub errored: usize,
    /// Requests without a final answer.
    pub unanswered: usize,
    /// Attempts received by workers.
    pub deliveries: usize,
}

/// Trace of one gatekeeper process. Times are monotonic, in nanoseconds.
#[derive(Clone, Debug, Default)]
pub struct ProcessTrace {
    /// Member name of the gatekeeper.
    pub name: String,
    /// `true` if the process was running when the trial ended.
    pub running: bool,
    /// `true` if a fault killed or stopped the process.
    pub was_terminated: bool,
    /// Times at which a fault emptied or truncated its records.
    pub disk_lost_ns: Vec<u64>,
    /// `true` if it was killed or stopped while its disk was full: usage records held only in memory are
    /// lost.
    pub usage_lost: bool,
    /// Intervals in which a fault kept the process from running, each with the time to catch up.
    pub disturbed_ns: Vec<(u64, u64)>,
    /// Times at which it was killed.
    pub kill_times_ns: Vec<u64>,
    /// Time and reason of the first unexpected exit.
    pub unexpected_exit: Option<(u64, String)>,
    /// Members that its status listed as present at the end, or `None` if it was not running or did not
    /// answer.
    pub visible_members: Option<BTreeSet<String>>,
    /// Duties that it reported to own at the end, with the epoch, or `None` if the trial has no voters or the
    /// process did not run or answer.
    pub owned_duties: Option<BTreeMap<String, u64>>,
    /// Lines of its history file.
    pub history: Vec<String>,
}

impl ProcessTrace {
    /// Returns `true` if the usage of every request it answered is stored on its disk or was exported.
    pub fn retains_usage(&self) -> bool {
        self.running && self.disk_lost_ns.is_empty() && !self.usage_lost
    }
}

/// Everything recorded in a trial. Times are readings of the monotonic clock, in nanoseconds.
#[derive(Clone, Debug, Default)]
pub struct TrialTrace {
    /// The trial's name.
    pub name: String,
    /// Time at which the trial began: all gatekeepers had joined, or the join had timed out.
    pub start_ns: u64,
    /// End of the last fault.
    pub faults_end_ns: u64,
    /// End of the trial, before SIGTERM is sent to the gatekeepers.
    pub end_ns: u64,
    /// `must.agree_within` of the trial, in seconds.
    pub agree_within_s: f64,
    /// Members under `must.never_failed` of the trial.
    pub never_failed: Vec<String>,
    /// Members under `must.seen_failed` of the trial.
    pub seen_failed: Vec<String>,
    /// Number of voters, which are the first gatekeepers. 0 if duties have no owners in this trial.
    pub voters: usize,
    /// Batches in the order in which the sink received them, or `None` if the trial has no sink.
    pub sink_batches: Option<Vec<ReceivedBatch>>,
    /// Trace of each gatekeeper.
    pub processes: Vec<ProcessTrace>,
    /// Outcomes of the client requests.
    pub outcomes: Vec<RequestOutcome>,
    /// Attempts that workers received.
    pub attempts: Vec<ReceivedAttempt>,
    /// Number of the draining worker and the time at which it started draining.
    pub drained_worker: Option<(usize, u64)>,
    /// Intervals in which cut links were the only active faults, without the time to detect the cuts.
    pub cut_only_ns: Vec<(u64, u64)>,
    /// Reason why not all gatekeepers joined before the time-out.
    pub join_failure: Option<String>,
    /// Mean CPU use of the gatekeepers that no fault killed or stopped, in cores.
    pub cpu_cores: Option<f64>,
}

/// Returns `true` if a member may change between these states within one incarnation.
fn is_valid_transition(from: &str, to: &str) -> bool {
    match from {
        "unknown" => true,
        "joining" => matches!(to, "alive" | "suspected" | "failed" | "left" | "shut_out"),
        "alive" => matches!(to, "suspected" | "failed" | "left" | "shut_out"),
        "suspected" => matches!(to, "alive" | "failed" | "left" | "shut_out"),
        "failed" => matches!(to, "left" | "shut_out"),
        "left" => to == "shut_out",
        "shut_out" => to == "unknown",
        _ => false,
    }
}

fn is_final(state: &str) -> bool {
    matches!(state, "failed" | "left" | "shut_out")
}

fn is_present(state: &str) -> bool {
    matches!(state, "alive" | "suspected")
}

/// A parsed line of a history.
#[derive(Clone, Debug)]
struct HistoryLine {
    mono_ns: u64,
    run: u64,
    value: Value,
    text: String,
}

impl HistoryLine {
    fn parse(text: &str) -> Option<HistoryLine> {
        let value: Value = serde_json::from_str(text).ok()?;
        let (mono_ns, run) = (value["mono"].as_u64()?, value["run"].as_u64()?);
        Some(HistoryLine { mono_ns, run, value, text: text.to_string() })
    }

    fn is_event(&self, event: &str) -> bool {
        self.value["event"] == event
    }

    fn text(&self, key: &str) -> &str {
        self.value[key].as_str().unwrap_or_default()
    }

    fn number(&self, key: &str) -> u64 {
        self.value[key].as_u64().unwrap_or_default()
    }
}

struct Checker<'a> {
    trace: &'a TrialTrace,
    lines: Vec<Vec<HistoryLine>>,
    violations: Vec<Violation>,
}

/// Checks the trace of a trial against all rules.
pub fn check_trial(trace: &TrialTrace) -> Verdict {
    let mut checker = Checker { trace, lines: Vec::new(), violations: Vec::new() };
    checker.parse_histories();
    checker.check_join();
    for index in 0..trace.processes.len() {
        checker.check_member_history(index);
        checker.check_exit(index);
    }
    let agreed_after_s = checker.check_agreement();
    checker.check_flapping();
    checker.check_owners();
    checker.check_declared_failures();
    checker.check_requests();
    let detections = checker.detections();
    let mut violations = checker.violations;
    violations.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    Verdict {
        name: trace.name.clone(),
        passed: violations.is_empty(),
        violations,
        agreed_after_s,
        detections,
        requests: count_requests(trace),
        batches: trace.sink_batches.as_ref().map(|sink_batches| {
            let with = |is: fn(&BatchReply) -> bool| sink_batches.iter().filter(|l| is(&l.reply)).count();
            BatchCounts {
                accepted: with(|s| *s == BatchReply::Accepted { already_stored: false }),
                duplicates: with(|s| *s == BatchReply::Accepted { already_stored: true }),
                fenced: with(|s| matches!(s, BatchReply::Fenced { .. })),
            }
        }),
        cpu_cores: trace.cpu_cores,
    }
}

impl Checker<'_> {
    fn seconds_since_start(&self, mono_ns: u64) -> f64 {
        (mono_ns as f64 - self.trace.start_ns as f64) / 1e9
    }

    fn report(
        &mut self,
        rule: &'static str,
        mono_ns: u64,
        involved: &[&str],
        description: String,
        history_lines: Vec<String>,
    ) {
        debug_assert!(RULES.iter().any(|r| r.name == rule), "{rule}");
        // Only the first violation of a rule between the same gatekeepers is reported.
        let gatekeepers: Vec<_> = involved.iter().map(|w| w.to_string()).collect();
        if !self.violations.iter().any(|b| b.rule == rule && b.gatekeepers == gatekeepers) {
            let at_s = self.seconds_since_start(mono_ns);
            self.violations.push(Violation { rule, at_s, gatekeepers, description, history_lines });
        }
    }

    fn parse_histories(&mut self) {
        let trace = self.trace;
        for process in &trace.processes {
            let mut lines = Vec::new();
            let count = process.history.len();
            for (n, text) in process.history.iter().enumerate() {
                match HistoryLine::parse(text) {
                    Some(line) => lines.push(line),
                    // A kill can truncate the last line of a run.
                    None if process.was_terminated || n + 1 == count => {}
                    None => {
                        let what = format!("line {} can't be parsed", n + 1);
                        self.report(
                            "history-whole",
                            trace.start_ns,
                            &[&process.name],
                            what,
                            vec![text.clone()],
                        );
                    }
                }
            }
            if lines.is_empty() && process.running {
                self.report(
                    "history-whole",
                    trace.start_ns,
                    &[&process.name],
                    "no history".to_string(),
                    vec![],
                );
            }
            // Orders the lines of several runs by time.
            lines.sort_by_key(|l| l.mono_ns);
            self.lines.push(lines);
        }
    }

    fn check_join(&mut self) {
        if let Some(what) = self.trace.join_failure.clone() {
            self.report("all-join", self.trace.start_ns, &[], what, Vec::new());
        }
    }

    /// Checks the incarnations and member states in the history of one process.
    fn check_member_history(&mut self, index: usize) {
        let trace = self.trace;
        let process = &trace.processes[index];
        let observer = process.name.as_str();
        let lines = std::mem::take(&mut self.lines[index]);
        let mut own: Option<(u64, &HistoryLine)> = None;
        let mut last_lines: HashMap<(u64, String), &HistoryLine> = HashMap::new();
        for line in lines.iter().filter(|l| l.mono_ns <= trace.end_ns) {
            if line.is_event("began") {
                let incarnation = line.value["ident"]["incarnation"].as_u64().unwrap_or_default();
                if let Some((last, before)) = own {
                    // After a disk loss the process starts without its last incarnation.
                    let lost_incarnation =
                        process.disk_lost_ns.iter().any(|at| (before.mono_ns..=line.mono_ns).contains(at));
                    if incarnation <= last && !lost_incarnation {
                        let what = format!(
                            "{observer} starts with incarnation {incarnation} after incarnation {last}"
                        );
                        let lines = vec![before.text.clone(), line.text.clone()];
                        self.report("incarnation-forward", line.mono_ns, &[observer], what, lines);
                    }
                }
                own = Some((incarnation, line));
            }
            if !line.is_event("member") {
                continue;
            }
            let other = line.text("name").to_string();
            let (from, to) = (line.text("from").to_string(), line.text("to").to_string());
            let (previous, incarnation) = (line.number("was"), line.number("incarnation"));
            let before = last_lines.insert((line.run, other.clone()), line);
            let evidence =
                || before.iter().map(|b| b.text.clone()).chain([line.text.clone()]).collect::<Vec<_>>();
            if let Some(before) = before
                && (before.text("to") != from || before.number("incarnation") != previous)
            {
                let what = format!("{other} was {}, and changes from {from} to {to}", before.text("to"));
                self.report("states-follow", line.mono_ns, &[observer, &other], what, evidence());
            }
            if incarnation < previous {
                let what = format!(
                    "{observer} sees the incarnation of {other} decrease from {previous} to {incarnation}"
                );
                self.report("incarnation-forward", line.mono_ns, &[observer, &other], what, evidence());
            }
            if incarnation == previous && is_final(&from) && (is_present(&to) || to == "joining") {
                let what = format!(
                    "{observer} sees {other} change from {from} to {to} within incarnation {incarnation}"
                );
                self.report("over-stays-over", line.mono_ns, &[observer, &other], what, evidence());
            } else if incarnation == previous && !is_valid_transition(&from, &to)
                || incarnation > previous && from == "shut_out"
            {
                let what = format!("{observer} sees {other} change from {from} to {to}");
                self.report("states-follow", line.mono_ns, &[observer, &other], what, evidence());
            }
        }
        self.lines[index] = lines;
    }

    fn check_exit(&mut self, index: usize) {
        if let Some((at, why)) = self.trace.processes[index].unexpected_exit.clone() {
            let name = self.trace.processes[index].name.clone();
            self.report("ends-well", at, &[&name], format!("{name}: {why}"), Vec::new());
        }
    }
}

#[cfg(test)]
mod tests;
