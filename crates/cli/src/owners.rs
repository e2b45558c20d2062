//! `lynxstair fleet owners`, `hand-over`, `depose` and `voters`: owners of duties as confirmed by a majority
//! of the voters. Without a majority the owners are `unknown`.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::{Result, bail};
use comfy_table::{Table, presets};
use lynxstair_cluster::protocol::{DutyStatus, Request, Response, VoterStatus};
use lynxstair_leases::{DutyView, VoterView};
use serde::Serialize;

use crate::ask::{addresses, send_request};

/// Time for which a pending request is repeated. Longer than the 5 s for which the member retries it at the
/// voters.
const PENDING_TIMEOUT: Duration = Duration::from_millis(7_000);
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Owners and voters as reported by one member.
#[derive(Serialize)]
struct OwnersReport {
    /// `None` if no majority of the voters was reached.
    duties: Option<Vec<DutyStatus>>,
    voters: Option<Vec<VoterStatus>>,
    leader: Option<String>,
    /// Reason if no majority was reached.
    #[serde(rename = "unknown")]
    unknown_reason: Option<String>,
    /// Address of the queried member.
    #[serde(rename = "by")]
    queried_addr: SocketAddrV4,
    /// View of each duty by the queried member; may be outdated.
    #[serde(rename = "heard")]
    local_duties: Vec<DutyView>,
}

fn new_id() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as u64);
    now ^ u64::from(std::process::id()) << 48
}

/// Sends the request to the first reachable member, and repeats it while the response is pending.
fn request_until_settled(member: &str, request: &Request) -> Result<(SocketAddrV4, Response)> {
    let mut last_error = None;
    for addr in addresses(member)? {
        let start = Instant::now();
        loop {
            match send_request(addr, request) {
                Ok(Response::Pending) if start.elapsed() < PENDING_TIMEOUT => thread::sleep(RETRY_DELAY),
                Ok(Response::Pending) => {
                    return Ok((addr, Response::Unknown { reason: "no answer in time".to_string() }));
                }
                Ok(answer) => return Ok((addr, answer)),
                Err(e) => {
                    last_error = Some(e.context(addr.to_string()));
                    break;
                }
            }
        }
    }
    Err(last_error.unwrap_or_else(|| anyhow::anyhow!("no address to query")))
}

/// Runs an operator's command. `id` is its idempotency key; `None` draws a new one.
pub fn run_command(member: &str, id: Option<u64>, command: impl Fn(u64) -> Request) -> Result<u8> {
    let id = id.unwrap_or_else(new_id);
    match request_until_settled(member, &command(id))? {
        (_, Response::Done) => Ok(0),
        (addr, Response::Refused { reason }) => bail!("{addr}: {reason}"),
        (addr, Response::Unknown { reason }) => {
            eprintln!("lynxstair: {addr}: outcome unknown: {reason}; retry with --id {id}");
            Ok(1)
        }
        (addr, _) => bail!("{addr}: unexpected response type"),
    }
}

fn query_owners(member: &str) -> Result<OwnersReport> {
    let (queried_addr, response) = request_until_settled(member, &Request::Owners { id: new_id() })?;
    let local_duties = match send_request(queried_addr, &Request::LocalRoles) {
        Ok(Response::LocalRoles { duties, .. }) => duties,
        _ => Vec::new(),
    };
    let report = OwnersReport {
        duties: None,
        voters: None,
        leader: None,
        unknown_reason: None,
        queried_addr,
        local_duties,
    };
    match response {
        Response::Owners { duties, voters, leader } => {
            Ok(OwnersReport { duties: Some(duties), voters: Some(voters), leader: Some(leader), ..report })
        }
        Response::Unknown { reason } => Ok(OwnersReport { unknown_reason: Some(reason), ..report }),
        Response::Refused { reason } => bail!("{queried_addr}: {reason}"),
        _ => bail!("{queried_addr}: unexpected response type"),
    }
}

fn format_age(unix_ms: u64) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
    format!("{:.1} s", now.saturating_sub(unix_ms) as f64 / 1e3)
}

pub fn print_owners(member: &str, json: bool) -> Result<u8> {
    let report = query_owners(member)?;
    if json {
        println!("{}", serde_json::to_string(&report)?);
        return Ok(u8::from(report.unknown_reason.is_some()));
    }
    let mut table = Table::new();
    table.load_preset(presets::UTF8_HORIZONTAL_ONLY);
    table.set_header(["duty", "owner", "epoch", "since (by the clock of)", "asked member heard"]);
    let mut names: Vec<String> = report.local_duties.iter().map(|d| d.duty.clone()).collect();
    names.extend(report.duties.iter().flatten().map(|d| d.duty.clone()));
    names.sort();
    names.dedup();
    for name in names {
        let confirmed = report.duties.iter().flatten().find(|d| d.duty == name);
        let local = report.local_duties.iter().find(|d| d.duty == name).map_or("nothing".to_string(), |d| {
            let owner = d.owner.as_deref().unwrap_or("nobody");
            match d.last_received_ms_ago {
                Some(ms) => format!("{owner} in epoch {}, {:.1} s ago", d.epoch.0, ms as f64 / 1e3),
                None => "nothing".to_string(),
            }
        });
        let cells = match (confirmed, &report.unknown_reason) {
            (Some(d), _) => [
                name,
                d.owner.clone().unwrap_or_else(|| "nobody".to_string()),
                d.epoch.0.to_string(),
                format!("{} ({})", format_age(d.since_unix_ms), d.granted_by),
                local,
            ],
            (None, None) => [name, "nobody yet".to_string(), "0".to_string(), String::new(), local],
            (None, Some(_)) => [name, "unknown".to_string(), "unknown".to_string(), String::new(), local],
        };
        table.add_row(cells);
    }
    match (&report.unknown_reason, &report.leader) {
        (Some(reason), _) => println!("{table}\nunknown: no majority of the voters was reached ({reason})"),
        (None, leader) => {
            println!("{table}\nconfirmed by a majority, leader {}", leader.as_deref().unwrap_or(""))
        }
    }
    Ok(u8::from(report.unknown_reason.is_some()))
}

/// Prints the voters, each with the state that it reports of itself if it can be reached.
pub fn print_voters(member: &str, json: bool) -> Result<u8> {
    let report = query_owners(member)?;
    let mut self_reports: BTreeMap<String, Result<(VoterView, Option<String>), String>> = BTreeMap::new();
    for voter in report.voters.iter().flatten() {
        let answer = match send_request(voter.addr, &Request::LocalRoles) {
            Ok(Response::LocalRoles { voter, disk_error, .. }) => Ok((voter, disk_error)),
            Ok(_) => Err("unexpected response type".to_string()),
            Err(e) => Err(format!("{e:#}")),
        };
        self_reports.insert(voter.name.clone(), answer);
    }
    if json {
        #[derive(Serialize)]
        struct VotersReport<'a> {
            voters: &'a Option<Vec<VoterStatus>>,
            leader: &'a Option<String>,
            #[serde(rename = "unknown")]
            unknown_reason: &'a Option<String>,
            #[serde(rename = "says")]
            self_reports: BTreeMap<&'a str, Option<&'a VoterView>>,
        }
        let self_reports =
            self_reports.iter().map(|(n, s)| (n.as_str(), s.as_ref().ok().map(|(v, _)| v))).collect();
        let (voters, leader, unknown_reason) = (&report.voters, &report.leader, &report.unknown_reason);
        println!(
            "{}",
            serde_json::to_string(&VotersReport { voters, leader, unknown_reason, self_reports })?
        );
        return Ok(u8::from(report.unknown_reason.is_some()));
    }
    let mut table = Table::new();
    table.load_preset(presets::UTF8_HORIZONTAL_ONLY);
    table.set_header(["voter", "address", "identity", "says of itself"]);
    for voter in report.voters.iter().flatten() {
        let self_report = match &self_reports[&voter.name] {
            Ok((view, _)) if view.id.0 != voter.id => {
                format!("{:?} with another identity: {}", view.phase, view.reason)
            }
            Ok((view, disk_error)) => {
                let leads = if report.leader.as_ref() == Some(&voter.name) { ", leads" } else { "" };
                let disk_error = disk_error.as_ref().map_or(String::new(), |e| format!("; {e}"));
                format!("{:?} in term {}{leads}{disk_error}", view.phase, view.term)
            }
            Err(reason) => format!("unknown ({reason})"),
        };
        table.add_row([
            voter.name.clone(),
            voter.addr.to_string(),
            format!("{:016x}", voter.id),
            self_report,
        ]);
    }
    match &report.unknown_reason {
        Some(reason) => println!("{table}\nunknown: no majority of the voters was reached ({reason})"),
        None => println!("{table}"),
    }
    Ok(u8::from(report.unknown_reason.is_some()))
}
