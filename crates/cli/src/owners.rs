//! `lynxstair fleet owners`, `hand-over`, `depose` and `voters`: who owns what, as a majority has it. What no
//! majority says is `unknown`.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::{Result, bail};
use comfy_table::{Table, presets};
use lynxstair_cluster::protocol::{DutyStatus, Request, Response, VoterStatus};
use lynxstair_leases::{DutyView, VoterView};
use serde::Serialize;

use crate::ask::{addresses, ask};

/// A member is asked again for so long, as it asks the voters for five seconds itself.
const WAITS: Duration = Duration::from_millis(7_000);
const TURN: Duration = Duration::from_millis(20);

/// All that was found out.
#[derive(Serialize)]
struct Shown {
    /// None: no majority was reached.
    duties: Option<Vec<DutyStatus>>,
    voters: Option<Vec<VoterStatus>>,
    leader: Option<String>,
    /// Why it is unknown.
    unknown: Option<String>,
    /// Who was asked.
    by: SocketAddrV4,
    /// What the member that was asked last heard of each duty; true some time ago.
    heard: Vec<DutyView>,
}

fn new_id() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as u64);
    now ^ u64::from(std::process::id()) << 48
}

/// Asks until it is known, or known to be unknown. The first member that can be asked is asked.
fn settled(member: &str, what: &Request) -> Result<(SocketAddrV4, Response)> {
    let mut last = None;
    for addr in addresses(member)? {
        let began = Instant::now();
        loop {
            match ask(addr, what) {
                Ok(Response::Pending) if began.elapsed() < WAITS => thread::sleep(TURN),
                Ok(Response::Pending) => {
                    return Ok((addr, Response::Unknown { reason: "no answer in time".to_string() }));
                }
                Ok(answer) => return Ok((addr, answer)),
                Err(e) => {
                    last = Some(e.context(addr.to_string()));
                    break;
                }
            }
        }
    }
    Err(last.unwrap_or_else(|| anyhow::anyhow!("nobody to ask")))
}

/// An operator's command, by an id.
pub fn operate(member: &str, id: Option<u64>, what: impl Fn(u64) -> Request) -> Result<u8> {
    let id = id.unwrap_or_else(new_id);
    match settled(member, &what(id))? {
        (_, Response::Done) => Ok(0),
        (addr, Response::Refused { reason: why }) => bail!("{addr}: {why}"),
        (addr, Response::Unknown { reason: why }) => {
            eprintln!("lynxstair: {addr}: unknown whether it is done: {why}; ask again with --id {id}");
            Ok(1)
        }
        (addr, _) => bail!("{addr}: an answer to something else"),
    }
}

fn found(member: &str) -> Result<Shown> {
    let (by, answer) = settled(member, &Request::Owners { id: new_id() })?;
    let heard = match ask(by, &Request::LocalRoles) {
        Ok(Response::LocalRoles { duties, .. }) => duties,
        _ => Vec::new(),
    };
    let shown = Shown { duties: None, voters: None, leader: None, unknown: None, by, heard };
    match answer {
        Response::Owners { duties, voters, leader } => {
            Ok(Shown { duties: Some(duties), voters: Some(voters), leader: Some(leader), ..shown })
        }
        Response::Unknown { reason: why } => Ok(Shown { unknown: Some(why), ..shown }),
        Response::Refused { reason: why } => bail!("{by}: {why}"),
        _ => bail!("{by}: an answer to something else"),
    }
}

fn ago(unix_ms: u64) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
    format!("{:.1} s", now.saturating_sub(unix_ms) as f64 / 1e3)
}

pub fn show(member: &str, json: bool) -> Result<u8> {
    let shown = found(member)?;
    if json {
        println!("{}", serde_json::to_string(&shown)?);
        return Ok(u8::from(shown.unknown.is_some()));
    }
    let mut table = Table::new();
    table.load_preset(presets::UTF8_HORIZONTAL_ONLY);
    table.set_header(["duty", "owner", "epoch", "since (by the clock of)", "asked member heard"]);
    let mut names: Vec<String> = shown.heard.iter().map(|h| h.duty.clone()).collect();
    names.extend(shown.duties.iter().flatten().map(|d| d.duty.clone()));
    names.sort();
    names.dedup();
    for name in names {
        let held = shown.duties.iter().flatten().find(|d| d.duty == name);
        let heard = shown.heard.iter().find(|h| h.duty == name).map_or("nothing".to_string(), |h| {
            let who = h.owner.as_deref().unwrap_or("nobody");
            match h.last_received_ms_ago {
                Some(ms) => format!("{who} in epoch {}, {:.1} s ago", h.epoch.0, ms as f64 / 1e3),
                None => "nothing".to_string(),
            }
        });
        let cells = match (held, &shown.unknown) {
            (Some(h), _) => [
                name,
                h.owner.clone().unwrap_or_else(|| "nobody".to_string()),
                h.epoch.0.to_string(),
                format!("{} ({})", ago(h.since_unix_ms), h.granted_by),
                heard,
            ],
            (None, None) => [name, "nobody yet".to_string(), "0".to_string(), String::new(), heard],
            (None, Some(_)) => [name, "unknown".to_string(), "unknown".to_string(), String::new(), heard],
        };
        table.add_row(cells);
    }
    match (&shown.unknown, &shown.leader) {
        (Some(why), _) => println!("{table}\nunknown: no majority of the voters was reached ({why})"),
        (None, leader) => {
            println!("{table}\nas a majority has it, told by {}", leader.as_deref().unwrap_or(""))
        }
    }
    Ok(u8::from(shown.unknown.is_some()))
}

/// What each voter says of itself, where it could be asked.
pub fn voters(member: &str, json: bool) -> Result<u8> {
    let shown = found(member)?;
    let mut says: BTreeMap<String, Result<(VoterView, Option<String>), String>> = BTreeMap::new();
    for voter in shown.voters.iter().flatten() {
        let answer = match ask(voter.addr, &Request::LocalRoles) {
            Ok(Response::LocalRoles { voter, disk_error: disk, .. }) => Ok((voter, disk)),
            Ok(_) => Err("an answer to something else".to_string()),
            Err(e) => Err(format!("{e:#}")),
        };
        says.insert(voter.name.clone(), answer);
    }
    if json {
        #[derive(Serialize)]
        struct Said<'a> {
            voters: &'a Option<Vec<VoterStatus>>,
            leader: &'a Option<String>,
            unknown: &'a Option<String>,
            says: BTreeMap<&'a str, Option<&'a VoterView>>,
        }
        let says = says.iter().map(|(n, s)| (n.as_str(), s.as_ref().ok().map(|(v, _)| v))).collect();
        let (voters, leader, unknown) = (&shown.voters, &shown.leader, &shown.unknown);
        println!("{}", serde_json::to_string(&Said { voters, leader, unknown, says })?);
        return Ok(u8::from(shown.unknown.is_some()));
    }
    let mut table = Table::new();
    table.load_preset(presets::UTF8_HORIZONTAL_ONLY);
    table.set_header(["voter", "address", "identity", "says of itself"]);
    for voter in shown.voters.iter().flatten() {
        let said = match &says[&voter.name] {
            Ok((view, _)) if view.id.0 != voter.id => {
                format!("{:?}, as another identity: {}", view.phase, view.reason)
            }
            Ok((view, disk)) => {
                let leads = if shown.leader.as_ref() == Some(&voter.name) { ", leads" } else { "" };
                let disk = disk.as_ref().map_or(String::new(), |d| format!("; {d}"));
                format!("{:?} in term {}{leads}{disk}", view.phase, view.term)
            }
            Err(why) => format!("unknown ({why})"),
        };
        table.add_row([voter.name.clone(), voter.addr.to_string(), format!("{:016x}", voter.id), said]);
    }
    match &shown.unknown {
        Some(why) => println!("{table}\nunknown: no majority of the voters was reached ({why})"),
        None => println!("{table}"),
    }
    Ok(u8::from(shown.unknown.is_some()))
}
