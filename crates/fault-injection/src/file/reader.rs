//! Reads and validates a trial file.

use std::collections::BTreeSet;
use std::path::Path;

use lynxstair_cluster::{ConfigError, DUTIES};
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use toml::{Spanned, Value};

use super::*;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileText {
    #[serde(default)]
    name: Option<String>,
    seconds: Spanned<f64>,
    gatekeepers: Spanned<i64>,
    #[serde(default)]
    halls: Option<Spanned<i64>>,
    #[serde(default)]
    voters: Option<Spanned<i64>>,
    #[serde(default)]
    seed: Option<Spanned<i64>>,
    #[serde(default)]
    load: Option<LoadText>,
    #[serde(default)]
    fault: Vec<Spanned<FaultText>>,
    #[serde(default)]
    must: MustText,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LoadText {
    invocations_per_second: Spanned<f64>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct MustText {
    agree_within: Option<Spanned<f64>>,
    never_failed: Option<Spanned<Value>>,
    seen_failed: Option<Spanned<Value>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FaultText {
    at: Spanned<f64>,
    kind: Spanned<String>,
    #[serde(default)]
    lasts: Option<Spanned<f64>>,
    #[serde(default)]
    who: Option<Spanned<Value>>,
    #[serde(default)]
    from: Option<Spanned<Value>>,
    #[serde(default)]
    to: Option<Spanned<Value>>,
    #[serde(default)]
    both: Option<Spanned<bool>>,
    #[serde(default)]
    share: Option<Spanned<f64>>,
    #[serde(default)]
    ms: Option<Spanned<f64>>,
    #[serde(default)]
    jitter_ms: Option<Spanned<f64>>,
    #[serde(default)]
    period: Option<Spanned<f64>>,
    #[serde(default)]
    restart_after: Option<Spanned<f64>>,
    #[serde(default)]
    disk: Option<Spanned<String>>,
}

struct Reader<'a> {
    file: &'a Path,
    text: &'a str,
    gatekeepers: usize,
    zones: usize,
    voters: Option<usize>,
    rng: Pcg64Mcg,
}

impl Reader<'_> {
    fn invalid(&self, at: usize, key: &str, why: impl Into<String>) -> ConfigError {
        ConfigError::at(self.file, self.text, at, Some(key), why)
    }

    fn in_range<T: PartialOrd + Copy + std::fmt::Display>(
        &self,
        key: &str,
        value: &Spanned<T>,
        least: T,
        most: T,
    ) -> Result<T, ConfigError> {
        ConfigError::check_range((self.file, self.text), key, value, (least, most))
    }

    fn parse_target(&mut self, at: usize, key: &str, word: &str) -> Result<Vec<usize>, ConfigError> {
        let all: Vec<usize> = (0..self.gatekeepers).collect();
        let number = |text: &str| text.parse::<usize>().ok().filter(|n| *n >= 1);
        if let Some(n) = word.strip_prefix('g').and_then(number).filter(|n| *n <= self.gatekeepers) {
            return Ok(vec![n - 1]);
        }
        if let Some(rest) = word.strip_prefix("hall:") {
            let zone = number(rest).filter(|h| *h <= self.zones).ok_or_else(|| {
                self.invalid(
                    at,
                    key,
                    format!("{word:?} is not a zone of this trial; hall:1 to hall:{} are", self.zones),
                )
            })?;
            return Ok(all.into_iter().filter(|n| n % self.zones == zone - 1).collect());
        }
        if let Some(rest) = word.strip_prefix("any:") {
            let count = number(rest).filter(|n| *n <= self.gatekeepers).ok_or_else(|| {
                self.invalid(
                    at,
                    key,
                    format!("{word:?} is out of range; any:1 to any:{} are valid", self.gatekeepers),
                )
            })?;
            let mut sampled: Vec<_> = all.sample(&mut self.rng, count).copied().collect();
            sampled.sort_unstable();
            return Ok(sampled);
        }
        if word == "voters" {
            let voters = self.voters.ok_or_else(|| {
                self.invalid(at, key, "\"voters\" requires the key voters, with the value 1, 3 or 5")
            })?;
            return Ok((0..voters).collect());
        }
        if let Some(duty) = word.strip_prefix("owner:") {
            if self.voters.is_none() || !allows_owner(key) {
                let why = match self.voters {
                    None => format!("{word:?} requires the key voters; without voters no duty has an owner"),
                    Some(_) => format!(
                        "{word:?} is not valid here, as the owner is not known in advance; name gatekeepers"
                    ),
                };
                return Err(self.invalid(at, key, why));
            }
            let number = DUTIES.iter().position(|d| *d == duty).ok_or_else(|| {
                self.invalid(
                    at,
                    key,
                    format!("{word:?} names no known duty; known duties: {}", DUTIES.join(", ")),
                )
            })?;
            return Ok(vec![OWNER_PLACEHOLDER + number]);
        }
        let why = format!(
            "{word:?} names no gatekeeper; g1 to g{}, \"hall:1\", \"any:2\" or \"voters\" are valid",
            self.gatekeepers
        );
        Err(self.invalid(at, key, why))
    }

    fn parse_targets(&mut self, key: &str, value: &Spanned<Value>) -> Result<Vec<usize>, ConfigError> {
        let at = value.span().start;
        let words: Vec<&str> = match value.get_ref() {
            Value::String(word) => vec![word],
            Value::Array(words) if words.iter().all(Value::is_str) => {
                words.iter().filter_map(Value::as_str).collect()
            }
            _ => return Err(self.invalid(at, key, "expected a name or a list of names, such as [\"g2\"]")),
        };
        let mut all = BTreeSet::new();
        for word in words {
            all.extend(self.parse_target(at, key, word)?);
        }
        Ok(all.into_iter().collect())
    }

    fn parse_links(&mut self, fault: &FaultText, needed: bool) -> Result<Links, ConfigError> {
        if needed && fault.from.is_none() && fault.to.is_none() {
            let why = "missing; cut and flap require from, to, or both of them";
            return Err(self.invalid(fault.kind.span().start, "from", why));
        }
        let all: Vec<usize> = (0..self.gatekeepers).collect();
        let from = fault.from.as_ref().map_or(Ok(all.clone()), |v| self.parse_targets("from", v))?;
        let to = fault.to.as_ref().map_or(Ok(all), |v| self.parse_targets("to", v))?;
        let both = fault.both.as_ref().is_some_and(|b| *b.get_ref());
        let mut links = BTreeSet::new();
        for &a in &from {
            for &b in to.iter().filter(|b| **b != a) {
                links.insert((a, b));
                if both {
                    links.insert((b, a));
                }
            }
        }
        Ok(Links(links))
    }

    /// Returns the keys that a kind takes besides `at` and `kind`, or an error if the kind is unknown or the
    /// fault has another key.
    fn check_keys(&self, text: &FaultText, kind: &str) -> Result<&'static [&'static str], ConfigError> {
        let keys: &'static [&'static str] = match kind {
            "pause" | "disk_full" => &["lasts", "who"],
            "kill" => &["who", "restart_after", "disk"],
            "stop" => &["who", "restart_after"],
            "cut" => &["lasts", "from", "to", "both"],
            "lose" | "double" | "reorder" => &["lasts", "from", "to", "both", "share"],
            "delay" => &["lasts", "from", "to", "both", "ms", "jitter_ms"],
            "flap" => &["lasts", "from", "to", "both", "period"],
            _ => {
                let why = format!(
                    "{kind:?} is not a known fault kind; known kinds: pause, kill, stop, cut, lose, double, \
                     reorder, delay, disk_full, flap"
                );
                return Err(self.invalid(text.kind.span().start, "fault.kind", why));
            }
        };
        let given = [
            ("lasts", text.lasts.as_ref().map(Spanned::span)),
            ("who", text.who.as_ref().map(Spanned::span)),
            ("from", text.from.as_ref().map(Spanned::span)),
            ("to", text.to.as_ref().map(Spanned::span)),
            ("both", text.both.as_ref().map(Spanned::span)),
            ("share", text.share.as_ref().map(Spanned::span)),
            ("ms", text.ms.as_ref().map(Spanned::span)),
            ("jitter_ms", text.jitter_ms.as_ref().map(Spanned::span)),
            ("period", text.period.as_ref().map(Spanned::span)),
            ("restart_after", text.restart_after.as_ref().map(Spanned::span)),
            ("disk", text.disk.as_ref().map(Spanned::span)),
        ];
        for (key, span) in given {
            if let Some(span) = span
                && !keys.contains(&key)
            {
                let why = format!("{kind} does not take this key; its keys are at, {}", keys.join(", "));
                return Err(self.invalid(span.start, key, why));
            }
        }
        Ok(keys)
    }

    fn parse_disk(&self, text: &FaultText) -> Result<DiskState, ConfigError> {
        Ok(match text.disk.as_ref().map(|d| (d.get_ref().as_str(), d.span().start)) {
            None | Some(("kept", _)) => DiskState::Intact,
            Some(("emptied", _)) => DiskState::Emptied,
            Some(("torn", _)) => DiskState::Torn,
            Some((other, at)) => {
                let why =
                    format!("{other:?} is not a disk state; \"kept\", \"emptied\" and \"torn\" are valid");
                return Err(self.invalid(at, "disk", why));
            }
        })
    }

    fn parse_fault(
        &mut self,
        text: &FaultText,
        at: usize,
        trial_duration_s: f64,
    ) -> Result<Fault, ConfigError> {
        let kind = text.kind.get_ref().as_str();
        let keys = self.check_keys(text, kind)?;
        let start = self.in_range("at", &text.at, 0.0, trial_duration_s)?;
        let optional_seconds = |key: &str, value: &Option<Spanned<f64>>| {
            value.as_ref().map(|v| self.in_range(key, v, 0.0, MAX_SECONDS)).transpose()
        };
        let duration_s = optional_seconds("lasts", &text.lasts)?;
        let restart_after_s = optional_seconds("restart_after", &text.restart_after)?;
        let missing = |key: &str| self.invalid(at, key, format!("missing; {kind} requires it"));
        let share = || {
            let share = text.share.as_ref().ok_or_else(|| missing("share"))?;
            self.in_range("share", share, 0.0, 1.0)
        };
        let period = || {
            let period = text.period.as_ref().ok_or_else(|| missing("period"))?;
            self.in_range("period", period, 0.01, MAX_SECONDS)
        };
        let ms = || {
            let ms = text.ms.as_ref().ok_or_else(|| missing("ms"))?;
            let jitter = text.jitter_ms.as_ref().map(|j| self.in_range("jitter_ms", j, 0.0, 60_000.0));
            Ok((self.in_range("ms", ms, 0.0, 60_000.0)?, jitter.transpose()?.unwrap_or_default()))
        };
        let disk = self.parse_disk(text)?;
        // Values are validated before targets are drawn.
        let (probability, period_s, delay) = match kind {
            "lose" | "double" | "reorder" => (share()?, 0.0, (0.0, 0.0)),
            "flap" => (0.0, period()?, (0.0, 0.0)),
            "delay" => (0.0, 0.0, ms()?),
            _ => (0.0, 0.0, (0.0, 0.0)),
        };
        let targets = match &text.who {
            Some(targets) => self.parse_targets("who", targets)?,
            None if keys.contains(&"who") => return Err(missing("who")),
            None => Vec::new(),
        };
        let kind = match kind {
            "pause" => FaultKind::Pause { targets },
            "disk_full" => FaultKind::DiskFull { targets },
            "kill" => FaultKind::Kill { targets, restart_after_s, disk },
            "stop" => FaultKind::Stop { targets, restart_after_s },
            "cut" => FaultKind::Cut { links: self.parse_links(text, true)? },
            "lose" => FaultKind::Lose { links: self.parse_links(text, false)?, probability },
            "double" => FaultKind::Duplicate { links: self.parse_links(text, false)?, probability },
            "reorder" => FaultKind::Reorder { links: self.parse_links(text, false)?, probability },
            "delay" => FaultKind::Delay {
                links: self.parse_links(text, false)?,
                delay_ms: delay.0,
                jitter_ms: delay.1,
            },
            _ => FaultKind::Flap { links: self.parse_links(text, true)?, period_s },
        };
        Ok(Fault { start_s: start, duration_s, kind })
    }
}

impl Trial {
    /// Reads a trial file. `seed` overrides the seed in the file.
    ///
    /// # Errors
    /// Returns an error that names the file if it can't be read, and also the line and key if it is invalid.
    pub fn read(file: &Path, seed: Option<u64>) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(file).map_err(|e| ConfigError::unreadable(file, &e))?;
        Trial::parse(file, &text, seed)
    }

    /// Parses the text of a trial file. `file` is used for the default name and in errors.
    ///
    /// # Errors
    /// Returns an error if the text is invalid, as [`Trial::read`] does.
    pub fn parse(file: &Path, text: &str, seed: Option<u64>) -> Result<Self, ConfigError> {
        let mut reader =
            Reader { file, text, gatekeepers: 0, zones: 1, voters: None, rng: Pcg64Mcg::seed_from_u64(0) };
        let parsed: FileText = toml::from_str(text).map_err(|e| ConfigError::from_toml(file, text, &e))?;
        let duration_s = reader.in_range("seconds", &parsed.seconds, 0.1, MAX_SECONDS)?;
        let most = MAX_GATEKEEPERS as i64;
        let total = reader.in_range("gatekeepers", &parsed.gatekeepers, 1, most)?;
        let zones = parsed.halls.as_ref().map(|h| reader.in_range("halls", h, 1, total)).transpose()?;
        let voters = parsed.voters.as_ref().map(|v| reader.in_range("voters", v, 1, total)).transpose()?;
        if let (Some(count), Some(at)) = (voters, &parsed.voters)
            && !matches!(count, 1 | 3 | 5)
        {
            let why = format!("{count} voters are not supported; use 3 or 5 (1 tolerates no failure)");
            return Err(reader.invalid(at.span().start, "voters", why));
        }
        let file_seed = parsed.seed.as_ref().map(|s| reader.in_range("seed", s, 0, i64::MAX)).transpose()?;
        let seed = seed.unwrap_or(file_seed.unwrap_or(1) as u64);
        reader.gatekeepers = total as usize;
        reader.zones = zones.unwrap_or(1) as usize;
        reader.voters = voters.map(|v| v as usize);
        reader.rng = Pcg64Mcg::seed_from_u64(seed);
        let load = match &parsed.load {
            Some(load) => {
                let per_second = reader.in_range(
                    "load.invocations_per_second",
                    &load.invocations_per_second,
                    0.1,
                    20_000.0,
                )?;
                Some(TrialLoad { requests_per_second: per_second })
            }
            None => None,
        };
        let mut faults = Vec::new();
        for fault in &parsed.fault {
            faults.push(reader.parse_fault(fault.get_ref(), fault.span().start, duration_s)?);
        }
        let must = &parsed.must;
        let agree = must.agree_within.as_ref();
        let agree = agree.map(|a| reader.in_range("must.agree_within", a, 0.0, MAX_SECONDS)).transpose()?;
        let mut names = |key: &str, value: &Option<Spanned<Value>>| {
            value.as_ref().map_or(Ok(Vec::new()), |v| reader.parse_targets(key, v))
        };
        let never_failed = names("must.never_failed", &must.never_failed)?;
        let seen_failed = names("must.seen_failed", &must.seen_failed)?;
        let stem = file.file_stem().map_or_else(String::new, |s| s.to_string_lossy().into_owned());
        Ok(Trial {
            name: parsed.name.unwrap_or(stem),
            duration_s,
            gatekeepers: reader.gatekeepers,
            zones: reader.zones,
            voters: reader.voters,
            seed,
            load,
            faults,
            expectations: Expectations {
                agree_within_s: agree.unwrap_or(DEFAULT_AGREE_WITHIN_S),
                never_failed,
                seen_failed,
            },
        })
    }
}
