//! Reads a trial file, and checks it whole.

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
    halls: usize,
    voters: Option<usize>,
    chance: Pcg64Mcg,
}

impl Reader<'_> {
    fn invalid(&self, at: usize, key: &str, why: impl Into<String>) -> ConfigError {
        ConfigError::at(self.file, self.text, at, Some(key), why)
    }

    fn within<T: PartialOrd + Copy + std::fmt::Display>(
        &self,
        key: &str,
        value: &Spanned<T>,
        least: T,
        most: T,
    ) -> Result<T, ConfigError> {
        ConfigError::check_range((self.file, self.text), key, value, (least, most))
    }

    fn one(&mut self, at: usize, key: &str, word: &str) -> Result<Vec<usize>, ConfigError> {
        let all: Vec<usize> = (0..self.gatekeepers).collect();
        let number = |text: &str| text.parse::<usize>().ok().filter(|n| *n >= 1);
        if let Some(n) = word.strip_prefix('g').and_then(number).filter(|n| *n <= self.gatekeepers) {
            return Ok(vec![n - 1]);
        }
        if let Some(rest) = word.strip_prefix("hall:") {
            let hall = number(rest).filter(|h| *h <= self.halls).ok_or_else(|| {
                self.invalid(at, key, format!("{word:?}: the halls are hall:1 to hall:{}", self.halls))
            })?;
            return Ok(all.into_iter().filter(|n| n % self.halls == hall - 1).collect());
        }
        if let Some(rest) = word.strip_prefix("any:") {
            let many = number(rest).filter(|n| *n <= self.gatekeepers).ok_or_else(|| {
                self.invalid(at, key, format!("{word:?}: any:1 to any:{} can be drawn", self.gatekeepers))
            })?;
            let mut drawn: Vec<_> = all.sample(&mut self.chance, many).copied().collect();
            drawn.sort_unstable();
            return Ok(drawn);
        }
        if word == "voters" {
            let voters = self.voters.ok_or_else(|| {
                self.invalid(at, key, "\"voters\" needs the key voters, 1 to the number of gatekeepers")
            })?;
            return Ok((0..voters).collect());
        }
        if let Some(duty) = word.strip_prefix("owner:") {
            if self.voters.is_none() || !key_may_be_owner(key) {
                let why = match self.voters {
                    None => format!("{word:?} needs the key voters: without them no duty has an owner"),
                    Some(_) => format!("{word:?}: who owns it then is not known beforehand; name them"),
                };
                return Err(self.invalid(at, key, why));
            }
            let number = DUTIES.iter().position(|d| *d == duty).ok_or_else(|| {
                self.invalid(at, key, format!("{word:?} is no duty; {} are", DUTIES.join(", ")))
            })?;
            return Ok(vec![OWNER + number]);
        }
        let why = format!(
            "{word:?} is nobody; g1 to g{}, \"hall:1\", \"any:2\" or \"voters\" would be",
            self.gatekeepers
        );
        Err(self.invalid(at, key, why))
    }

    fn who(&mut self, key: &str, value: &Spanned<Value>) -> Result<Vec<usize>, ConfigError> {
        let at = value.span().start;
        let words: Vec<&str> = match value.get_ref() {
            Value::String(word) => vec![word],
            Value::Array(words) if words.iter().all(Value::is_str) => {
                words.iter().filter_map(Value::as_str).collect()
            }
            _ => return Err(self.invalid(at, key, "names in a list would be right, as [\"g2\"]")),
        };
        let mut all = BTreeSet::new();
        for word in words {
            all.extend(self.one(at, key, word)?);
        }
        Ok(all.into_iter().collect())
    }

    fn links(&mut self, fault: &FaultText, needed: bool) -> Result<Links, ConfigError> {
        if needed && fault.from.is_none() && fault.to.is_none() {
            let why = "missing; cut and flap name from, to or both";
            return Err(self.invalid(fault.kind.span().start, "from", why));
        }
        let all: Vec<usize> = (0..self.gatekeepers).collect();
        let from = fault.from.as_ref().map_or(Ok(all.clone()), |v| self.who("from", v))?;
        let to = fault.to.as_ref().map_or(Ok(all), |v| self.who("to", v))?;
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

    /// The keys that a kind has besides `at` and `kind`; an error where another one is given.
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
                    "{kind:?} is no kind this build knows; pause, kill, stop, cut, lose, double, reorder, delay, \
                     disk_full and flap are"
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
                let why = format!("{kind} has no such key; at, {} are its keys", keys.join(", "));
                return Err(self.invalid(span.start, key, why));
            }
        }
        Ok(keys)
    }

    /// What the process finds on its disk.
    fn disk(&self, text: &FaultText) -> Result<Disk, ConfigError> {
        Ok(match text.disk.as_ref().map(|d| (d.get_ref().as_str(), d.span().start)) {
            None | Some(("kept", _)) => Disk::Kept,
            Some(("emptied", _)) => Disk::Emptied,
            Some(("torn", _)) => Disk::Torn,
            Some((other, at)) => {
                let why = format!("{other:?} is no state of a disk; \"kept\", \"emptied\" and \"torn\" are");
                return Err(self.invalid(at, "disk", why));
            }
        })
    }

    fn fault(&mut self, text: &FaultText, at: usize, seconds: f64) -> Result<Fault, ConfigError> {
        let kind = text.kind.get_ref().as_str();
        let keys = self.check_keys(text, kind)?;
        let begins = self.within("at", &text.at, 0.0, seconds)?;
        let positive = |key: &str, value: &Option<Spanned<f64>>| {
            value.as_ref().map(|v| self.within(key, v, 0.0, LONGEST_SECONDS)).transpose()
        };
        let lasts = positive("lasts", &text.lasts)?;
        let restart_after = positive("restart_after", &text.restart_after)?;
        let missing = |key: &str| self.invalid(at, key, format!("missing, and {kind} needs it"));
        let share = || {
            let share = text.share.as_ref().ok_or_else(|| missing("share"))?;
            self.within("share", share, 0.0, 1.0)
        };
        let period = || {
            let period = text.period.as_ref().ok_or_else(|| missing("period"))?;
            self.within("period", period, 0.01, LONGEST_SECONDS)
        };
        let ms = || {
            let ms = text.ms.as_ref().ok_or_else(|| missing("ms"))?;
            let jitter = text.jitter_ms.as_ref().map(|j| self.within("jitter_ms", j, 0.0, 60_000.0));
            Ok((self.within("ms", ms, 0.0, 60_000.0)?, jitter.transpose()?.unwrap_or_default()))
        };
        let disk = self.disk(text)?;
        // Checked before anything is drawn, so that what is drawn hangs on the seed alone.
        let (share, period, ms) = match kind {
            "lose" | "double" | "reorder" => (share()?, 0.0, (0.0, 0.0)),
            "flap" => (0.0, period()?, (0.0, 0.0)),
            "delay" => (0.0, 0.0, ms()?),
            _ => (0.0, 0.0, (0.0, 0.0)),
        };
        let who = match &text.who {
            Some(who) => self.who("who", who)?,
            None if keys.contains(&"who") => return Err(missing("who")),
            None => Vec::new(),
        };
        let kind = match kind {
            "pause" => Kind::Pause { who },
            "disk_full" => Kind::DiskFull { who },
            "kill" => Kind::Kill { who, restart_after, disk },
            "stop" => Kind::Stop { who, restart_after },
            "cut" => Kind::Cut { links: self.links(text, true)? },
            "lose" => Kind::Lose { links: self.links(text, false)?, share },
            "double" => Kind::Double { links: self.links(text, false)?, share },
            "reorder" => Kind::Reorder { links: self.links(text, false)?, share },
            "delay" => Kind::Delay { links: self.links(text, false)?, ms: ms.0, jitter_ms: ms.1 },
            _ => Kind::Flap { links: self.links(text, true)?, period },
        };
        Ok(Fault { at: begins, lasts, kind })
    }
}

impl Trial {
    /// Reads a trial file. `seed` takes the place of the one in it.
    ///
    /// # Errors
    /// Where it can't be read or played: file, line, key, and what would be right.
    pub fn read(file: &Path, seed: Option<u64>) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(file).map_err(|e| ConfigError::unreadable(file, &e))?;
        Trial::parse(file, &text, seed)
    }

    /// The same, of a text.
    ///
    /// # Errors
    /// As `read`.
    pub fn parse(file: &Path, text: &str, seed: Option<u64>) -> Result<Self, ConfigError> {
        let mut reader =
            Reader { file, text, gatekeepers: 0, halls: 1, voters: None, chance: Pcg64Mcg::seed_from_u64(0) };
        let parsed: FileText = toml::from_str(text).map_err(|e| ConfigError::from_toml(file, text, &e))?;
        let seconds = reader.within("seconds", &parsed.seconds, 0.1, LONGEST_SECONDS)?;
        let most = MOST_GATEKEEPERS as i64;
        let gatekeepers = reader.within("gatekeepers", &parsed.gatekeepers, 1, most)?;
        let halls = parsed.halls.as_ref().map(|h| reader.within("halls", h, 1, gatekeepers)).transpose()?;
        let voters =
            parsed.voters.as_ref().map(|v| reader.within("voters", v, 1, gatekeepers)).transpose()?;
        if let (Some(many), Some(at)) = (voters, &parsed.voters)
            && !matches!(many, 1 | 3 | 5)
        {
            let why = format!("{many}: three or five would be right (one bears no fault)");
            return Err(reader.invalid(at.span().start, "voters", why));
        }
        let file_seed = parsed.seed.as_ref().map(|s| reader.within("seed", s, 0, i64::MAX)).transpose()?;
        let seed = seed.unwrap_or(file_seed.unwrap_or(1) as u64);
        reader.gatekeepers = gatekeepers as usize;
        reader.halls = halls.unwrap_or(1) as usize;
        reader.voters = voters.map(|v| v as usize);
        reader.chance = Pcg64Mcg::seed_from_u64(seed);
        let load = match &parsed.load {
            Some(load) => {
                let per_second = reader.within(
                    "load.invocations_per_second",
                    &load.invocations_per_second,
                    0.1,
                    20_000.0,
                )?;
                Some(LoadPlan { invocations_per_second: per_second })
            }
            None => None,
        };
        let mut faults = Vec::new();
        for fault in &parsed.fault {
            faults.push(reader.fault(fault.get_ref(), fault.span().start, seconds)?);
        }
        let must = &parsed.must;
        let agree = must.agree_within.as_ref();
        let agree = agree.map(|a| reader.within("must.agree_within", a, 0.0, LONGEST_SECONDS)).transpose()?;
        let mut names = |key: &str, value: &Option<Spanned<Value>>| {
            value.as_ref().map_or(Ok(Vec::new()), |v| reader.who(key, v))
        };
        let never_failed = names("must.never_failed", &must.never_failed)?;
        let seen_failed = names("must.seen_failed", &must.seen_failed)?;
        let stem = file.file_stem().map_or_else(String::new, |s| s.to_string_lossy().into_owned());
        Ok(Trial {
            name: parsed.name.unwrap_or(stem),
            seconds,
            gatekeepers: reader.gatekeepers,
            halls: reader.halls,
            voters: reader.voters,
            seed,
            load,
            faults,
            must: Must { agree_within: agree.unwrap_or(AGREE_WITHIN), never_failed, seen_failed },
        })
    }
}
