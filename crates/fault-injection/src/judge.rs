//! The judge: reads what processes wrote down and what clients and workers saw, and says what broke. It knows
//! no code of what it judges, only the words of the history; what may follow what is written here once more.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use lynxstair_export::BatchReply;
use lynxstair_fakes::{ReceivedAttempt, ReceivedBatch, RequestOutcome};
use serde::Serialize;
use serde_json::Value;

/// After a worker drains: the grace, and what a busy machine may add to it, in nanoseconds.
const DRAINED: u64 = 1_000_000_000;
/// Suspicions of one by one other while nothing but cuts lasts; more is flapping.
const SUSPECTED: usize = 2;
/// Of the invocations at gatekeepers that nothing was done to, such a part succeeds at least.
const SERVED: f64 = 0.8;

/// Something that must hold in every trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Rule {
    pub name: &'static str,
    pub says: &'static str,
}

/// All rules, by name.
pub const RULES: [Rule; 21] = [
    Rule { name: "all-join", says: "all that start are in, and see each other, before the faults begin" },
    Rule { name: "states-follow", says: "no state of a member follows one that it may not follow" },
    Rule {
        name: "incarnation-forward",
        says: "an incarnation never goes back, neither one's own nor as seen by others",
    },
    Rule {
        name: "over-stays-over",
        says: "one that failed, left or was shut out is there again only in a later incarnation",
    },
    Rule {
        name: "not-failed-for-good",
        says: "one that runs and is heard is not failed, at the end, as seen by any that runs",
    },
    Rule {
        name: "all-agree",
        says: "all that run see the same members, from agree_within after the last fault to the end",
    },
    Rule { name: "status-as-history", says: "what a member answers at the end is what its history comes to" },
    Rule {
        name: "cuts-do-not-flap",
        says: "while nothing but cuts lasts, nobody suspects another again and again",
    },
    Rule { name: "never-failed", says: "those under must.never_failed are declared failed by nobody" },
    Rule {
        name: "seen-failed",
        says: "those under must.seen_failed are declared failed by all others, at some time",
    },
    Rule { name: "epoch-has-one-owner", says: "no epoch of a duty is given to two, and no other acts in it" },
    Rule { name: "epochs-forward", says: "no member owns a duty in an epoch lower than one it owned it in" },
    Rule {
        name: "owned-again",
        says: "each duty has one owner at the end, where most voters run and kept their records",
    },
    Rule {
        name: "effects-in-order",
        says: "no effect of a duty is taken where it lands after one of a later epoch",
    },
    Rule {
        name: "exported-as-answered",
        says: "at the end the sink has what clients were answered as succeeded, by gatekeeper and customer",
    },
    Rule { name: "ends-well", says: "no process ends by itself, and each ends with 0 when it is told to" },
    Rule { name: "history-whole", says: "each process that runs has a history, and it can be read" },
    Rule {
        name: "one-answer",
        says: "each invocation gets one final answer, in time, at gatekeepers that nothing is done to",
    },
    Rule { name: "no-effect-twice", says: "no invocation that is not idempotent is run twice" },
    Rule { name: "nothing-to-drained", says: "nothing new goes to a worker that drains, after the grace" },
    Rule {
        name: "served-through",
        says: "gatekeepers that nothing is done to serve as if there were no fault",
    },
];

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Break {
    pub rule: &'static str,
    /// Seconds after all served.
    pub at: f64,
    /// Between whom.
    pub who: Vec<String>,
    pub what: String,
    /// Of the histories.
    pub lines: Vec<String>,
}

/// What came of a trial.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    pub name: String,
    pub kept: bool,
    pub breaks: Vec<Break>,
    /// Seconds from the last fault's end until all agreed for good; measured, and no rule.
    pub agreed_after: Option<f64>,
    /// For each that was declared failed after its process was killed: seconds until the first and until the
    /// last of the others had.
    pub detections: Vec<Detection>,
    pub invocations: Invocations,
    /// Of the owner of export, at the sink; none: there was no sink.
    pub effects: Option<Effects>,
    /// CPU of a gatekeeper a second, as a part of a core; the mean over those that ran through.
    pub cpu: Option<f64>,
}

/// How long a death took to be seen.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Detection {
    pub who: String,
    pub first: f64,
    pub last: f64,
}

/// Counts of what came to a sink.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Effects {
    pub taken: usize,
    /// They were there already: nothing changed.
    pub again: usize,
    /// Of a lower epoch than was seen there.
    pub refused: usize,
}

/// Counts of a load.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Invocations {
    pub sent: usize,
    pub succeeded: usize,
    pub throttled: usize,
    pub errored: usize,
    pub unanswered: usize,
    pub deliveries: usize,
}

/// One gatekeeper as the trial had it.
#[derive(Clone, Debug, Default)]
pub struct Process {
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
    pub history: Vec<String>,
}

impl Process {
    /// Whether all that it told its clients is on its disk or further.
    pub fn keeps_uses(&self) -> bool {
        self.runs && self.disk_lost.is_empty() && !self.uses_lost
    }
}

/// All that was seen. Times are of the machine's monotonic clock, in nanoseconds.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    pub name: String,
    pub began: u64,
    pub faults_over: u64,
    /// Before anybody was told to end.
    pub ended: u64,
    pub agree_within: f64,
    pub never_failed: Vec<String>,
    pub seen_failed: Vec<String>,
    /// The first so many gatekeepers; none: no duty has an owner.
    pub voters: usize,
    /// What came to the sink, in its order; none: there was none.
    pub landed: Option<Vec<ReceivedBatch>>,
    pub processes: Vec<Process>,
    pub answered: Vec<RequestOutcome>,
    pub delivered: Vec<ReceivedAttempt>,
    pub drained: Option<(usize, u64)>,
    /// Stretches in which nothing but cuts lasted, and had lasted for some time.
    pub only_cuts: Vec<(u64, u64)>,
    /// Not all were in when the time for it was up: what each said.
    pub not_joined: Option<String>,
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

struct Judge<'a> {
    seen: &'a Observed,
    lines: Vec<Vec<Line>>,
    breaks: Vec<Break>,
}

/// Judges a trial.
pub fn judge(seen: &Observed) -> Verdict {
    let mut judge = Judge { seen, lines: Vec::new(), breaks: Vec::new() };
    judge.read();
    judge.joined();
    for who in 0..seen.processes.len() {
        judge.one_history(who);
        judge.ended(who);
    }
    let agreed_after = judge.agreement();
    judge.flapping();
    judge.owners();
    judge.declared();
    judge.invocations();
    let detections = judge.detections();
    let mut breaks = judge.breaks;
    breaks.sort_by(|a, b| a.at.total_cmp(&b.at));
    Verdict {
        name: seen.name.clone(),
        kept: breaks.is_empty(),
        breaks,
        agreed_after,
        detections,
        invocations: counted(seen),
        effects: seen.landed.as_ref().map(|landed| {
            let with = |is: fn(&BatchReply) -> bool| landed.iter().filter(|l| is(&l.reply)).count();
            Effects {
                taken: with(|s| *s == BatchReply::Accepted { already_stored: false }),
                again: with(|s| *s == BatchReply::Accepted { already_stored: true }),
                refused: with(|s| matches!(s, BatchReply::Fenced { .. })),
            }
        }),
        cpu: seen.cpu,
    }
}

impl Judge<'_> {
    fn secs(&self, mono: u64) -> f64 {
        (mono as f64 - self.seen.began as f64) / 1e9
    }

    fn breaks(&mut self, rule: &'static str, mono: u64, who: &[&str], what: String, lines: Vec<String>) {
        debug_assert!(RULES.iter().any(|r| r.name == rule), "{rule}");
        // One of a kind between the same tells enough.
        let who: Vec<_> = who.iter().map(|w| w.to_string()).collect();
        if !self.breaks.iter().any(|b| b.rule == rule && b.who == who) {
            let at = self.secs(mono);
            self.breaks.push(Break { rule, at, who, what, lines });
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
                        self.breaks("history-whole", seen.began, &[&process.name], what, vec![text.clone()]);
                    }
                }
            }
            if lines.is_empty() && process.runs {
                self.breaks("history-whole", seen.began, &[&process.name], "no history".to_string(), vec![]);
            }
            // The run that begins later comes later.
            lines.sort_by_key(|l| l.mono);
            self.lines.push(lines);
        }
    }

    fn joined(&mut self) {
        if let Some(what) = self.seen.not_joined.clone() {
            self.breaks("all-join", self.seen.began, &[], what, Vec::new());
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
                        self.breaks("incarnation-forward", line.mono, &[me], what, lines);
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
                self.breaks("states-follow", line.mono, &[me, &other], what, texts());
            }
            if now < was {
                let what = format!("{me} sees {other} go back from incarnation {was} to {now}");
                self.breaks("incarnation-forward", line.mono, &[me, &other], what, texts());
            }
            if now == was && is_over(&from) && (is_there(&to) || to == "joining") {
                let what = format!("{me} sees {other} {to} after {from}, both in incarnation {now}");
                self.breaks("over-stays-over", line.mono, &[me, &other], what, texts());
            } else if now == was && !may_follow(&from, &to) || now > was && from == "shut_out" {
                let what = format!("{me} sees {other} become {to} from {from}");
                self.breaks("states-follow", line.mono, &[me, &other], what, texts());
            }
        }
        self.lines[who] = lines;
    }

    fn ended(&mut self, who: usize) {
        if let Some((at, why)) = self.seen.processes[who].ended_badly.clone() {
            let name = self.seen.processes[who].name.clone();
            self.breaks("ends-well", at, &[&name], format!("{name}: {why}"), Vec::new());
        }
    }

    /// The changes of whom one process sees as there, in its last run: from when on. One that hears nobody
    /// says of nobody that he is there.
    fn sees(&self, who: usize) -> Vec<(u64, BTreeSet<String>, bool)> {
        let lines = &self.lines[who];
        let Some(run) = lines.last().map(|l| l.run) else { return Vec::new() };
        let (mut there, mut blind) = (BTreeSet::new(), false);
        let mut steps = Vec::new();
        for line in lines.iter().filter(|l| l.run == run && l.mono <= self.seen.ended) {
            if line.is("member") {
                let name = line.text("name").to_string();
                if is_there(line.text("to")) {
                    there.insert(name)
                } else {
                    there.remove(&name)
                };
            } else if line.is("doubt_began") {
                blind = line.text("why") == "hears_nobody";
            } else if line.is("doubt_ended") {
                blind = false;
            } else {
                continue;
            }
            let says = if blind { BTreeSet::new() } else { there.clone() };
            steps.push((line.mono, says, blind));
        }
        steps
    }

    /// Whether all that run see the same; how long after the last fault that was so for good.
    fn agreement(&mut self) -> Option<f64> {
        let seen = self.seen;
        if seen.not_joined.is_some() {
            return None;
        }
        let running: Vec<usize> = (0..seen.processes.len()).filter(|n| seen.processes[*n].runs).collect();
        let names: BTreeSet<String> = running.iter().map(|n| seen.processes[*n].name.clone()).collect();
        let by = seen.faults_over + (seen.agree_within * 1e9) as u64;
        let mut agreed_at = seen.faults_over;
        for &who in &running {
            let me = seen.processes[who].name.clone();
            let mut wanted = names.clone();
            wanted.remove(&me);
            let steps = self.sees(who);
            let mut last_bad: Option<(u64, BTreeSet<String>, bool)> = None;
            for (n, (at, there, blind)) in steps.iter().enumerate() {
                if *there == wanted {
                    continue;
                }
                let until = steps.get(n + 1).map_or(seen.ended, |(at, _, _)| *at);
                agreed_at = agreed_at.max(until);
                if until > by || n + 1 == steps.len() {
                    last_bad = Some((*at, there.clone(), *blind));
                }
            }
            if steps.is_empty() && !wanted.is_empty() {
                last_bad = Some((seen.began, BTreeSet::new(), false));
            }
            if let Some((at, there, blind)) = last_bad {
                let missing: Vec<_> = wanted.difference(&there).cloned().collect();
                let over: Vec<_> = there.difference(&wanted).cloned().collect();
                let mut what = format!("{me} sees {} others", there.len());
                if !missing.is_empty() {
                    what += &format!(", not {}", missing.join(", "));
                }
                if !over.is_empty() {
                    what += &format!(", and {} that does not run", over.join(", "));
                }
                if blind {
                    what += ", and hears nobody";
                }
                what += &format!(
                    ", {:.1} s after the last fault",
                    (seen.ended.max(by) - seen.faults_over) as f64 / 1e9
                );
                let texts = self.last_lines(who, &missing, &over);
                self.breaks("all-agree", at.max(by), &[&me], what, texts);
            }
            if let Some(status) = &seen.processes[who].status {
                let says = steps.last().map(|(_, there, _)| there.clone()).unwrap_or_default();
                if *status != says {
                    let what = format!("{me} answers {status:?}, and its history comes to {says:?}");
                    self.breaks("status-as-history", seen.ended, &[&me], what, Vec::new());
                }
            } else {
                let what = format!("{me} did not answer at its control port at the end");
                self.breaks("status-as-history", seen.ended, &[&me], what, Vec::new());
            }
            self.failed_for_good(who, &running);
        }
        Some((agreed_at - seen.faults_over) as f64 / 1e9)
    }

    /// The last word of one on each of these.
    fn last_lines(&self, who: usize, missing: &[String], over: &[String]) -> Vec<String> {
        let of = |name: &String| {
            let about = |l: &&Line| l.is("member") && l.text("name") == name;
            self.lines[who].iter().rev().find(about).map(|l| l.text.clone())
        };
        missing.iter().chain(over).filter_map(of).take(6).collect()
    }

    fn failed_for_good(&mut self, who: usize, running: &[usize]) {
        let seen = self.seen;
        let me = seen.processes[who].name.clone();
        for &other in running.iter().filter(|o| **o != who) {
            let name = &seen.processes[other].name;
            let about = |l: &&Line| l.is("member") && l.text("name") == name && l.mono <= seen.ended;
            let last = self.lines[who].iter().rev().find(about);
            if let Some(line) = last.filter(|l| l.text("to") == "failed") {
                let (at, text) = (line.mono, line.text.clone());
                let what = format!("{me} holds {name} failed, and it runs");
                self.breaks("not-failed-for-good", at, &[&me, name], what, vec![text]);
            }
        }
    }

    /// A cut shows as a cut: the first question that stays unanswered may raise a suspicion, not each.
    fn flapping(&mut self) {
        let seen = self.seen;
        for who in 0..self.lines.len() {
            for (from, to) in &seen.only_cuts {
                let mut times: BTreeMap<String, Vec<Line>> = BTreeMap::new();
                for line in self.lines[who].iter().filter(|l| (*from..=*to).contains(&l.mono)) {
                    if line.is("member") && line.text("to") == "suspected" {
                        times.entry(line.text("name").to_string()).or_default().push(line.clone());
                    }
                }
                for (other, lines) in times.into_iter().filter(|(_, lines)| lines.len() > SUSPECTED) {
                    let me = seen.processes[who].name.clone();
                    let what = format!(
                        "{me} suspects {other} {} times in {:.1} s",
                        lines.len(),
                        (to - from) as f64 / 1e9
                    );
                    let texts = lines.iter().map(|l| l.text.clone()).take(4).collect();
                    self.breaks("cuts-do-not-flap", lines[SUSPECTED].mono, &[&me, &other], what, texts);
                }
            }
        }
    }

    /// Who owned what: what all wrote down about it, together.
    fn owners(&mut self) {
        let seen = self.seen;
        let mut given: BTreeMap<(String, u64), (String, u64, String)> = BTreeMap::new();
        let mut found = Vec::new();
        let all =
            || self.lines.iter().enumerate().flat_map(|(who, lines)| lines.iter().map(move |l| (who, l)));
        for (_, line) in all().filter(|(_, l)| l.is("granted")) {
            let key = (line.text("duty").to_string(), line.number("epoch"));
            let to = (line.text("owner").to_string(), line.number("stand"), line.text.clone());
            let before = given.entry(key.clone()).or_insert_with(|| to.clone());
            if (&before.0, before.1) != (&to.0, to.1) {
                let what = format!("{} in epoch {} was given to {} and to {}", key.0, key.1, before.0, to.0);
                let who = vec![before.0.clone(), to.0.clone()];
                found.push(("epoch-has-one-owner", line.mono, who, what, vec![before.2.clone(), to.2]));
            }
        }
        let mut last: BTreeMap<(usize, String), (u64, String)> = BTreeMap::new();
        for (who, line) in all().filter(|(_, l)| l.is("owns")) {
            let me = &seen.processes[who].name;
            let (duty, epoch) = (line.text("duty").to_string(), line.number("epoch"));
            if let Some((to, _, text)) = given.get(&(duty.clone(), epoch)).filter(|(to, _, _)| to != me) {
                let what = format!("{me} owns {duty} in epoch {epoch}, which was given to {to}");
                let texts = vec![text.clone(), line.text.clone()];
                found.push(("epoch-has-one-owner", line.mono, vec![me.clone(), to.clone()], what, texts));
            }
            let before = last.insert((who, duty.clone()), (epoch, line.text.clone()));
            if let Some((was, text)) = before.filter(|(was, _)| *was > epoch) {
                let what = format!("{me} owns {duty} in epoch {epoch} after {was}");
                found.push((
                    "epochs-forward",
                    line.mono,
                    vec![me.clone()],
                    what,
                    vec![text, line.text.clone()],
                ));
            }
        }
        for (rule, at, who, what, lines) in found {
            let who: Vec<&str> = who.iter().map(String::as_str).collect();
            self.breaks(rule, at, &who, what, lines);
        }
        self.owned_again();
        if let Some(landed) = &seen.landed {
            self.effects(landed);
            self.exported(landed);
        }
    }

    fn effects(&mut self, landed: &[ReceivedBatch]) {
        let mut last: Option<&ReceivedBatch> = None;
        for one in landed.iter().filter(|l| matches!(l.reply, BatchReply::Accepted { .. })) {
            if let Some(before) = last.filter(|b| b.epoch > one.epoch) {
                let what =
                    format!("an effect of epoch {} was taken after one of {}", one.epoch, before.epoch);
                let lines = [before, one].map(|l| serde_json::to_string(l).unwrap_or_default());
                self.breaks("effects-in-order", one.received_at, &[], what, lines.to_vec());
            }
            last = last.filter(|b| b.epoch > one.epoch).or(Some(one));
        }
    }

    /// What clients were told is there; what they were not told may be there where a worker ran it.
    fn exported(&mut self, landed: &[ReceivedBatch]) {
        let seen = self.seen;
        let mut sums: BTreeMap<(&str, u64), (u64, u64, u64)> = BTreeMap::new();
        for one in landed.iter().filter(|l| l.reply == BatchReply::Accepted { already_stored: false }) {
            for sum in &one.batch.sums {
                let key = (one.batch.stream.gatekeeper.as_str(), sum.tenant);
                sums.entry(key).or_default().0 += sum.milli_units;
            }
        }
        for one in &seen.answered {
            let sum = sums.entry((one.gatekeeper.as_str(), one.tenant)).or_default();
            match one.status {
                Some(200) => sum.1 += 1_000,
                None => sum.2 += 1_000,
                _ => {}
            }
        }
        for ((who, tenant), (exported, told, untold)) in sums {
            let judged = seen.processes.iter().any(|p| p.name == who && p.keeps_uses());
            // Without an owner it waits where it is; what is more than was told is wrong in any case.
            let least = if self.has_voters() { told } else { 0 };
            if judged && !(least..=told + untold).contains(&exported) {
                let what = format!(
                    "customer {tenant:x} at {who}: {:.3} units at the sink, {:.3} answered as succeeded, {:.3} \
                     without an answer",
                    exported as f64 / 1e3,
                    told as f64 / 1e3,
                    untold as f64 / 1e3
                );
                self.breaks("exported-as-answered", seen.ended, &[who], what, Vec::new());
            }
        }
    }

    /// Whether there is to be an owner at the end: most voters run and kept their records. One of three that lost
    /// its own is taken in again; two are more than the record bears.
    fn has_voters(&self) -> bool {
        let voters = &self.seen.processes[..self.seen.voters.min(self.seen.processes.len())];
        let run = voters.iter().filter(|v| v.runs).count();
        let lost = voters.iter().filter(|v| !v.disk_lost.is_empty()).count();
        run * 2 > voters.len() && lost * 2 < voters.len()
    }

    fn owned_again(&mut self) {
        let seen = self.seen;
        if !self.has_voters() || seen.not_joined.is_some() {
            return;
        }
        let owners: Vec<(&str, u64)> = seen
            .processes
            .iter()
            .filter_map(|p| Some((p.name.as_str(), *p.owns.as_ref()?.get("export")?)))
            .collect();
        if owners.len() != 1 {
            let who: Vec<&str> = owners.iter().map(|(n, _)| *n).collect();
            let what = format!("{} own export at the end: {owners:?}", owners.len());
            self.breaks("owned-again", seen.ended, &who, what, Vec::new());
        }
    }

    /// What must be seen, and must not.
    fn declared(&mut self) {
        let seen = self.seen;
        let mut by: BTreeMap<&str, Vec<(usize, u64, String)>> = BTreeMap::new();
        for (who, lines) in self.lines.iter().enumerate() {
            let within = |l: &&Line| l.mono >= seen.began && l.mono <= seen.ended;
            for line in lines.iter().filter(within).filter(|l| l.is("member") && l.text("to") == "failed") {
                let name = seen.processes.iter().map(|p| p.name.as_str()).find(|n| *n == line.text("name"));
                if let Some(name) = name {
                    by.entry(name).or_default().push((who, line.mono, line.text.clone()));
                }
            }
        }
        for name in &seen.never_failed {
            for (who, at, text) in by.get(name.as_str()).cloned().unwrap_or_default() {
                let me = &seen.processes[who].name;
                let what = format!("{me} declares {name} failed");
                self.breaks("never-failed", at, &[me, name], what, vec![text]);
            }
        }
        for name in &seen.seen_failed {
            let said: Vec<usize> =
                by.get(name.as_str()).iter().flat_map(|b| b.iter().map(|(w, _, _)| *w)).collect();
            for (who, process) in seen.processes.iter().enumerate() {
                // Whoever was ended meanwhile may have been away when it was to be seen.
                if process.name != *name && !process.was_ended && !said.contains(&who) {
                    let what = format!("{} never declares {name} failed", process.name);
                    self.breaks("seen-failed", seen.ended, &[&process.name, name], what, Vec::new());
                }
            }
        }
    }

    fn detections(&self) -> Vec<Detection> {
        let seen = self.seen;
        let mut all = Vec::new();
        for process in &seen.processes {
            for &killed in &process.killed {
                let mut took = Vec::new();
                for (who, lines) in self.lines.iter().enumerate() {
                    if seen.processes[who].name == process.name || seen.processes[who].was_ended {
                        continue;
                    }
                    let after =
                        |l: &&Line| l.mono >= killed && l.is("member") && l.text("name") == process.name;
                    let found = lines.iter().filter(after).find(|l| l.text("to") == "failed");
                    took.extend(found.map(|l| (l.mono - killed) as f64 / 1e9));
                }
                if let (Some(first), Some(last)) =
                    (took.iter().copied().reduce(f64::min), took.iter().copied().reduce(f64::max))
                {
                    all.push(Detection { who: process.name.clone(), first, last });
                }
            }
        }
        all
    }

    fn invocations(&mut self) {
        let seen = self.seen;
        let of: HashMap<&str, &Process> = seen.processes.iter().map(|p| (p.name.as_str(), p)).collect();
        let quiet = |name: &str, from: u64, to: u64| {
            of.get(name).is_some_and(|p| !p.disturbed.iter().any(|(a, b)| *a <= to && from <= *b))
        };
        let mut served: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for one in &seen.answered {
            let who = one.gatekeeper.as_str();
            let undisturbed = quiet(who, one.sent_at.saturating_sub(500_000_000), one.ended_at);
            let said = || vec![serde_json::to_string(one).unwrap_or_default()];
            if one.extra_bytes > 0 {
                let what = format!("{} bytes came behind the one answer to {:x}", one.extra_bytes, one.id);
                self.breaks("one-answer", one.ended_at, &[who], what, said());
            }
            if undisturbed && one.status.is_none() && one.reason != "crossed" {
                let what = format!("no answer to {:x} in time: {}", one.id, one.reason);
                self.breaks("one-answer", one.ended_at, &[who], what, said());
            }
            if undisturbed && one.reason != "crossed" {
                let count = served.entry(who).or_default();
                count.0 += 1;
                count.1 += usize::from(one.status == Some(200));
            }
        }
        for (who, (sent, succeeded)) in served {
            if sent >= 20 && (succeeded as f64) < SERVED * sent as f64 {
                let what = format!("{succeeded} of {sent} invocations at {who} succeeded");
                self.breaks("served-through", seen.ended, &[who], what, Vec::new());
            }
        }
        let by_id: HashMap<u64, &RequestOutcome> = seen.answered.iter().map(|a| (a.id, a)).collect();
        let mut runs: HashMap<u64, Vec<&ReceivedAttempt>> = HashMap::new();
        for one in &seen.delivered {
            runs.entry(one.id).or_default().push(one);
        }
        for (id, runs) in &runs {
            let Some(asked) = by_id.get(id) else { continue };
            let said =
                || runs.iter().map(|d| serde_json::to_string(d).unwrap_or_default()).collect::<Vec<_>>();
            if asked.operation == "put" && runs.len() > 1 {
                let what = format!("{id:x} is not idempotent and was run {} times", runs.len());
                self.breaks("no-effect-twice", runs[1].received_at, &[&asked.gatekeeper], what, said());
            }
            let Some((worker, told)) = seen.drained else { continue };
            for run in runs.iter().filter(|r| r.worker == worker && r.received_at > told + DRAINED) {
                if quiet(&asked.gatekeeper, told.saturating_sub(DRAINED), run.received_at) {
                    let what = format!(
                        "{id:x} went to worker {worker}, {:.2} s after it drained",
                        (run.received_at - told) as f64 / 1e9
                    );
                    self.breaks("nothing-to-drained", run.received_at, &[&asked.gatekeeper], what, said());
                }
            }
        }
    }
}

fn counted(seen: &Observed) -> Invocations {
    let with = |is: fn(u16) -> bool| seen.answered.iter().filter(|a| a.status.is_some_and(is)).count();
    Invocations {
        sent: seen.answered.len(),
        succeeded: with(|s| s == 200),
        throttled: with(|s| s == 429 || s == 503),
        errored: with(|s| s != 200 && s != 429 && s != 503),
        unanswered: seen.answered.iter().filter(|a| a.status.is_none()).count(),
        deliveries: seen.delivered.len(),
    }
}

#[cfg(test)]
mod tests;
