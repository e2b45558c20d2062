//! TOML structure of the fleet file, before validation. The keys are described in
//! docs/operators/membership.md and docs/operators/ownership.md.

use std::path::PathBuf;

use serde::Deserialize;
use toml::Spanned;

use super::{LogFormat, TrialSwitches};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FleetFile {
    pub fleet: Spanned<String>,
    pub name: Spanned<String>,
    #[serde(rename = "hall", default)]
    pub zone: Option<Spanned<String>>,
    pub bind: Spanned<String>,
    #[serde(default)]
    pub advertise: Option<Spanned<String>>,
    #[serde(default)]
    pub control: Option<Spanned<String>>,
    #[serde(default)]
    pub seeds: Vec<Spanned<String>>,
    pub data: PathBuf,
    #[serde(default)]
    pub history: Option<PathBuf>,
    #[serde(default)]
    pub log: LogFormat,
    #[serde(default)]
    pub seed: Option<u64>,
    #[serde(default)]
    pub voters: Vec<VoterTable>,
    #[serde(default)]
    pub ownership: OwnershipTable,
    #[serde(default)]
    pub export: Option<ExportTable>,
    #[serde(default)]
    pub times: TimesTable,
    #[serde(default)]
    pub trial: TrialSwitches,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct VoterTable {
    pub name: Spanned<String>,
    pub addr: Spanned<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ExportTable {
    pub sink: Spanned<String>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct OwnershipTable {
    pub duties: Option<Vec<Spanned<String>>>,
    pub tick_ms: Option<Spanned<u64>>,
    pub lease_ms: Option<Spanned<u64>>,
    pub renew_ms: Option<Spanned<u64>>,
    #[serde(rename = "stand_ms")]
    pub claim_ms: Option<Spanned<u64>>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct TimesTable {
    pub probe_ms: Option<Spanned<u64>>,
    pub answer_ms: Option<Spanned<u64>>,
    pub suspicion_ms: Option<Spanned<u64>>,
    pub gossip_ms: Option<Spanned<u64>>,
    pub late_ms: Option<Spanned<u64>>,
    pub quiet_ms: Option<Spanned<u64>>,
    pub join_ms: Option<Spanned<u64>>,
    pub exchange_ms: Option<Spanned<u64>>,
    pub most_members: Option<Spanned<u64>>,
}
