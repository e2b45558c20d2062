//! Operators: eight at once, some under one number, each sends one order until its answer is clear, to any controller, and
//! now and then once more after that.

use lynxstair::types::{Span, Time};
use lynxstair_control_state::command::Operation;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::controller::Ask;
use super::linearizability::{CallInput, Version};

#[derive(Clone, Debug)]
pub(crate) enum Wants {
    Rest,
    Read,
    Operation {
        change: Operation,
        base: u64,
        number: u64,
        mark: u32,
    },
    /// A zone is emptied, or taken back.
    Zone {
        zone: usize,
        empties: bool,
    },
}

#[derive(Clone, Debug)]
pub(crate) struct Operator {
    pub wants: Wants,
    /// The call that is under way.
    pub call: Option<u64>,
    /// Who gave no clear answer last.
    pub last: Option<usize>,
    pub pause: Span,
    pub redirects: u32,
    /// When the order was sent for the first time.
    pub since: Time,
    /// It has been acknowledged, and is sent once more.
    pub again: bool,
}

impl Operator {
    pub fn new() -> Operator {
        Operator {
            wants: Wants::Rest,
            call: None,
            last: None,
            pause: Span::ZERO,
            redirects: 0,
            since: Time::default(),
            again: false,
        }
    }

    pub fn rests(&mut self) {
        *self = Operator::new();
    }

    pub fn begins(&mut self, now: Time, wants: Wants) {
        *self = Operator { wants, since: now, ..Operator::new() };
    }

    /// The call that its order is, and what the history of the configuration knows it as.
    pub fn ask(&self) -> Option<(Ask, Option<CallInput>)> {
        match &self.wants {
            Wants::Rest => None,
            Wants::Read => Some((Ask::Read, Some(CallInput::Read))),
            Wants::Operation { change, base, number, mark } => {
                let asked = CallInput::Change { base: *base, number: *number, mark: *mark };
                Some((Ask::Operation(change.clone()), Some(asked)))
            }
            Wants::Zone { zone, empties } => {
                let zone = super::ZONES[*zone].to_string();
                let change = if *empties { Operation::Evacuate(zone) } else { Operation::Restore(zone) };
                Some((Ask::Operation(change), None))
            }
        }
    }
}

/// A new configuration on top of what was read: numbers are picked from so few that two operators meet.
pub(crate) fn change(chance: &mut Pcg64Mcg, on: Option<Version>, mark: u32) -> Wants {
    let base = on.map_or(0, |(number, _)| number);
    let number = base + chance.random_range(1..4);
    let tenants = format!(
        r#""tenants":{{"columns":["name","api-keys","rate-per-s"],"rows":[["t",["key"],{mark}]]}},"mark":{mark}"#
    );
    let head = format!(r#""generation":"{number:08x}","base-version":"{base:08x}""#);
    let change = if on.is_some() && chance.random_bool(0.4) {
        Operation::Patch(format!(r#"{{{head},"upsert":{{{tenants}}}}}"#).into_bytes())
    } else {
        Operation::Put(
            format!(
                r#"{{{head},"routes":{{"columns":["name","host","path-prefix","route-kind","service"],"rows":[["r","h","/","safe","s"]]}},"services":{{"columns":["name"],"rows":[["s"]]}},{tenants}}}"#
            )
            .into_bytes(),
        )
    };
    Wants::Operation { change, base, number, mark }
}
