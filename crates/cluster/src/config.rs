//! The fleet file: TOML, read whole and checked before anything is opened. An error names file, line, key and
//! what would be right.

use std::fmt;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

use lynxstair::types::Span;
use lynxstair_membership::{Broken, Name, Times};
use serde::Deserialize;
use toml::Spanned;

/// Why a fleet file can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Invalid {
    pub file: PathBuf,
    /// From 1 on; none where the file could not be read at all.
    pub line: Option<usize>,
    pub key: Option<String>,
    pub why: String,
}

impl Invalid {
    /// At a place in a file's text, in bytes.
    pub fn at(file: &Path, text: &str, at: usize, key: Option<&str>, why: impl Into<String>) -> Self {
        let line = 1 + text.as_bytes()[..at.min(text.len())].iter().filter(|b| **b == b'\n').count();
        let (file, key) = (file.to_path_buf(), key.map(str::to_string));
        Invalid { file, line: Some(line), key, why: why.into() }
    }

    /// The file could not be read.
    pub fn unread(file: &Path, e: &std::io::Error) -> Self {
        Invalid { file: file.to_path_buf(), line: None, key: None, why: e.to_string() }
    }

    /// What TOML itself says.
    pub fn toml(file: &Path, text: &str, e: &toml::de::Error) -> Self {
        Invalid::at(file, text, e.span().map_or(0, |s| s.start), None, e.message())
    }

    /// A number that is not within its bounds.
    ///
    /// # Errors
    /// Where it is not.
    pub fn unless_within<T: PartialOrd + Copy + fmt::Display>(
        (file, text): (&Path, &str),
        key: &str,
        value: &Spanned<T>,
        (least, most): (T, T),
    ) -> Result<T, Self> {
        let n = *value.get_ref();
        if n >= least && n <= most {
            return Ok(n);
        }
        let why = format!("{n} is not within {least} to {most}");
        Err(Invalid::at(file, text, value.span().start, Some(key), why))
    }
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if let Some(key) = &self.key {
            write!(f, ": {key}")?;
        }
        write!(f, ": {}", self.why)
    }
}

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogForm {
    #[default]
    Text,
    Json,
}

/// For trials only; never set in service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TrialSwitches {
    /// Parts that are taken out, to show that trials miss them.
    pub broken: Broken,
    /// The same of ownership.
    pub broken_ownership: lynxstair_leases::Broken,
    /// While this file exists, writing records fails as on a full disk.
    pub disk_full_while: Option<PathBuf>,
    /// The owner of the duty export waits so many milliseconds between its check and its write.
    pub stall_ms: u64,
    /// It is killed when the process of this number, which started it, ends, however that ends.
    pub ends_with_parent: Option<i32>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    fleet: Spanned<String>,
    name: Spanned<String>,
    #[serde(default)]
    hall: Option<Spanned<String>>,
    bind: Spanned<String>,
    #[serde(default)]
    advertise: Option<Spanned<String>>,
    #[serde(default)]
    control: Option<Spanned<String>>,
    #[serde(default)]
    seeds: Vec<Spanned<String>>,
    data: PathBuf,
    #[serde(default)]
    history: Option<PathBuf>,
    #[serde(default)]
    log: LogForm,
    #[serde(default)]
    seed: Option<u64>,
    #[serde(default)]
    voters: Vec<VoterText>,
    #[serde(default)]
    ownership: OwnershipText,
    #[serde(default)]
    export: Option<ExportText>,
    #[serde(default)]
    times: TimesFile,
    #[serde(default)]
    trial: TrialSwitches,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct VoterText {
    name: Spanned<String>,
    addr: Spanned<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ExportText {
    sink: Spanned<String>,
}

/// Times in milliseconds.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct OwnershipText {
    duties: Option<Vec<Spanned<String>>>,
    tick_ms: Option<Spanned<u64>>,
    lease_ms: Option<Spanned<u64>>,
    renew_ms: Option<Spanned<u64>>,
    stand_ms: Option<Spanned<u64>>,
}

/// Milliseconds.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct TimesFile {
    probe_ms: Option<Spanned<u64>>,
    answer_ms: Option<Spanned<u64>>,
    suspicion_ms: Option<Spanned<u64>>,
    gossip_ms: Option<Spanned<u64>>,
    late_ms: Option<Spanned<u64>>,
    quiet_ms: Option<Spanned<u64>>,
    join_ms: Option<Spanned<u64>>,
    exchange_ms: Option<Spanned<u64>>,
    most_members: Option<Spanned<u64>>,
}

/// A fleet file as read and checked.
#[derive(Clone, Debug)]
pub struct Config {
    pub fleet: Name,
    pub name: Name,
    pub hall: Name,
    /// Datagrams among members come here.
    pub bind: SocketAddrV4,
    /// Where others reach it.
    pub advertise: SocketAddrV4,
    /// Operators connect here, over TCP.
    pub control: SocketAddrV4,
    pub seeds: Vec<SocketAddrV4>,
    pub data: PathBuf,
    pub history: Option<PathBuf>,
    pub log: LogForm,
    /// Fixes all chance, for trials; none: drawn.
    pub seed: Option<u64>,
    pub times: Times,
    /// Who keeps the record of owners; none: no duty has an owner in this fleet.
    pub ownership: Option<Ownership>,
    /// Where use is exported to; none: it is not, and no use is kept.
    pub sink: Option<SocketAddrV4>,
    pub trial: TrialSwitches,
}

/// The part of a fleet file that is about owners of duties.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ownership {
    pub voters: Vec<(String, SocketAddrV4)>,
    /// What this member stands for.
    pub duties: Vec<String>,
    pub times: lynxstair_leases::Times,
}

/// The duties that there are.
pub const DUTIES: [&str; 1] = [crate::exporter::DUTY];

struct Reader<'a> {
    file: &'a Path,
    text: &'a str,
}

impl Reader<'_> {
    fn invalid(&self, at: usize, key: &str, why: String) -> Invalid {
        Invalid::at(self.file, self.text, at, Some(key), why)
    }

    fn name(&self, key: &str, value: &Spanned<String>) -> Result<Name, Invalid> {
        Name::new(value.get_ref()).map_err(|e| self.invalid(value.span().start, key, e.to_string()))
    }

    fn addr(&self, key: &str, value: &Spanned<String>) -> Result<SocketAddrV4, Invalid> {
        let addr: SocketAddrV4 = value.get_ref().parse().map_err(|_| {
            let why = format!("{:?} is no address; one looks like \"127.0.0.1:7101\"", value.get_ref());
            self.invalid(value.span().start, key, why)
        })?;
        if addr.port() == 0 || addr.ip().is_unspecified() && key != "bind" && key != "control" {
            let why =
                format!("{addr} can't be reached by others; name an address and a port of this machine");
            return Err(self.invalid(value.span().start, key, why));
        }
        Ok(addr)
    }

    fn ownership(&self, file: &File) -> Result<Option<Ownership>, Invalid> {
        let text = &file.ownership;
        let mut voters: Vec<(String, SocketAddrV4)> = Vec::new();
        for voter in &file.voters {
            let name = self.name("voters.name", &voter.name)?.as_str().to_string();
            if voters.iter().any(|(n, _)| *n == name) {
                let why = format!("{name:?} is there twice");
                return Err(self.invalid(voter.name.span().start, "voters.name", why));
            }
            voters.push((name, self.addr("voters.addr", &voter.addr)?));
        }
        if !matches!(voters.len(), 0 | 1 | 3 | 5) {
            let why = format!("{} voters; three or five would be right (one bears no fault)", voters.len());
            return Err(self.invalid(file.voters[0].name.span().start, "voters", why));
        }
        let mut times = lynxstair_leases::Times::default();
        let all: [(&str, &Option<Spanned<u64>>, &mut Span, u64); 4] = [
            ("ownership.tick_ms", &text.tick_ms, &mut times.tick, 5),
            ("ownership.lease_ms", &text.lease_ms, &mut times.lease, 100),
            ("ownership.renew_ms", &text.renew_ms, &mut times.renew, 10),
            ("ownership.stand_ms", &text.stand_ms, &mut times.stand, 10),
        ];
        for (key, value, time, least) in all {
            if let Some(value) = value {
                let ms = Invalid::unless_within((self.file, self.text), key, value, (least, 60_000))?;
                *time = Span::from_millis(ms);
            }
        }
        if times.lease.nanos() < 3 * times.renew.nanos() {
            let at = text.lease_ms.as_ref().or(text.renew_ms.as_ref()).map_or(0, |v| v.span().start);
            let why = "must be at least three times ownership.renew_ms: two answers may be lost".to_string();
            return Err(self.invalid(at, "ownership.lease_ms", why));
        }
        let mut duties = Vec::new();
        for duty in text.duties.iter().flatten() {
            if !DUTIES.contains(&duty.get_ref().as_str()) {
                let why = format!("{:?} is no duty; {} are", duty.get_ref(), DUTIES.join(", "));
                return Err(self.invalid(duty.span().start, "ownership.duties", why));
            }
            duties.push(duty.get_ref().clone());
        }
        if text.duties.is_none() {
            duties = DUTIES.map(str::to_string).to_vec();
        }
        Ok((!voters.is_empty()).then_some(Ownership { voters, duties, times }))
    }

    fn times(&self, file: &TimesFile) -> Result<Times, Invalid> {
        let mut times = Times::default();
        let within = |key: &str, value: &Option<Spanned<u64>>, least: u64, most: u64| {
            let here = (self.file, self.text);
            value.as_ref().map(|v| Invalid::unless_within(here, key, v, (least, most))).transpose()
        };
        let all: [(&str, &Option<Spanned<u64>>, &mut Span); 8] = [
            ("times.probe_ms", &file.probe_ms, &mut times.probe),
            ("times.answer_ms", &file.answer_ms, &mut times.answer),
            ("times.suspicion_ms", &file.suspicion_ms, &mut times.suspicion),
            ("times.gossip_ms", &file.gossip_ms, &mut times.gossip),
            ("times.late_ms", &file.late_ms, &mut times.late),
            ("times.quiet_ms", &file.quiet_ms, &mut times.quiet),
            ("times.join_ms", &file.join_ms, &mut times.join),
            ("times.exchange_ms", &file.exchange_ms, &mut times.exchange),
        ];
        for (key, value, time) in all {
            if let Some(ms) = within(key, value, 10, 600_000)? {
                *time = Span::from_millis(ms);
            }
        }
        if let Some(most) = within("times.most_members", &file.most_members, 2, 100_000)? {
            times.most_members = most as usize;
        }
        if times.probe.nanos() < 2 * times.answer.nanos() {
            let at = file.probe_ms.as_ref().or(file.answer_ms.as_ref()).map_or(0, |v| v.span().start);
            let why = "must be at least twice times.answer_ms: others are asked in what is left".to_string();
            return Err(self.invalid(at, "times.probe_ms", why));
        }
        if times.quiet.nanos() < 2 * times.probe.nanos() {
            let at = file.quiet_ms.as_ref().or(file.probe_ms.as_ref()).map_or(0, |v| v.span().start);
            let why = "must be at least twice times.probe_ms: nobody may be heard for one".to_string();
            return Err(self.invalid(at, "times.quiet_ms", why));
        }
        Ok(times)
    }
}

impl Config {
    /// Reads a fleet file. Folders in it are relative to the file.
    ///
    /// # Errors
    /// Where it can't be read or holds what can't be used: file, line, key, and what would be right.
    pub fn read(file: &Path) -> Result<Self, Invalid> {
        let text = std::fs::read_to_string(file).map_err(|e| Invalid::unread(file, &e))?;
        Config::parse(file, &text)
    }

    fn parse(file: &Path, text: &str) -> Result<Self, Invalid> {
        let reader = Reader { file, text };
        let parsed: File = toml::from_str(text).map_err(|e| Invalid::toml(file, text, &e))?;
        let bind = reader.addr("bind", &parsed.bind)?;
        let advertise = match &parsed.advertise {
            Some(addr) => reader.addr("advertise", addr)?,
            None if bind.ip().is_unspecified() => {
                let why = format!("missing, and others can't reach {bind}; name an address of this machine");
                return Err(reader.invalid(parsed.bind.span().start, "advertise", why));
            }
            None => bind,
        };
        let control = parsed.control.as_ref().map_or(Ok(bind), |addr| reader.addr("control", addr))?;
        let seeds = parsed.seeds.iter().map(|s| reader.addr("seeds", s)).collect::<Result<_, _>>()?;
        let hall = match &parsed.hall {
            Some(hall) => reader.name("hall", hall)?,
            None => Name::new("hall").map_err(|e| reader.invalid(0, "hall", e.to_string()))?,
        };
        let folder = file.parent().unwrap_or(Path::new("."));
        let ownership = reader.ownership(&parsed)?;
        let sink = parsed.export.as_ref().map(|e| reader.addr("export.sink", &e.sink)).transpose()?;
        if let (Some(export), None) = (&parsed.export, &ownership) {
            let why = "needs voters: without them nobody owns the duty export".to_string();
            return Err(reader.invalid(export.sink.span().start, "export.sink", why));
        }
        Ok(Config {
            sink,
            ownership,
            fleet: reader.name("fleet", &parsed.fleet)?,
            name: reader.name("name", &parsed.name)?,
            hall,
            bind,
            advertise,
            control,
            seeds,
            data: folder.join(&parsed.data),
            history: parsed.history.map(|h| folder.join(h)),
            log: parsed.log,
            seed: parsed.seed,
            times: reader.times(&parsed.times)?,
            trial: TrialSwitches {
                disk_full_while: parsed.trial.disk_full_while.map(|p| folder.join(p)),
                ..parsed.trial
            },
        })
    }
}

#[cfg(test)]
mod tests;
