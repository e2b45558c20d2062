//! The judge: reads what processes wrote down and what clients and workers saw, and says what broke. It knows
//! no code of what it judges, only the words of the history; what may follow what is written here once more.

mod agreement;
mod clients;
mod ownership;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use lynxstair_export::BatchReply;
use lynxstair_fakes::{ReceivedAttempt, ReceivedBatch, RequestOutcome};
use serde::Serialize;
use serde_json::Value;

use clients::counted;

/// After a worker drains: the grace, and what a busy machine may add to it, in nanoseconds.
const DRAINED: u64 = 1_000_000_000;
/// Suspicions of one by one other while nothing but cuts lasts; more is flapping.
const SUSPECTED: usize = 2;
/// Of the invocations at gatekeepers that nothing was done to, such a part succeeds at least.
const SERVED: f64 = 0.8;

/// Something that must hold in every trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Rule {
    /// As verdicts name it.
    pub name: &'static str,
    /// What must hold.
    #[serde(rename = "says")]
    pub requirement: &'static str,
}

/// All rules, by name.
pub const RULES: [Rule; 21] = [
    Rule {
        name: "all-join",
        requirement: "all that start are in, and see each other, before the faults begin",
    },
    Rule { name: "states-follow", requirement: "no state of a member follows one that it may not follow" },
    Rule {
        name: "incarnation-forward",
        requirement: "an incarnation never goes back, neither one's own nor as seen by others",
    },
    Rule {
        name: "over-stays-over",
        requirement: "one that failed, left or was shut out is there again only in a later incarnation",
    },
    Rule {
        name: "not-failed-for-good",
        requirement: "one that runs and is heard is not failed, at the end, as seen by any that runs",
    },
    Rule {
        name: "all-agree",
        requirement: "all that run see the same members, from agree_within after the last fault to the end",
    },
    Rule {
        name: "status-as-history",
        requirement: "what a member answers at the end is what its history comes to",
    },
    Rule {
        name: "cuts-do-not-flap",
        requirement: "while nothing but cuts lasts, nobody suspects another again and again",
    },
    Rule { name: "never-failed", requirement: "those under must.never_failed are declared failed by nobody" },
    Rule {
        name: "seen-failed",
        requirement: "those under must.seen_failed are declared failed by all others, at some time",
    },
    Rule {
        name: "epoch-has-one-owner",
        requirement: "no epoch of a duty is given to two, and no other acts in it",
    },
    Rule {
        name: "epochs-forward",
        requirement: "no member owns a duty in an epoch lower than one it owned it in",
    },
    Rule {
        name: "owned-again",
        requirement: "each duty has one owner at the end, where most voters run and kept their records",
    },
    Rule {
        name: "effects-in-order",
        requirement: "no effect of a duty is taken where it lands after one of a later epoch",
    },
    Rule {
        name: "exported-as-answered",
        requirement: "at the end the sink has what clients were answered as succeeded, by gatekeeper and customer",
    },
    Rule {
        name: "ends-well",
        requirement: "no process ends by itself, and each ends with 0 when it is told to",
    },
    Rule { name: "history-whole", requirement: "each process that runs has a history, and it can be read" },
    Rule {
        name: "one-answer",
        requirement: "each invocation gets one final answer, in time, at gatekeepers that nothing is done to",
    },
    Rule { name: "no-effect-twice", requirement: "no invocation that is not idempotent is run twice" },
    Rule {
        name: "nothing-to-drained",
        requirement: "nothing new goes to a worker that drains, after the grace",
    },
    Rule {
        name: "served-through",
        requirement: "gatekeepers that nothing is done to serve as if there were no fault",
    },
];

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The rule's name.
    pub rule: &'static str,
    /// Seconds after all served.
    #[serde(rename = "at")]
    pub at_s: f64,
    /// Between whom.
    #[serde(rename = "who")]
    pub gatekeepers: Vec<String>,
    /// What was seen.
    #[serde(rename = "what")]
    pub description: String,
    /// Of the histories.
    #[serde(rename = "lines")]
    pub history_lines: Vec<String>,
}

/// What came of a trial.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    /// The trial's name.
    pub name: String,
    /// No rule was broken.
    #[serde(rename = "kept")]
    pub passed: bool,
    /// What broke, in the order of time.
    #[serde(rename = "breaks")]
    pub violations: Vec<Violation>,
    /// Seconds from the last fault's end until all agreed for good; measured, and no rule.
    #[serde(rename = "agreed_after")]
    pub agreed_after_s: Option<f64>,
    /// For each that was declared failed after its process was killed: seconds until the first and until the
    /// last of the others had.
    pub detections: Vec<Detection>,
    /// What clients and workers saw.
    #[serde(rename = "invocations")]
    pub requests: RequestCounts,
    /// Of the owner of export, at the sink; none: there was no sink.
    #[serde(rename = "effects")]
    pub batches: Option<BatchCounts>,
    /// CPU of a gatekeeper a second, as a part of a core; the mean over those that ran through.
    pub cpu: Option<f64>,
}

/// How long a death took to be seen.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Detection {
    /// Who was killed.
    #[serde(rename = "who")]
    pub gatekeeper: String,
    /// Seconds until the first of the others had declared it failed.
    #[serde(rename = "first")]
    pub first_s: f64,
    /// Seconds until the last of them had.
    #[serde(rename = "last")]
    pub last_s: f64,
}

/// Counts of what came to a sink.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct BatchCounts {
    /// They were new.
    #[serde(rename = "taken")]
    pub accepted: usize,
    /// They were there already: nothing changed.
    #[serde(rename = "again")]
    pub duplicates: usize,
    /// Of a lower epoch than was seen there.
    #[serde(rename = "refused")]
    pub fenced: usize,
}

/// Counts of a load.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RequestCounts {
    /// By clients.
    pub sent: usize,
    /// Answered with success.
    pub succeeded: usize,
    /// Told to come back.
    pub throttled: usize,
    /// Answered with an error.
    pub errored: usize,
    /// Without a final answer.
    pub unanswered: usize,
    /// Attempts that came to workers.
    pub deliveries: usize,
}

/// One gatekeeper as the trial had it.
#[derive(Clone, Debug, Default)]
pub struct ProcessObservation {
    /// As the others know it.
    pub name: String,
    /// At the end.
    pub runs: bool,
    /// It was killed or stopped at some time.
    pub was_ended: bool,
    /// Its records were emptied or cut short at these times.
    pub disk_lost: Vec<u64>,
    /// It was ended while its disk was full: what it could not write was in its memory only.
    pub uses_lost: bool,
    /// Times when something was done to the process itself.
    pub disturbed: Vec<(u64, u64)>,
    /// When it was killed.
    pub killed: Vec<u64>,
    /// Why it ended, where it should not have, or not so.
    pub ended_badly: Option<(u64, String)>,
    /// Whom it said were there, when it was asked at the end; none: no answer.
    pub status: Option<BTreeSet<String>>,
    /// The duties that it said it owned at the end, with the epoch; none: no answer.
    pub owns: Option<BTreeMap<String, u64>>,
    /// The lines that it wrote down.
    pub history: Vec<String>,
}

impl ProcessObservation {
    /// Whether all that it told its clients is on its disk or further.
    pub fn keeps_uses(&self) -> bool {
        self.runs && self.disk_lost.is_empty() && !self.uses_lost
    }
}

/// All that was seen. Times are of the machine's monotonic clock, in nanoseconds.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// The trial's name.
    pub name: String,
    /// All served.
    pub began: u64,
    /// The last fault was over.
    pub faults_over: u64,
    /// Before anybody was told to end.
    pub ended: u64,
    /// As the trial's `must` has it.
    pub agree_within: f64,
    /// The same.
    pub never_failed: Vec<String>,
    /// The same.
    pub seen_failed: Vec<String>,
    /// The first so many gatekeepers; none: no duty has an owner.
    pub voters: usize,
    /// What came to the sink, in its order; none: there was none.
    pub landed: Option<Vec<ReceivedBatch>>,
    /// Each gatekeeper.
    pub processes: Vec<ProcessObservation>,
    /// What clients were answered.
    pub answered: Vec<RequestOutcome>,
    /// What workers received.
    pub delivered: Vec<ReceivedAttempt>,
    /// The worker that drained, and when.
    pub drained: Option<(usize, u64)>,
    /// Stretches in which nothing but cuts lasted, and had lasted for some time.
    pub only_cuts: Vec<(u64, u64)>,
    /// Not all were in when the time for it was up: what each said.
    pub not_joined: Option<String>,
    /// CPU of a gatekeeper a second, as a part of a core.
    pub cpu: Option<f64>,
}

/// What may follow what, in one incarnation.
fn may_follow(from: &str, to: &str) -> bool {
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

fn is_over(state: &str) -> bool {
    matches!(state, "failed" | "left" | "shut_out")
}

fn is_there(state: &str) -> bool {
    matches!(state, "alive" | "suspected")
}

/// A line of a history.
#[derive(Clone, Debug)]
struct Line {
    mono: u64,
    run: u64,
    value: Value,
    text: String,
}

impl Line {
    fn read(text: &str) -> Option<Line> {
        let value: Value = serde_json::from_str(text).ok()?;
        let (mono, run) = (value["mono"].as_u64()?, value["run"].as_u64()?);
        Some(Line { mono, run, value, text: text.to_string() })
    }

    fn is(&self, event: &str) -> bool {
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
    seen: &'a Observations,
    lines: Vec<Vec<Line>>,
    violations: Vec<Violation>,
}

/// Judges a trial.
pub fn check_trial(seen: &Observations) -> Verdict {
    let mut checker = Checker { seen, lines: Vec::new(), violations: Vec::new() };
    checker.read();
    checker.joined();
    for who in 0..seen.processes.len() {
        checker.one_history(who);
        checker.ended(who);
    }
    let agreed_after_s = checker.agreement();
    checker.flapping();
    checker.owners();
    checker.declared();
    checker.invocations();
    let detections = checker.detections();
    let mut violations = checker.violations;
    violations.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    Verdict {
        name: seen.name.clone(),
        passed: violations.is_empty(),
        violations,
        agreed_after_s,
        detections,
        requests: counted(seen),
        batches: seen.landed.as_ref().map(|landed| {
            let with = |is: fn(&BatchReply) -> bool| landed.iter().filter(|l| is(&l.reply)).count();
            BatchCounts {
                accepted: with(|s| *s == BatchReply::Accepted { already_stored: false }),
                duplicates: with(|s| *s == BatchReply::Accepted { already_stored: true }),
                fenced: with(|s| matches!(s, BatchReply::Fenced { .. })),
            }
        }),
        cpu: seen.cpu,
    }
}

impl Checker<'_> {
    fn secs(&self, mono: u64) -> f64 {
        (mono as f64 - self.seen.began as f64) / 1e9
    }

    fn report(
        &mut self,
        rule: &'static str,
        mono: u64,
        who: &[&str],
        description: String,
        history_lines: Vec<String>,
    ) {
        debug_assert!(RULES.iter().any(|r| r.name == rule), "{rule}");
        // One of a kind between the same tells enough.
        let gatekeepers: Vec<_> = who.iter().map(|w| w.to_string()).collect();
        if !self.violations.iter().any(|b| b.rule == rule && b.gatekeepers == gatekeepers) {
            let at_s = self.secs(mono);
            self.violations.push(Violation { rule, at_s, gatekeepers, description, history_lines });
        }
    }

    fn read(&mut self) {
        let seen = self.seen;
        for process in &seen.processes {
            let mut lines = Vec::new();
            let count = process.history.len();
            for (n, text) in process.history.iter().enumerate() {
                match Line::read(text) {
                    Some(line) => lines.push(line),
                    // A kill cuts the last line of a run short.
                    None if process.was_ended || n + 1 == count => {}
                    None => {
                        let what = format!("line {} can't be read", n + 1);
                        self.report("history-whole", seen.began, &[&process.name], what, vec![text.clone()]);
                    }
                }
            }
            if lines.is_empty() && process.runs {
                self.report("history-whole", seen.began, &[&process.name], "no history".to_string(), vec![]);
            }
            // The run that begins later comes later.
            lines.sort_by_key(|l| l.mono);
            self.lines.push(lines);
        }
    }

    fn joined(&mut self) {
        if let Some(what) = self.seen.not_joined.clone() {
            self.report("all-join", self.seen.began, &[], what, Vec::new());
        }
    }

    /// What one process wrote of itself and of others.
    fn one_history(&mut self, who: usize) {
        let seen = self.seen;
        let process = &seen.processes[who];
        let me = process.name.as_str();
        let lines = std::mem::take(&mut self.lines[who]);
        let mut own: Option<(u64, &Line)> = None;
        let mut held: HashMap<(u64, String), &Line> = HashMap::new();
        for line in lines.iter().filter(|l| l.mono <= seen.ended) {
            if line.is("began") {
                let incarnation = line.value["ident"]["incarnation"].as_u64().unwrap_or_default();
                if let Some((last, before)) = own {
                    // One whose disk was emptied can't know what it was, until others tell it.
                    let forgot = process.disk_lost.iter().any(|at| (before.mono..=line.mono).contains(at));
                    if incarnation <= last && !forgot {
                        let what = format!("{me} begins as {incarnation} after it was {last}");
                        let lines = vec![before.text.clone(), line.text.clone()];
                        self.report("incarnation-forward", line.mono, &[me], what, lines);
                    }
                }
                own = Some((incarnation, line));
            }
            if !line.is("member") {
                continue;
            }
            let other = line.text("name").to_string();
            let (from, to) = (line.text("from").to_string(), line.text("to").to_string());
            let (was, now) = (line.number("was"), line.number("incarnation"));
            let before = held.insert((line.run, other.clone()), line);
            let texts =
                || before.iter().map(|b| b.text.clone()).chain([line.text.clone()]).collect::<Vec<_>>();
            if let Some(before) = before
                && (before.text("to") != from || before.number("incarnation") != was)
            {
                let what = format!("{other} was {}, and becomes {to} from {from}", before.text("to"));
                self.report("states-follow", line.mono, &[me, &other], what, texts());
            }
            if now < was {
                let what = format!("{me} sees {other} go back from incarnation {was} to {now}");
                self.report("incarnation-forward", line.mono, &[me, &other], what, texts());
            }
            if now == was && is_over(&from) && (is_there(&to) || to == "joining") {
                let what = format!("{me} sees {other} {to} after {from}, both in incarnation {now}");
                self.report("over-stays-over", line.mono, &[me, &other], what, texts());
            } else if now == was && !may_follow(&from, &to) || now > was && from == "shut_out" {
                let what = format!("{me} sees {other} become {to} from {from}");
                self.report("states-follow", line.mono, &[me, &other], what, texts());
            }
        }
        self.lines[who] = lines;
    }

    fn ended(&mut self, who: usize) {
        if let Some((at, why)) = self.seen.processes[who].ended_badly.clone() {
            let name = self.seen.processes[who].name.clone();
            self.report("ends-well", at, &[&name], format!("{name}: {why}"), Vec::new());
        }
    }
}

#[cfg(test)]
mod tests;
