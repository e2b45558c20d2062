//! `lynxstair fleet`: each member as seen by each member that could be asked. Nothing is averaged, and who
//! could not be reached is `unknown`, with since when.

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

use crate::ask::{addresses, ask};
use crate::owners;

pub use arguments::Args;
use arguments::{Command, VotersCommand};

/// Asked at once.
const AT_ONCE: usize = 32;

/// What was found out of a fleet.
#[derive(Serialize)]
struct Status {
    fleet: Option<Name>,
    members: Vec<Member>,
    /// All could be asked, and all see the same.
    agree: bool,
}

/// One member.
#[derive(Serialize)]
struct Member {
    name: Name,
    hall: Name,
    addr: SocketAddrV4,
    incarnation: u64,
    /// What it says of itself; none: it could not be asked.
    says: Option<Said>,
    /// Why it could not be asked, and since when others do not see it as there; `unknown` where nobody can
    /// say.
    unreached: Option<Unreached>,
    /// By state: who sees it so.
    seen: BTreeMap<State, Vec<Seen>>,
}

#[derive(Serialize)]
struct Said {
    phase: Phase,
    why: String,
    version: String,
    doubt_ms: Option<u64>,
    disk: Option<String>,
}

#[derive(Serialize)]
struct Unreached {
    why: String,
    /// Milliseconds for which those who could be asked have held it so; none: `unknown`, they see it as
    /// there.
    for_ms: Option<u64>,
}

#[derive(Clone, Serialize)]
struct Seen {
    by: Name,
    incarnation: u64,
    for_ms: u64,
    why: String,
}

pub fn run(args: Args) -> Result<u8> {
    match args.command {
        Command::Status { member, json } => status(&member, json),
        Command::Watch { member, json, r#for } => watch(&member, json, r#for),
        Command::Leave { member } => {
            let addr = addresses(&member)?[0];
            done(addr, &Request::Leave)
        }
        Command::ShutOut { by, name, why } => {
            one_of(&by, &Request::ShutOut { name: Name::new(&name)?, reason: why })
        }
        Command::Owners { member, json } => owners::show(&member, json),
        Command::HandOver { by, duty, to, id } => {
            let to = Name::new(&to)?;
            owners::operate(&by, id, |id| Request::HandOver { id, duty: duty.clone(), to: to.clone() })
        }
        Command::Depose { by, duty, id } => {
            owners::operate(&by, id, |id| Request::Depose { id, duty: duty.clone() })
        }
        Command::Voters { command: VotersCommand::Show { member, json } } => owners::voters(&member, json),
        Command::Voters { command: VotersCommand::Replace { by, old, new, id } } => {
            let (old, new) = (Name::new(&old)?, Name::new(&new)?);
            owners::operate(&by, id, |id| Request::ReplaceVoter { id, old: old.clone(), new: new.clone() })
        }
        Command::LetIn { by, name } => one_of(&by, &Request::LetIn { name: Name::new(&name)? }),
    }
}

fn done(addr: SocketAddrV4, what: &Request) -> Result<u8> {
    match ask(addr, what).with_context(|| addr.to_string())? {
        Response::Done => Ok(0),
        Response::Refused { reason: why } => bail!("{addr}: {why}"),
        _ => bail!("{addr}: an answer to something else"),
    }
}

/// The first that can be asked.
fn one_of(member: &str, what: &Request) -> Result<u8> {
    let mut last = None;
    for addr in addresses(member)? {
        match done(addr, what) {
            Ok(code) => return Ok(code),
            Err(e) => last = Some(e),
        }
    }
    Err(last.unwrap_or_else(|| anyhow::anyhow!("nobody to ask")))
}

/// What one member answered.
struct Asked {
    fleet: Name,
    version: String,
    view: View,
    disk: Option<String>,
}

fn status_of(addr: SocketAddrV4) -> Result<Asked> {
    match ask(addr, &Request::Status)? {
        Response::Status { fleet, version, view, disk_error: disk, .. } => {
            Ok(Asked { fleet, version, view: *view, disk })
        }
        Response::Refused { reason: why } => bail!(why),
        _ => bail!("an answer to something else"),
    }
}

/// Asks one, then everybody whom anybody who was asked knows.
fn gather(member: &str) -> Result<Status> {
    let mut asked: BTreeMap<SocketAddrV4, Result<Asked>> = BTreeMap::new();
    let first = addresses(member)?;
    let mut to_ask: Vec<_> = first.clone();
    while !to_ask.is_empty() {
        let mut found = BTreeSet::new();
        for some in to_ask.chunks(AT_ONCE) {
            let answers: Vec<_> = thread::scope(|scope| {
                let asks: Vec<_> = some.iter().map(|a| scope.spawn(|| status_of(*a))).collect();
                asks.into_iter().map(|a| a.join().unwrap_or_else(|_| bail!("the asking failed"))).collect()
            });
            for (addr, answer) in some.iter().zip(answers) {
                if let Ok(one) = &answer {
                    found
                        .extend(one.view.members.iter().filter(|m| !m.last_state.is_final()).map(|m| m.addr));
                }
                asked.insert(*addr, answer);
            }
        }
        // By the address at which it is known; one that is asked at another one answers who it is.
        let me: BTreeSet<_> = asked.values().flatten().map(|a| a.view.local.addr).collect();
        to_ask = found.into_iter().filter(|a| !asked.contains_key(a) && !me.contains(a)).collect();
        if asked.len() == first.len() && asked.values().all(Result::is_err) {
            let why = asked.iter().map(|(a, e)| format!("{a}: {:#}", e.as_ref().err().expect("all failed")));
            bail!("nobody could be asked: {}", why.collect::<Vec<_>>().join("; "));
        }
    }
    Ok(put_together(&asked))
}

fn put_together(asked: &BTreeMap<SocketAddrV4, Result<Asked>>) -> Status {
    let mut members: BTreeMap<Name, Member> = BTreeMap::new();
    let answers = || asked.values().flatten();
    for one in answers() {
        let me = &one.view.local;
        for seen in &one.view.members {
            let member = members.entry(seen.name.clone()).or_insert_with(|| Member {
                name: seen.name.clone(),
                hall: seen.zone.clone(),
                addr: seen.addr,
                incarnation: 0,
                says: None,
                unreached: None,
                seen: BTreeMap::new(),
            });
            if seen.incarnation.0 >= member.incarnation {
                (member.incarnation, member.addr) = (seen.incarnation.0, seen.addr);
            }
            let by = Seen {
                by: me.name.clone(),
                incarnation: seen.incarnation.0,
                for_ms: seen.for_ms,
                why: seen.reason.clone(),
            };
            member.seen.entry(seen.state).or_default().push(by);
        }
    }
    for one in answers() {
        let me = &one.view.local;
        let member = members.entry(me.name.clone()).or_insert_with(|| Member {
            name: me.name.clone(),
            hall: me.zone.clone(),
            addr: me.addr,
            incarnation: 0,
            says: None,
            unreached: None,
            seen: BTreeMap::new(),
        });
        // Of two that bear one name the one that is in says what it is.
        if member.says.as_ref().is_some_and(|s| s.phase == Phase::In) {
            continue;
        }
        (member.incarnation, member.addr) = (me.incarnation.0, me.addr);
        member.says = Some(Said {
            phase: one.view.phase,
            why: one.view.phase_reason.clone(),
            version: one.version.clone(),
            doubt_ms: one.view.degraded.map(|(_, ms)| ms),
            disk: one.disk.clone(),
        });
    }
    for member in members.values_mut().filter(|m| m.says.is_none()) {
        let failed = asked.get(&member.addr).and_then(|a| a.as_ref().err());
        let why = failed.map_or_else(|| "not asked: it is over".to_string(), |e| format!("{e:#}"));
        let gone = member.seen.iter().filter(|(state, _)| !state.is_present());
        let for_ms = gone.flat_map(|(_, seen)| seen).map(|s| s.for_ms).max();
        member.unreached = Some(Unreached { why, for_ms });
    }
    let agree = agrees(&members);
    Status {
        fleet: answers().next().map(|a| a.fleet.clone()),
        members: members.into_values().collect(),
        agree,
    }
}

/// Whether all who are in see the same, and all that count as there could be asked.
fn agrees(members: &BTreeMap<Name, Member>) -> bool {
    let is_in = |m: &Member| m.says.as_ref().is_some_and(|s| s.phase == Phase::In);
    members.values().all(|member| {
        let by_in: Vec<State> = member
            .seen
            .iter()
            .filter(|(_, seen)| seen.iter().any(|s| members.get(&s.by).is_some_and(is_in)))
            .map(|(state, _)| *state)
            .collect();
        if is_in(member) { by_in.iter().all(|s| s.is_present()) } else { by_in.iter().all(|s| s.is_final()) }
    })
}

fn seconds(ms: u64) -> String {
    match ms {
        0..10_000 => format!("{:.1} s", ms as f64 / 1e3),
        10_000..600_000 => format!("{} s", ms / 1_000),
        _ => format!("{} min", ms / 60_000),
    }
}

fn word(state: State) -> &'static str {
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

/// Who sees it how: by how many, and by whom where they are few.
fn seen_by(member: &Member) -> String {
    let words = member.seen.iter().map(|(state, seen)| {
        let longest = seconds(seen.iter().map(|s| s.for_ms).max().unwrap_or_default());
        let names: Vec<_> = seen.iter().take(4).map(|s| s.by.as_str()).collect();
        let more = if seen.len() > 4 { format!(" and {} more", seen.len() - 4) } else { String::new() };
        format!("{} for {longest}: {}{more}", word(*state), names.join(", "))
    });
    words.collect::<Vec<_>>().join("\n")
}

fn says(member: &Member) -> String {
    match (&member.says, &member.unreached) {
        (Some(said), _) => {
            let mut text = format!("{:?}", said.phase).to_lowercase();
            if !matches!(said.phase, Phase::In) {
                text += &format!(": {}", said.why);
            }
            if let Some(ms) = said.doubt_ms {
                text += &format!("; doubts itself for {}", seconds(ms));
            }
            if let Some(disk) = &said.disk {
                text += &format!("; {disk}");
            }
            text
        }
        (None, Some(unreached)) => {
            let since = unreached
                .for_ms
                .map_or("since when: unknown".to_string(), |ms| format!("for {}", seconds(ms)));
            format!("unknown, {since} ({})", unreached.why)
        }
        (None, None) => "unknown".to_string(),
    }
}

fn status(member: &str, json: bool) -> Result<u8> {
    let status = gather(member)?;
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
                m.hall.to_string(),
                m.addr.to_string(),
                m.incarnation.to_string(),
                says(m),
                seen_by(m),
            ];
            table.add_row(cells);
        }
        let fleet = status.fleet.as_ref().map_or_else(String::new, Name::to_string);
        println!("{table}\nfleet {fleet}: {}", verdict(&status));
    }
    Ok(u8::from(!status.agree))
}

fn verdict(status: &Status) -> String {
    let reached = status.members.iter().filter(|m| m.says.is_some()).count();
    let all = status.members.len();
    let agree = if status.agree { "all that are in see the same" } else { "they do not all see the same" };
    format!("{reached} of {all} members answered; {agree}")
}

/// Prints each change of what anybody says, as it is found once a second.
fn watch(member: &str, json: bool, seconds: Option<f64>) -> Result<u8> {
    let began = Instant::now();
    let mut before: Option<BTreeMap<(String, String), String>> = None;
    loop {
        match gather(member) {
            Ok(status) => {
                let now = flat(&status);
                tell_changes(before.as_ref(), &now, json)?;
                before = Some(now);
            }
            Err(e) if before.is_none() => return Err(e),
            Err(e) => eprintln!("lynxstair: {e:#}"),
        }
        if seconds.is_some_and(|s| began.elapsed().as_secs_f64() >= s) {
            return Ok(0);
        }
        thread::sleep(Duration::from_secs(1));
    }
}

/// Who is seen how by whom; what a member says of itself stands under its own name.
fn flat(status: &Status) -> BTreeMap<(String, String), String> {
    let mut all = BTreeMap::new();
    for member in &status.members {
        let name = member.name.to_string();
        let own = match &member.says {
            Some(said) => format!("{:?}", said.phase).to_lowercase(),
            None => "unknown".to_string(),
        };
        all.insert((name.clone(), name.clone()), own);
        for (state, seen) in &member.seen {
            for by in seen {
                all.insert((name.clone(), by.by.to_string()), word(*state).to_string());
            }
        }
    }
    all
}

fn tell_changes(
    before: Option<&BTreeMap<(String, String), String>>,
    now: &BTreeMap<(String, String), String>,
    json: bool,
) -> Result<()> {
    for ((name, by), state) in now {
        let was = before.and_then(|b| b.get(&(name.clone(), by.clone())));
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
