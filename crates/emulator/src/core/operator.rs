//! Operators as clients of the controllers. Each retries one call at any controller until it gets a
//! definite answer, and sometimes repeats a command that was already acknowledged.

use lynxstair::types::{Span, Time};
use lynxstair_control_state::command::Operation;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::controller::ClientCall;
use super::linearizability::{CallInput, Version};

/// Task that an operator works on.
#[derive(Clone, Debug)]
pub(crate) enum OperatorTask {
    Idle,
    Read,
    /// Change of the configuration, from generation `base` to generation `number`.
    Operation {
        change: Operation,
        base: u64,
        number: u64,
        /// Unique number of the change.
        mark: u32,
    },
    /// Start or end of the evacuation of a zone.
    Zone {
        zone: usize,
        empties: bool,
    },
}

#[derive(Clone, Debug)]
pub(crate) struct Operator {
    pub task: OperatorTask,
    /// Id of the call in flight.
    pub call: Option<u64>,
    /// Controller that gave no definite answer last.
    pub last_failed_controller: Option<usize>,
    pub retry_delay: Span,
    pub redirect_count: u32,
    /// Time at which the task began.
    pub began_at: Time,
    /// The command was acknowledged before and is sent once more.
    pub is_repeat: bool,
}

impl Operator {
    pub fn new() -> Operator {
        Operator {
            task: OperatorTask::Idle,
            call: None,
            last_failed_controller: None,
            retry_delay: Span::ZERO,
            redirect_count: 0,
            began_at: Time::default(),
            is_repeat: false,
        }
    }

    pub fn finish(&mut self) {
        *self = Operator::new();
    }

    pub fn begin(&mut self, now: Time, task: OperatorTask) {
        *self = Operator { task, began_at: now, ..Operator::new() };
    }

    /// Returns the call of its task and, for a read or a change, its input in the history of the configuration.
    /// `None` if idle.
    pub fn next_call(&self) -> Option<(ClientCall, Option<CallInput>)> {
        match &self.task {
            OperatorTask::Idle => None,
            OperatorTask::Read => Some((ClientCall::Read, Some(CallInput::Read))),
            OperatorTask::Operation { change, base, number, mark } => {
                let input = CallInput::Change { base: *base, number: *number, mark: *mark };
                Some((ClientCall::Operation(change.clone()), Some(input)))
            }
            OperatorTask::Zone { zone, empties } => {
                let zone = super::ZONES[*zone].to_string();
                let change = if *empties { Operation::Evacuate(zone) } else { Operation::Restore(zone) };
                Some((ClientCall::Operation(change), None))
            }
        }
    }
}

/// Draws a change that is based on `current`. The generation is one of the next three, so that operators
/// often choose the same one.
pub(crate) fn draw_change(rng: &mut Pcg64Mcg, current: Option<Version>, mark: u32) -> OperatorTask {
    let base = current.map_or(0, |(number, _)| number);
    let number = base + rng.random_range(1..4);
    let tenants = format!(
        r#""tenants":{{"columns":["name","api-keys","rate-per-s"],"rows":[["t",["key"],{mark}]]}},"mark":{mark}"#
    );
    let header = format!(r#""generation":"{number:08x}","base-version":"{base:08x}""#);
    let change = if current.is_some() && rng.random_bool(0.4) {
        Operation::Patch(format!(r#"{{{header},"upsert":{{{tenants}}}}}"#).into_bytes())
    } else {
        Operation::Put(
            format!(
                r#"{{{header},"routes":{{"columns":["name","host","path-prefix","route-kind","service"],"rows":[["r","h","/","safe","s"]]}},"services":{{"columns":["name"],"rows":[["s"]]}},{tenants}}}"#
            )
            .into_bytes(),
        )
    };
    OperatorTask::Operation { change, base, number, mark }
}
