//! The settings as the wire words them: one reader for the bench's wire and for the real gatekeeper.
#![forbid(unsafe_code)]

use lynxstair::types::{Group, LoadField, Operation, Plan, Repeat, Settings, Span, ZoneId};
use serde::Deserialize;

/// What is handed over: what the decisions go by, the names that peers use for it, and the time limits of
/// connections.
pub struct Handed {
    pub settings: Settings,
    pub names: Names,
    pub bounds: Bounds,
    pub limits: Limits,
}

/// What an invocation can say at the most.
#[derive(Clone, Debug, Default)]
pub struct Bounds {
    pub gatekeepers: u32,
    pub units: f32,
    /// For each operation, its integration timeout and whether it is idempotent.
    pub operations: Vec<(Span, bool)>,
}

/// Names in the order of the ids that stand for them.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub operations: Vec<String>,
    pub plans: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

/// Time limits of connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// A connection not made by then has failed.
    pub connect: Span,
    /// Workers close a connection that stood idle for so long.
    pub idle: Span,
    /// A call to the counter that takes longer is late.
    pub counter: Span,
}

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "camelCase")]
struct Wire {
    areas: Vec<String>,
    balancers: u32,
    classes: Vec<Class>,
    family_info: FamilyInfo,
    limits: WireLimits,
    load_report: LoadReport,
    me: u32,
    my_zone: u16,
    packages: Vec<Package>,
    registry_mode: String,
    rules: Rules,
    shapes: Vec<String>,
    step: u64,
}

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "camelCase")]
struct Class {
    name: String,
    on_time: u64,
    deadline: u64,
    idempotency: String,
    group: String,
    window: u64,
    late_worth: f32,
    points: f32,
}

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "camelCase")]
struct FamilyInfo {
    counter_timeout: u64,
    max_units: f32,
    may_count: bool,
    meter_period: u64,
}

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "camelCase")]
struct WireLimits {
    cancel: bool,
    connect_timeout: u64,
    idle_close: u64,
    max_attempts: u32,
    max_retry_after: u64,
    probes: bool,
    retry_after: bool,
    second_copies: bool,
}

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "camelCase")]
struct LoadReport {
    fields: Vec<String>,
}

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "camelCase")]
struct Rules {
    must_ask_in: u64,
    start_capacity: f64,
    warm_within: u64,
    fall: u64,
    fall_multiple: f64,
}

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "camelCase")]
struct Package {
    name: String,
    depth: f64,
    ceiling_burst: f64,
    hard_rate: f64,
    open: u32,
    beyond_costs: f64,
    beyond_earns: f64,
    pays: f64,
    refill: f64,
}

pub fn read(text: &[u8]) -> Result<Handed, String> {
    let wire: Wire = serde_json::from_slice(text).map_err(|e| format!("settings: {e}"))?;
    let span = |nanos, otherwise| if nanos > 0 { Span::from_nanos(nanos) } else { otherwise };
    let limits = Limits {
        connect: span(wire.limits.connect_timeout, Span::from_millis(250)),
        idle: span(wire.limits.idle_close, Span::from_millis(15_000)),
        counter: span(wire.family_info.counter_timeout, Span::from_millis(50)),
    };
    let operations: Vec<Operation> = wire.classes.iter().map(operation).collect();
    let of = |o: &Operation| (o.integration_timeout, o.repeat == Repeat::Idempotent);
    let units = Some(wire.family_info.max_units).filter(|u| *u > 0.0).unwrap_or(f32::MAX);
    let gatekeepers = if wire.balancers > 0 { wire.balancers } else { u32::MAX };
    let bounds = Bounds { gatekeepers, units, operations: operations.iter().map(of).collect() };
    let plans = wire.packages.iter().map(plan).collect();
    let fields = wire.load_report.fields.iter();
    let load = fields.map(|f| match f.as_str() {
        "active" => LoadField::Inflight,
        "waiting" => LoadField::Queue,
        "avg_ms" => LoadField::LatencyMs,
        _ => LoadField::Other,
    });
    let settings = Settings {
        me: wire.me,
        gatekeepers: wire.balancers,
        zone: ZoneId(wire.my_zone),
        step: Span::from_nanos(wire.step),
        operations,
        plans,
        counter: wire.family_info.may_count,
        counter_timeout: limits.counter,
        meter_period: Span::from_nanos(wire.family_info.meter_period),
        list_is_asked: wire.registry_mode == "ask",
        must_ask_in: Span::from_nanos(wire.rules.must_ask_in),
        idle: limits.idle,
        probes: wire.limits.probes,
        cancel: wire.limits.cancel,
        retry_after: wire.limits.retry_after,
        max_retry_after: Span::from_nanos(wire.limits.max_retry_after),
        second_copies: wire.limits.second_copies,
        max_deliveries: wire.limits.max_attempts,
        start_share: wire.rules.start_capacity,
        warm_within: Span::from_nanos(wire.rules.warm_within),
        fall: Span::from_nanos(wire.rules.fall),
        fall_multiple: wire.rules.fall_multiple,
        load: load.collect(),
    };
    let names = Names {
        operations: wire.classes.into_iter().map(|c| c.name).collect(),
        plans: wire.packages.into_iter().map(|p| p.name).collect(),
        zones: wire.areas,
        kinds: wire.shapes,
    };
    Ok(Handed { settings, names, bounds, limits })
}

fn operation(class: &Class) -> Operation {
    let window = Span::from_nanos(class.window);
    let repeat = match (class.idempotency.as_str(), class.group.as_str()) {
        ("retryable", _) => Repeat::Idempotent,
        ("dedup", "all") => Repeat::Tokened(Group::All, window),
        ("dedup", "zone") => Repeat::Tokened(Group::Zone, window),
        ("dedup", "cell") => Repeat::Tokened(Group::Cell, window),
        // What is not known to bear a repeat gets none.
        _ => Repeat::NonIdempotent,
    };
    Operation {
        latency_objective: Span::from_nanos(class.on_time),
        integration_timeout: Span::from_nanos(class.deadline),
        late_share: class.late_worth,
        billed_value: class.points,
        repeat,
    }
}

fn plan(package: &Package) -> Plan {
    Plan {
        rate: package.refill,
        burst: package.depth,
        open: package.open,
        price: package.pays,
        beyond_costs: package.beyond_costs,
        beyond_earns: package.beyond_earns,
        ceiling_rate: package.hard_rate,
        ceiling_burst: package.ceiling_burst,
    }
}
