//! JSON form of the settings. Unknown keys are ignored. Times are in nanoseconds. The fields have the names
//! of the JSON keys; `lib.rs` converts them to the terms of the decision module.

use serde::Deserialize;

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct Wire {
    pub areas: Vec<String>,
    pub balancers: u32,
    pub classes: Vec<Class>,
    pub family_info: FamilyInfo,
    pub limits: Limits,
    pub load_report: LoadReport,
    pub me: u32,
    pub my_zone: u16,
    pub packages: Vec<Package>,
    pub registry_mode: String,
    pub rules: Rules,
    pub shapes: Vec<String>,
    pub step: u64,
}

/// An operation.
#[derive(Deserialize, Default)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct Class {
    pub name: String,
    pub on_time: u64,
    pub deadline: u64,
    pub idempotency: String,
    pub group: String,
    pub window: u64,
    pub late_worth: f32,
    pub points: f32,
}

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct FamilyInfo {
    pub counter_timeout: u64,
    pub max_units: f32,
    pub may_count: bool,
    pub meter_period: u64,
}

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct Limits {
    pub cancel: bool,
    pub connect_timeout: u64,
    pub idle_close: u64,
    pub max_attempts: u32,
    pub max_retry_after: u64,
    pub probes: bool,
    pub retry_after: bool,
    pub second_copies: bool,
}

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct LoadReport {
    pub fields: Vec<String>,
}

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct Rules {
    pub must_ask_in: u64,
    pub start_capacity: f64,
    pub warm_within: u64,
    pub fall: u64,
    pub fall_multiple: f64,
}

/// A plan.
#[derive(Deserialize, Default)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct Package {
    pub name: String,
    pub depth: f64,
    pub ceiling_burst: f64,
    pub hard_rate: f64,
    pub open: u32,
    pub beyond_costs: f64,
    pub beyond_earns: f64,
    pub pays: f64,
    pub refill: f64,
}
