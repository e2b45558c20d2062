//! Operations of the dispatchers: one for each route kind and class of latency targets of a service.
//!
//! A dispatcher numbers its operations with 8 bits and keeps statistics for each of them and each worker.
//! Routes may have any number of different latency targets, so similar targets share a class. The number of
//! classes is fixed, and no configuration can exceed it.

use std::collections::HashMap;

use indexmap::IndexSet;
use lynxstair::types::{Idempotency, Operation, OperationId, Span};
use lynxstair_config::configuration::{Configuration, RouteKind};

/// Initial estimate of the time that clients wait for a response, as a multiple of the latency target.
const CLIENT_TIMEOUT_FACTOR: f64 = 4.0;
/// Value of a response after the latency target, as a fraction of the value of one in time.
const LATE_RESPONSE_VALUE: f32 = 0.3;
/// Lower bounds of the classes in each decade, in tenths of its start: the rounded preferred numbers of ISO 3
/// (series R″10), which contain most targets that people choose.
const CLASS_STARTS: [u64; 10] = [10, 12, 15, 20, 25, 30, 40, 50, 60, 80];
/// Shortest and longest target with a class of its own. Targets beyond them belong to the first and to the
/// last class.
const SHORTEST_TARGET: Span = Span::from_millis(1);
const LONGEST_TARGET: Span = Span::from_millis(999_999);
/// Decades from the shortest to the longest target.
const DECADES: usize = 6;
/// Number of variants of `RouteKind`.
const ROUTE_KINDS: usize = 3;

/// Maximum number of operations of a service.
pub const MAX_OPERATIONS: usize = ROUTE_KINDS * DECADES * CLASS_STARTS.len();
const _: () = assert!(MAX_OPERATIONS <= 1 << u8::BITS, "operation ids have 8 bits");

/// Requests that a dispatcher does not distinguish.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OperationClass {
    kind: RouteKind,
    /// Lower bound of the latency targets of the class.
    target: Span,
}

impl OperationClass {
    fn new(kind: RouteKind, target: Span) -> OperationClass {
        OperationClass { kind, target: round_down(target) }
    }

    fn settings(&self) -> Operation {
        Operation {
            latency_objective: self.target,
            integration_timeout: self.target.times(CLIENT_TIMEOUT_FACTOR),
            late_value: LATE_RESPONSE_VALUE,
            billed_value: 1.0,
            idempotency: if self.kind.is_idempotent() {
                Idempotency::Idempotent
            } else {
                Idempotency::NonIdempotent
            },
        }
    }
}

/// Returns the lower bound of the class of a latency target.
fn round_down(target: Span) -> Span {
    let nanos = target.nanos().clamp(SHORTEST_TARGET.nanos(), LONGEST_TARGET.nanos());
    let decade = 10_u64.pow(nanos.ilog10());
    let tenths = nanos * 10 / decade;
    let start = CLASS_STARTS.iter().rev().find(|start| **start <= tenths).unwrap_or(&CLASS_STARTS[0]);
    Span::from_nanos(decade / 10 * start)
}

/// Operations of each service. The index of a class is its operation id in the dispatchers.
#[derive(Debug, Default)]
pub struct OperationTable {
    services: HashMap<String, IndexSet<OperationClass>>,
}

impl OperationTable {
    /// Adds the operations of a configuration. Returns the services that have new ones.
    ///
    /// An operation that is no longer configured is kept with its id as long as its service is configured or
    /// `is_in_use`: requests of the previous configuration may still be retried.
    pub fn configure(
        &mut self,
        configuration: &Configuration,
        is_in_use: impl Fn(&str) -> bool,
    ) -> Vec<String> {
        let is_kept = |service: &String| configuration.services.contains_key(service) || is_in_use(service);
        self.services.retain(|service, _| is_kept(service));
        let mut changed: Vec<String> = Vec::new();
        for route in configuration.all_routes() {
            let class = OperationClass::new(route.kind, route.target);
            for (service, _) in &route.services {
                let is_new = self.add(service, class);
                if is_new && !changed.contains(service) {
                    changed.push(service.clone());
                }
            }
        }
        changed
    }

    /// Adds an operation. Returns `false` if the service already has it.
    fn add(&mut self, service: &str, class: OperationClass) -> bool {
        match self.services.get_mut(service) {
            Some(classes) => classes.insert(class),
            None => {
                self.services.insert(service.to_string(), IndexSet::from([class]));
                true
            }
        }
    }

    /// Returns the operation of a request, or `None` if no configuration had such a route to the service.
    pub fn operation_id(&self, service: &str, kind: RouteKind, target: Span) -> Option<OperationId> {
        let index = self.services.get(service)?.get_index_of(&OperationClass::new(kind, target))?;
        u8::try_from(index).ok().map(OperationId)
    }

    /// Returns the dispatcher settings of a service's operations, in the order of their ids.
    pub fn settings(&self, service: &str) -> Vec<Operation> {
        let classes = self.services.get(service).into_iter().flatten();
        classes.map(OperationClass::settings).collect()
    }
}
