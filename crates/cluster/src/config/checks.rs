//! Validation of the values in a fleet file. Errors name the key, its line and the valid values.

use std::net::SocketAddrV4;
use std::path::Path;

use lynxstair::types::Span;
use lynxstair_membership::{Name, Times};
use toml::Spanned;

use super::file::{FleetFile, TimesTable};
use super::{ConfigError, DUTIES, DutyConfig};

/// Valid range of membership intervals and time-outs, in milliseconds.
const MEMBERSHIP_MS_RANGE: (u64, u64) = (10, 600_000);
const MAX_MEMBERS_RANGE: (u64, u64) = (2, 100_000);
/// Maximum of duty intervals and time-outs, in milliseconds.
const MAX_DUTY_MS: u64 = 60_000;

/// Key of a duration, its value in milliseconds if set, and the field to assign.
type TimeSetting<'a> = (&'a str, &'a Option<Spanned<u64>>, &'a mut Span);

/// Path and text of the file, for errors.
pub(super) struct Checker<'a> {
    pub file: &'a Path,
    pub text: &'a str,
}

impl Checker<'_> {
    pub fn error(&self, offset: usize, key: &str, reason: String) -> ConfigError {
        ConfigError::at(self.file, self.text, offset, Some(key), reason)
    }

    pub fn name(&self, key: &str, value: &Spanned<String>) -> Result<Name, ConfigError> {
        Name::new(value.get_ref()).map_err(|e| self.error(value.span().start, key, e.to_string()))
    }

    pub fn address(&self, key: &str, value: &Spanned<String>) -> Result<SocketAddrV4, ConfigError> {
        let addr: SocketAddrV4 = value.get_ref().parse().map_err(|_| {
            let reason =
                format!("{:?} is not an address; expected, for example, \"127.0.0.1:7101\"", value.get_ref());
            self.error(value.span().start, key, reason)
        })?;
        let allows_unspecified = key == "bind" || key == "control";
        if addr.port() == 0 || addr.ip().is_unspecified() && !allows_unspecified {
            let reason = format!("{addr} can't be reached by others; set a specific address and port");
            return Err(self.error(value.span().start, key, reason));
        }
        Ok(addr)
    }

    /// Returns voters and duties; `None` if the file names no voters.
    pub fn duties(&self, file: &FleetFile) -> Result<Option<DutyConfig>, ConfigError> {
        let voters = self.voters(file)?;
        let times = self.duty_times(file)?;
        let duties = self.claimed_duties(file)?;
        Ok((!voters.is_empty()).then_some(DutyConfig { voters, duties, times }))
    }

    fn voters(&self, file: &FleetFile) -> Result<Vec<(String, SocketAddrV4)>, ConfigError> {
        let mut voters: Vec<(String, SocketAddrV4)> = Vec::new();
        for voter in &file.voters {
            let name = self.name("voters.name", &voter.name)?.as_str().to_string();
            if voters.iter().any(|(other, _)| *other == name) {
                let reason = format!("{name:?} is listed twice");
                return Err(self.error(voter.name.span().start, "voters.name", reason));
            }
            voters.push((name, self.address("voters.addr", &voter.addr)?));
        }
        if !matches!(voters.len(), 0 | 1 | 3 | 5) {
            let reason = format!("{} voters; use 3 or 5 (a single voter tolerates no failure)", voters.len());
            return Err(self.error(file.voters[0].name.span().start, "voters", reason));
        }
        Ok(voters)
    }

    fn duty_times(&self, file: &FleetFile) -> Result<lynxstair_leases::Times, ConfigError> {
        let table = &file.ownership;
        let mut times = lynxstair_leases::Times::default();
        let settings: [(TimeSetting, u64); 4] = [
            (("ownership.tick_ms", &table.tick_ms, &mut times.tick), 5),
            (("ownership.lease_ms", &table.lease_ms, &mut times.lease), 100),
            (("ownership.renew_ms", &table.renew_ms, &mut times.renew_interval), 10),
            (("ownership.stand_ms", &table.claim_ms, &mut times.claim_interval), 10),
        ];
        for (setting, min) in settings {
            self.set_time(setting, (min, MAX_DUTY_MS))?;
        }
        if times.lease.nanos() < 3 * times.renew_interval.nanos() {
            let offset = offset_of_first([&table.lease_ms, &table.renew_ms]);
            let reason = "must be at least three times ownership.renew_ms, so that two responses may be lost";
            return Err(self.error(offset, "ownership.lease_ms", reason.to_string()));
        }
        Ok(times)
    }

    /// Returns the duties that this member claims; all duties if the file names none.
    fn claimed_duties(&self, file: &FleetFile) -> Result<Vec<String>, ConfigError> {
        let Some(duties) = &file.ownership.duties else { return Ok(DUTIES.map(str::to_string).to_vec()) };
        for duty in duties {
            if !DUTIES.contains(&duty.get_ref().as_str()) {
                let reason =
                    format!("{:?} is not a duty; expected one of: {}", duty.get_ref(), DUTIES.join(", "));
                return Err(self.error(duty.span().start, "ownership.duties", reason));
            }
        }
        Ok(duties.iter().map(|duty| duty.get_ref().clone()).collect())
    }

    pub fn membership_times(&self, table: &TimesTable) -> Result<Times, ConfigError> {
        let mut times = Times::default();
        let settings: [TimeSetting; 8] = [
            ("times.probe_ms", &table.probe_ms, &mut times.probe_interval),
            ("times.answer_ms", &table.answer_ms, &mut times.probe_timeout),
            ("times.suspicion_ms", &table.suspicion_ms, &mut times.suspicion_timeout),
            ("times.gossip_ms", &table.gossip_ms, &mut times.gossip_interval),
            ("times.late_ms", &table.late_ms, &mut times.pause_threshold),
            ("times.quiet_ms", &table.quiet_ms, &mut times.isolation_threshold),
            ("times.join_ms", &table.join_ms, &mut times.join_interval),
            ("times.exchange_ms", &table.exchange_ms, &mut times.exchange_interval),
        ];
        for setting in settings {
            self.set_time(setting, MEMBERSHIP_MS_RANGE)?;
        }
        if let Some(max_members) = &table.most_members {
            let max_members = self.in_range("times.most_members", max_members, MAX_MEMBERS_RANGE)?;
            times.max_members = max_members as usize;
        }
        self.check_membership_times(&times, table)?;
        Ok(times)
    }

    fn check_membership_times(&self, times: &Times, table: &TimesTable) -> Result<(), ConfigError> {
        if times.probe_interval.nanos() < 2 * times.probe_timeout.nanos() {
            let offset = offset_of_first([&table.probe_ms, &table.answer_ms]);
            let reason = "must be at least twice times.answer_ms, to leave time for indirect probes";
            return Err(self.error(offset, "times.probe_ms", reason.to_string()));
        }
        if times.isolation_threshold.nanos() < 2 * times.probe_interval.nanos() {
            let offset = offset_of_first([&table.quiet_ms, &table.probe_ms]);
            let reason =
                "must be at least twice times.probe_ms, since one probe interval may pass without a message";
            return Err(self.error(offset, "times.quiet_ms", reason.to_string()));
        }
        Ok(())
    }

    /// Assigns a duration if the file sets it.
    fn set_time(&self, (key, value, time): TimeSetting, range: (u64, u64)) -> Result<(), ConfigError> {
        if let Some(value) = value {
            *time = Span::from_millis(self.in_range(key, value, range)?);
        }
        Ok(())
    }

    fn in_range(&self, key: &str, value: &Spanned<u64>, range: (u64, u64)) -> Result<u64, ConfigError> {
        ConfigError::check_range((self.file, self.text), key, value, range)
    }
}

/// Returns the offset of the first value that is set; 0 if neither is.
fn offset_of_first(values: [&Option<Spanned<u64>>; 2]) -> usize {
    values.into_iter().flatten().next().map_or(0, |value| value.span().start)
}
