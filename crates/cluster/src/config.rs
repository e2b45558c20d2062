//! The fleet file: TOML, read whole and checked before anything is opened. An error names file, line, key and
//! what would be right.

mod checks;
mod error;
mod file;

use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

use lynxstair_membership::{DisabledParts, Name, Times};
use serde::Deserialize;

use self::checks::Checker;
pub use self::error::ConfigError;
use self::file::FleetFile;

/// The zone of a member whose file names none.
const DEFAULT_ZONE: &str = "hall";

/// The duties that there are.
pub const DUTIES: [&str; 1] = [crate::exporter::DUTY];

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Fault injection for trials. All of it is off in production.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TrialSwitches {
    /// Safety mechanisms of membership that are disabled, to check that a trial detects their absence.
    #[serde(rename = "broken")]
    pub disabled_membership_parts: DisabledParts,
    /// Safety mechanisms of leases and of the voters that are disabled.
    #[serde(rename = "broken_ownership")]
    pub disabled_lease_parts: lynxstair_leases::DisabledParts,
    /// While this file exists, writes of records fail as on a full disk.
    pub disk_full_while: Option<PathBuf>,
    /// Pause of the exporter between its lease check and its write, in milliseconds.
    #[serde(rename = "stall_ms")]
    pub export_pause_ms: u64,
    /// Process id of the parent. The kernel kills this process when that parent ends.
    pub ends_with_parent: Option<i32>,
}

/// A fleet file as read and checked.
#[derive(Clone, Debug)]
pub struct Config {
    /// The fleet; members of another one are not heard.
    pub fleet: Name,
    /// This member.
    pub name: Name,
    /// Where this member stands: a zone fails as a whole.
    pub zone: Name,
    /// Datagrams among members come here.
    pub bind: SocketAddrV4,
    /// Where others reach it.
    pub advertise: SocketAddrV4,
    /// Operators connect here, over TCP.
    pub control: SocketAddrV4,
    /// Members that are asked to let this one in.
    pub seeds: Vec<SocketAddrV4>,
    /// The directory of the member's records.
    pub data: PathBuf,
    /// The history file, for trials.
    pub history: Option<PathBuf>,
    /// How log lines are written.
    pub log: LogFormat,
    /// Fixes all random choices, for trials; `None`: drawn.
    pub seed: Option<u64>,
    /// The times of membership.
    pub times: Times,
    /// Voters and duties; `None`: no duty has an owner in this fleet.
    pub duties: Option<DutyConfig>,
    /// Where usage is exported to; `None`: it is not, and none is recorded.
    pub sink: Option<SocketAddrV4>,
    /// What trials switch on.
    pub trial: TrialSwitches,
}

/// The part of a fleet file on duties.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyConfig {
    /// The voters, by name.
    pub voters: Vec<(String, SocketAddrV4)>,
    /// The duties that this member claims.
    pub duties: Vec<String>,
    /// The times of leases and elections.
    pub times: lynxstair_leases::Times,
}

impl Config {
    /// Reads a fleet file. Paths in it are relative to the file.
    ///
    /// # Errors
    /// The file can't be read or holds what can't be used.
    pub fn read(file: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(file).map_err(|e| ConfigError::unreadable(file, &e))?;
        Config::parse(file, &text)
    }

    fn parse(file: &Path, text: &str) -> Result<Self, ConfigError> {
        let checker = Checker { file, text };
        let parsed: FleetFile = toml::from_str(text).map_err(|e| ConfigError::from_toml(file, text, &e))?;
        let bind = checker.address("bind", &parsed.bind)?;
        let advertise = match &parsed.advertise {
            Some(addr) => checker.address("advertise", addr)?,
            None if bind.ip().is_unspecified() => {
                let reason =
                    format!("missing, and others can't reach {bind}; name an address of this machine");
                return Err(checker.error(parsed.bind.span().start, "advertise", reason));
            }
            None => bind,
        };
        let control = parsed.control.as_ref().map_or(Ok(bind), |addr| checker.address("control", addr))?;
        let seeds =
            parsed.seeds.iter().map(|seed| checker.address("seeds", seed)).collect::<Result<_, _>>()?;
        let zone = match &parsed.zone {
            Some(zone) => checker.name("hall", zone)?,
            None => Name::new(DEFAULT_ZONE).map_err(|e| checker.error(0, "hall", e.to_string()))?,
        };
        let duties = checker.duties(&parsed)?;
        let sink = parsed.export.as_ref().map(|e| checker.address("export.sink", &e.sink)).transpose()?;
        if let (Some(export), None) = (&parsed.export, &duties) {
            let reason = "needs voters: without them nobody owns the duty export".to_string();
            return Err(checker.error(export.sink.span().start, "export.sink", reason));
        }
        let directory = file.parent().unwrap_or(Path::new("."));
        Ok(Config {
            sink,
            duties,
            fleet: checker.name("fleet", &parsed.fleet)?,
            name: checker.name("name", &parsed.name)?,
            zone,
            bind,
            advertise,
            control,
            seeds,
            data: directory.join(&parsed.data),
            history: parsed.history.map(|path| directory.join(path)),
            log: parsed.log,
            seed: parsed.seed,
            times: checker.membership_times(&parsed.times)?,
            trial: TrialSwitches {
                disk_full_while: parsed.trial.disk_full_while.map(|path| directory.join(path)),
                ..parsed.trial
            },
        })
    }
}

#[cfg(test)]
mod tests;
