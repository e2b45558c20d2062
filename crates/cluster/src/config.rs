//! The fleet file (TOML) and its validation. An error names the file, the line, the key and the valid
//! values.

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

/// Zone of a member whose fleet file names none.
const DEFAULT_ZONE: &str = "hall";

/// Names of all duties.
pub const DUTIES: [&str; 1] = [crate::exporter::DUTY];

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Fault injection for trials. All of it is off in production.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TrialSwitches {
    /// Safeguards of membership that are disabled, to check that a trial detects the resulting faults.
    #[serde(rename = "broken")]
    pub disabled_membership_parts: DisabledParts,
    /// Safeguards of leases and of the voters that are disabled.
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

/// A validated fleet file.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the fleet; datagrams of other fleets are ignored.
    pub fleet: Name,
    /// Name of this member.
    pub name: Name,
    /// Zone of this member.
    pub zone: Name,
    /// Address of the datagram socket.
    pub bind: SocketAddrV4,
    /// Address that other members send datagrams to.
    pub advertise: SocketAddrV4,
    /// TCP address of the control port.
    pub control: SocketAddrV4,
    /// Members that this one sends join requests to.
    pub seeds: Vec<SocketAddrV4>,
    /// Data directory of the member.
    pub data: PathBuf,
    /// History file, for trials; `None` disables it.
    pub history: Option<PathBuf>,
    /// Format of log lines.
    pub log: LogFormat,
    /// Seed of the random choices of membership, leases and export, for trials; `None` for a random seed.
    pub seed: Option<u64>,
    /// Intervals and time-outs of membership.
    pub times: Times,
    /// Voters and duties; `None` if the file names no voters.
    pub duties: Option<DutyConfig>,
    /// Address of the usage sink; `None` if usage is neither recorded nor exported.
    pub sink: Option<SocketAddrV4>,
    /// Fault injection for trials.
    pub trial: TrialSwitches,
}

/// Voters and duties of a fleet file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyConfig {
    /// Name and address of each initial voter.
    pub voters: Vec<(String, SocketAddrV4)>,
    /// The duties that this member claims.
    pub duties: Vec<String>,
    /// Intervals and time-outs of leases and elections.
    pub times: lynxstair_leases::Times,
}

impl Config {
    /// Reads and validates a fleet file. Relative paths in it are resolved against its directory.
    ///
    /// # Errors
    /// If the file can't be read or is invalid.
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
                    format!("missing, and others can't reach {bind}; set an address of this machine");
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
            let reason = "requires voters; without them the duty export has no owner".to_string();
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
