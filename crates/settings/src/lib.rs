//! Reads the settings of a gatekeeper from JSON into the types of the decision module and the network code.
//! The names of the JSON keys are in `wire`.
#![forbid(unsafe_code)]

mod wire;

use std::fmt;

use lynxstair::types::{DedupScope, Idempotency, LoadField, Operation, Plan, Settings, Span, ZoneId};

use wire::{Class, Package, Wire};

/// Values used if the settings give none.
const DEFAULT_CONNECT_TIMEOUT: Span = Span::from_millis(250);
const DEFAULT_IDLE_TIMEOUT: Span = Span::from_millis(15_000);
const DEFAULT_COUNTER_TIMEOUT: Span = Span::from_millis(50);

/// Settings of a gatekeeper.
pub struct GatekeeperSettings {
    /// Settings of the decision module.
    pub policy: Settings,
    /// Names of operations, plans, zones and kinds of workers.
    pub names: Names,
    /// Limits on the values of a request.
    pub bounds: RequestBounds,
    /// Time-outs of connections and counter calls.
    pub timeouts: Timeouts,
}

/// Limits on the values of a request.
#[derive(Clone, Debug, Default)]
pub struct RequestBounds {
    /// Number of gatekeepers; `u32::MAX` if unknown.
    pub max_gatekeepers: u32,
    /// Maximum units of a request; `f32::MAX` if unlimited.
    pub max_units: f32,
    /// Operations, indexed by `OperationId`.
    pub operations: Vec<OperationBounds>,
}

/// Limits on a request for an operation.
#[derive(Clone, Copy, Debug)]
pub struct OperationBounds {
    /// Longest time that a client waits for an answer.
    pub integration_timeout: Span,
    /// `true` if the operation may always be repeated.
    pub is_idempotent: bool,
}

/// Names, indexed by the identifiers that stand for them.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Operations, indexed by `OperationId`.
    pub operations: Vec<String>,
    /// Plans, indexed by `PlanId`.
    pub plans: Vec<String>,
    /// Zones, indexed by `ZoneId`.
    pub zones: Vec<String>,
    /// Kinds of workers, indexed by `KindId`.
    pub kinds: Vec<String>,
}

/// Time-outs of connections and counter calls.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Time limit for establishing a connection.
    pub connect: Span,
    /// Time after which workers close an idle connection.
    pub idle: Span,
    /// Time after which a reply of the counter is late.
    pub counter: Span,
}

/// Error for settings that can't be parsed. It is permanent for the same text.
#[derive(Debug)]
pub struct SettingsError(serde_json::Error);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.0)
    }
}

/// Parses settings from JSON.
pub fn read(text: &[u8]) -> Result<GatekeeperSettings, SettingsError> {
    let wire: Wire = serde_json::from_slice(text).map_err(SettingsError)?;
    let timeouts = timeouts(&wire);
    let operations: Vec<Operation> = wire.classes.iter().map(operation).collect();
    let bounds = bounds(&wire, &operations);
    let policy = policy_settings(&wire, operations, &timeouts);
    let names = Names {
        operations: wire.classes.into_iter().map(|class| class.name).collect(),
        plans: wire.packages.into_iter().map(|package| package.name).collect(),
        zones: wire.areas,
        kinds: wire.shapes,
    };
    Ok(GatekeeperSettings { policy, names, bounds, timeouts })
}

fn timeouts(wire: &Wire) -> Timeouts {
    let span = |nanos, default| if nanos > 0 { Span::from_nanos(nanos) } else { default };
    Timeouts {
        connect: span(wire.limits.connect_timeout, DEFAULT_CONNECT_TIMEOUT),
        idle: span(wire.limits.idle_close, DEFAULT_IDLE_TIMEOUT),
        counter: span(wire.family_info.counter_timeout, DEFAULT_COUNTER_TIMEOUT),
    }
}

fn bounds(wire: &Wire, operations: &[Operation]) -> RequestBounds {
    let operation = |operation: &Operation| OperationBounds {
        integration_timeout: operation.integration_timeout,
        is_idempotent: operation.idempotency == Idempotency::Idempotent,
    };
    RequestBounds {
        max_gatekeepers: if wire.balancers > 0 { wire.balancers } else { u32::MAX },
        max_units: Some(wire.family_info.max_units).filter(|units| *units > 0.0).unwrap_or(f32::MAX),
        operations: operations.iter().map(operation).collect(),
    }
}

fn policy_settings(wire: &Wire, operations: Vec<Operation>, timeouts: &Timeouts) -> Settings {
    Settings {
        gatekeeper_number: wire.me,
        gatekeepers: wire.balancers,
        zone: ZoneId(wire.my_zone),
        time_resolution: Span::from_nanos(wire.step),
        operations,
        plans: wire.packages.iter().map(plan).collect(),
        has_counter: wire.family_info.may_count,
        counter_timeout: timeouts.counter,
        metering_period: Span::from_nanos(wire.family_info.meter_period),
        must_subscribe: wire.registry_mode == "ask",
        subscribe_within: Span::from_nanos(wire.rules.must_ask_in),
        idle_timeout: timeouts.idle,
        has_health_checks: wire.limits.probes,
        can_cancel: wire.limits.cancel,
        sends_retry_after: wire.limits.retry_after,
        max_retry_after: Span::from_nanos(wire.limits.max_retry_after),
        allows_hedging: wire.limits.second_copies,
        max_attempts: wire.limits.max_attempts,
        initial_capacity: wire.rules.start_capacity,
        warm_up: Span::from_nanos(wire.rules.warm_within),
        overload_recovery: Span::from_nanos(wire.rules.fall),
        overload_multiple: wire.rules.fall_multiple,
        load_fields: wire.load_report.fields.iter().map(|field| load_field(field)).collect(),
    }
}

fn load_field(name: &str) -> LoadField {
    match name {
        "active" => LoadField::Inflight,
        "waiting" => LoadField::Queue,
        "avg_ms" => LoadField::LatencyMs,
        _ => LoadField::Other,
    }
}

fn operation(class: &Class) -> Operation {
    let window = Span::from_nanos(class.window);
    let idempotency = match (class.idempotency.as_str(), class.group.as_str()) {
        ("retryable", _) => Idempotency::Idempotent,
        ("dedup", "all") => Idempotency::Deduplicated(DedupScope::All, window),
        ("dedup", "zone") => Idempotency::Deduplicated(DedupScope::Zone, window),
        ("dedup", "cell") => Idempotency::Deduplicated(DedupScope::Cell, window),
        // Unknown values are treated as not safe to repeat.
        _ => Idempotency::NonIdempotent,
    };
    Operation {
        latency_objective: Span::from_nanos(class.on_time),
        integration_timeout: Span::from_nanos(class.deadline),
        late_value: class.late_worth,
        billed_value: class.points,
        idempotency,
    }
}

fn plan(package: &Package) -> Plan {
    Plan {
        rate: package.refill,
        burst: package.depth,
        max_open: package.open,
        price: package.pays,
        overage_cost: package.beyond_costs,
        overage_revenue: package.beyond_earns,
        hard_limit_rate: package.hard_rate,
        hard_limit_burst: package.ceiling_burst,
    }
}
