//! `lynxstair fleet`: the state of each member as reported by each reachable member.
//!
//! The reports are shown side by side, not merged. A member that can't be reached is `unknown`.

mod arguments;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use comfy_table::{ContentArrangement, Table, presets};
use lynxstair_cluster::protocol::{Request, Response};
use lynxstair_membership::{Name, Phase, State, View};
use serde::Serialize;

use crate::ask::{addresses, send_request};
use crate::owners;

pub use arguments::Args;
use arguments::{Command, VotersCommand};

/// Number of members that are queried concurrently.
const MAX_CONCURRENT_QUERIES: usize = 32;

/// Status of a fleet, combined from the answers of its members.
#[derive(Serialize)]
struct FleetStatus {
    fleet: Option<Name>,
    members: Vec<MemberStatus>,
    /// `true` if the joined members see each joined member as present and every other member as failed, left
    /// or shut out.
    agree: bool,
}

#[derive(Serialize)]
struct MemberStatus {
    name: Name,
    #[serde(rename = "hall")]
    zone: Name,
    addr: SocketAddrV4,
    incarnation: u64,
    /// `None` if the member did not answer.
    #[serde(rename = "says")]
    self_report: Option<SelfReport>,
    /// `None` if the member answered.
    #[serde(rename = "unreached")]
    unreachable: Option<Unreachable>,
    /// Reports of the other members, by the state that they report.
    #[serde(rename = "seen")]
    observations: BTreeMap<State, Vec<Observation>>,
}

/// State that a member reports of itself.
#[derive(Serialize)]
struct SelfReport {
    phase: Phase,
    #[serde(rename = "why")]
    phase_reason: String,
    version: String,
    #[serde(rename = "doubt_ms")]
    degraded_ms: Option<u64>,
    #[serde(rename = "disk")]
    disk_error: Option<String>,
}

/// Error of the query to a member that did not answer.
#[derive(Serialize)]
struct Unreachable {
    #[serde(rename = "why")]
    reason: String,
    /// Longest time for which a member has reported it as not present, in milliseconds; `None` if all report
    /// it as present.
    #[serde(rename = "for_ms")]
    absent_ms: Option<u64>,
}

/// State of a member as reported by another member.
#[derive(Clone, Serialize)]
struct Observation {
    #[serde(rename = "by")]
    observer: Name,
    incarnation: u64,
    for_ms: u64,
    #[serde(rename = "why")]
    reason: String,
}

pub fn run(args: Args) -> Result<u8> {
    match args.command {
        Command::Status { member, json } => print_status(&member, json),
        Command::Watch { member, json, r#for } => watch(&member, json, r#for),
        Command::Leave { member } => {
            let addr = addresses(&member)?[0];
            send_command(addr, &Request::Leave)
        }
        Command::ShutOut { by, name, why } => {
            send_to_any(&by, &Request::ShutOut { name: Name::new(&name)?, reason: why })
        }
        Command::Owners { member, json } => owners::print_owners(&member, json),
        Command::HandOver { by, duty, to, id } => {
            let to = Name::new(&to)?;
            owners::run_command(&by, id, |id| Request::HandOver { id, duty: duty.clone(), to: to.clone() })
        }
        Command::Depose { by, duty, id } => {
            owners::run_command(&by, id, |id| Request::Depose { id, duty: duty.clone() })
        }
        Command::Voters { command: VotersCommand::Show { member, json } } => {
            owners::print_voters(&member, json)
        }
        Command::Voters { command: VotersCommand::Replace { by, old, new, id } } => {
            let (old, new) = (Name::new(&old)?, Name::new(&new)?);
            owners::run_command(&by, id, |id| Request::ReplaceVoter {
                id,
                old: old.clone(),
                new: new.clone(),
            })
        }
        Command::LetIn { by, name } => send_to_any(&by, &Request::LetIn { name: Name::new(&name)? }),
    }
}

fn send_command(addr: SocketAddrV4, command: &Request) -> Result<u8> {
    match send_request(addr, command).with_context(|| addr.to_string())? {
        Response::Done => Ok(0),
        Response::Refused { reason } => bail!("{addr}: {reason}"),
        _ => bail!("{addr}: unexpected response type"),
    }
}

/// Sends the command to one address after another until a member accepts it; returns the last error if none
/// does.
fn send_to_any(member: &str, command: &Request) -> Result<u8> {
    let mut last_error = None;
    for addr in addresses(member)? {
        match send_command(addr, command) {
            Ok(code) => return Ok(code),
            Err(e) => last_error = Some(e),
        }
    }
    Err(last_error.unwrap_or_else(|| anyhow::anyhow!("no address to query")))
}

/// Answer of a member to a status query.
struct StatusAnswer {
    fleet: Name,
    version: String,
    view: View,
    disk_error: Option<String>,
}

fn query_status(addr: SocketAddrV4) -> Result<StatusAnswer> {
    match send_request(addr, &Request::Status)? {
        Response::Status { fleet, version, view, disk_error, .. } => {
            Ok(StatusAnswer { fleet, version, view: *view, disk_error })
        }
        Response::Refused { reason } => bail!(reason),
        _ => bail!("unexpected response type"),
    }
}

/// Queries the given addresses, then every further member that an answer lists, unless its last state is
/// final.
fn query_fleet(member: &str) -> Result<FleetStatus> {
    let mut answers: BTreeMap<SocketAddrV4, Result<StatusAnswer>> = BTreeMap::new();
    let first = addresses(member)?;
    let mut pending: Vec<_> = first.clone();
    while !pending.is_empty() {
        let mut found = BTreeSet::new();
        for chunk in pending.chunks(MAX_CONCURRENT_QUERIES) {
            let chunk_answers: Vec<_> = thread::scope(|scope| {
                let queries: Vec<_> = chunk.iter().map(|a| scope.spawn(|| query_status(*a))).collect();
                queries
                    .into_iter()
                    .map(|q| q.join().unwrap_or_else(|_| bail!("status query panicked")))
                    .collect()
            });
            for (addr, answer) in chunk.iter().zip(chunk_answers) {
                if let Ok(answer) = &answer {
                    found.extend(
                        answer.view.members.iter().filter(|m| !m.last_state.is_final()).map(|m| m.addr),
                    );
                }
                answers.insert(*addr, answer);
            }
        }
        // A member may have been queried at an address other than the one it is listed with.
        let answered: BTreeSet<_> = answers.values().flatten().map(|a| a.view.local.addr).collect();
        pending = found.into_iter().filter(|a| !answers.contains_key(a) && !answered.contains(a)).collect();
        if answers.len() == first.len() && answers.values().all(Result::is_err) {
            let errors =
                answers.iter().map(|(a, e)| format!("{a}: {:#}", e.as_ref().err().expect("all failed")));
            bail!("no member could be reached: {}", errors.collect::<Vec<_>>().join("; "));
        }
    }
    Ok(build_status(&answers))
}

fn build_status(answers: &BTreeMap<SocketAddrV4, Result<StatusAnswer>>) -> FleetStatus {
    let mut members: BTreeMap<Name, MemberStatus> = BTreeMap::new();
    let successful = || answers.values().flatten();
    for answer in successful() {
        let local = &answer.view.local;
        for observed in &answer.view.members {
            let member = members.entry(observed.name.clone()).or_insert_with(|| MemberStatus {
                name: observed.name.clone(),
                zone: observed.zone.clone(),
                addr: observed.addr,
                incarnation: 0,
                self_report: None,
                unreachable: None,
                observations: BTreeMap::new(),
            });
            if observed.incarnation.0 >= member.incarnation {
                (member.incarnation, member.addr) = (observed.incarnation.0, observed.addr);
            }
            let observation = Observation {
                observer: local.name.clone(),
                incarnation: observed.incarnation.0,
                for_ms: observed.for_ms,
                reason: observed.reason.clone(),
            };
            member.observations.entry(observed.state).or_default().push(observation);
        }
    }
    for answer in successful() {
        let local = &answer.view.local;
        let member = members.entry(local.name.clone()).or_insert_with(|| MemberStatus {
            name: local.name.clone(),
            zone: local.zone.clone(),
            addr: local.addr,
            incarnation: 0,
            self_report: None,
            unreachable: None,
            observations: BTreeMap::new(),
        });
        // If two processes use the same name, the report of the joined one is kept.
        if member.self_report.as_ref().is_some_and(|s| s.phase == Phase::In) {
            continue;
        }
        (member.incarnation, member.addr) = (local.incarnation.0, local.addr);
        member.self_report = Some(SelfReport {
            phase: answer.view.phase,
            phase_reason: answer.view.phase_reason.clone(),
            version: answer.version.clone(),
            degraded_ms: answer.view.degraded.map(|(_, ms)| ms),
            disk_error: answer.disk_error.clone(),
        });
    }
    for member in members.values_mut().filter(|m| m.self_report.is_none()) {
        let error = answers.get(&member.addr).and_then(|a| a.as_ref().err());
        let reason =
            error.map_or_else(|| "not queried: no longer in the fleet".to_string(), |e| format!("{e:#}"));
        let absent = member.observations.iter().filter(|(state, _)| !state.is_present());
        let absent_ms = absent.flat_map(|(_, observations)| observations).map(|o| o.for_ms).max();
        member.unreachable = Some(Unreachable { reason, absent_ms });
    }
    let agree = all_agree(&members);
    FleetStatus {
        fleet: successful().next().map(|a| a.fleet.clone()),
        members: members.into_values().collect(),
        agree,
    }
}

/// Returns `true` if the joined members see each joined member as present and every other member in a final
/// state.
fn all_agree(members: &BTreeMap<Name, MemberStatus>) -> bool {
    let is_joined = |m: &MemberStatus| m.self_report.as_ref().is_some_and(|s| s.phase == Phase::In);
    members.values().all(|member| {
        let states: Vec<State> = member
            .observations
            .iter()
            .filter(|(_, observations)| {
                observations.iter().any(|o| members.get(&o.observer).is_some_and(is_joined))
            })
            .map(|(state, _)| *state)
            .collect();
        if is_joined(member) {
            states.iter().all(|s| s.is_present())
        } else {
            states.iter().all(|s| s.is_final())
        }
    })
}

fn format_duration(ms: u64) -> String {
    match ms {
        0..10_000 => format!("{:.1} s", ms as f64 / 1e3),
        10_000..600_000 => format!("{} s", ms / 1_000),
        _ => format!("{} min", ms / 60_000),
    }
}

fn state_name(state: State) -> &'static str {
    match state {
        State::Unknown => "unknown",
        State::Joining => "joining",
        State::Alive => "alive",
        State::Suspected => "suspected",
        State::Failed => "failed",
        State::Left => "left",
        State::ShutOut => "shut out",
    }
}

/// Formats one line for each reported state, with at most four of the members that report it.
fn format_observations(member: &MemberStatus) -> String {
    let lines = member.observations.iter().map(|(state, observations)| {
        let longest = format_duration(observations.iter().map(|o| o.for_ms).max().unwrap_or_default());
        let names: Vec<_> = observations.iter().take(4).map(|o| o.observer.as_str()).collect();
        let more = if observations.len() > 4 {
            format!(" and {} more", observations.len() - 4)
        } else {
            String::new()
        };
        format!("{} for {longest}: {}{more}", state_name(*state), names.join(", "))
    });
    lines.collect::<Vec<_>>().join("\n")
}

fn format_self_report(member: &MemberStatus) -> String {
    match (&member.self_report, &member.unreachable) {
        (Some(report), _) => {
            let mut text = format!("{:?}", report.phase).to_lowercase();
            if !matches!(report.phase, Phase::In) {
                text += &format!(": {}", report.phase_reason);
            }
            if let Some(ms) = report.degraded_ms {
                text += &format!("; degraded for {}", format_duration(ms));
            }
            if let Some(error) = &report.disk_error {
                text += &format!("; {error}");
            }
            text
        }
        (None, Some(unreachable)) => {
            let duration = unreachable
                .absent_ms
                .map_or("duration unknown".to_string(), |ms| format!("for {}", format_duration(ms)));
            format!("unknown, {duration} ({})", unreachable.reason)
        }
        (None, None) => "unknown".to_string(),
    }
}

fn print_status(member: &str, json: bool) -> Result<u8> {
    let status = query_fleet(member)?;
    if json {
        println!("{}", serde_json::to_string(&status)?);
    } else {
        let mut table = Table::new();
        table
            .load_preset(presets::UTF8_HORIZONTAL_ONLY)
            .set_content_arrangement(ContentArrangement::Disabled);
        table.set_header(["member", "hall", "address", "life", "says of itself", "seen by others"]);
        for m in &status.members {
            let cells = [
                m.name.to_string(),
                m.zone.to_string(),
                m.addr.to_string(),
                m.incarnation.to_string(),
                format_self_report(m),
                format_observations(m),
            ];
            table.add_row(cells);
        }
        let fleet = status.fleet.as_ref().map_or_else(String::new, Name::to_string);
        println!("{table}\nfleet {fleet}: {}", summary(&status));
    }
    Ok(u8::from(!status.agree))
}

fn summary(status: &FleetStatus) -> String {
    let answered = status.members.iter().filter(|m| m.self_report.is_some()).count();
    let all = status.members.len();
    let agree = if status.agree {
        "all joined members agree"
    } else {
        "members disagree, or a present member did not answer"
    };
    format!("{answered} of {all} members answered; {agree}")
}

/// Queries the fleet once a second and prints each state that differs from the previous query.
fn watch(member: &str, json: bool, seconds: Option<f64>) -> Result<u8> {
    let start = Instant::now();
    let mut previous: Option<BTreeMap<(String, String), String>> = None;
    loop {
        match query_fleet(member) {
            Ok(status) => {
                let current = reported_states(&status);
                print_changes(previous.as_ref(), &current, json)?;
                previous = Some(current);
            }
            Err(e) if previous.is_none() => return Err(e),
            Err(e) => eprintln!("lynxstair: {e:#}"),
        }
        if seconds.is_some_and(|s| start.elapsed().as_secs_f64() >= s) {
            return Ok(0);
        }
        thread::sleep(Duration::from_secs(1));
    }
}

/// Returns the state of each member by (member, observer). The phase that a member reports of itself has the
/// member as its observer.
fn reported_states(status: &FleetStatus) -> BTreeMap<(String, String), String> {
    let mut states = BTreeMap::new();
    for member in &status.members {
        let name = member.name.to_string();
        let own = match &member.self_report {
            Some(report) => format!("{:?}", report.phase).to_lowercase(),
            None => "unknown".to_string(),
        };
        states.insert((name.clone(), name.clone()), own);
        for (state, observations) in &member.observations {
            for observation in observations {
                states
                    .insert((name.clone(), observation.observer.to_string()), state_name(*state).to_string());
            }
        }
    }
    states
}

fn print_changes(
    previous: Option<&BTreeMap<(String, String), String>>,
    current: &BTreeMap<(String, String), String>,
    json: bool,
) -> Result<()> {
    for ((name, by), state) in current {
        let was = previous.and_then(|b| b.get(&(name.clone(), by.clone())));
        if was == Some(state) {
            continue;
        }
        if json {
            let line = serde_json::json!({"member": name, "by": by, "was": was, "is": state});
            println!("{line}");
        } else {
            let was = was.map_or(String::new(), |w| format!("{w} -> "));
            println!("{name} as seen by {}: {was}{state}", if name == by { "itself" } else { by });
        }
    }
    Ok(())
}
