//! The ladder: near workers first. The workers of one service in one zone are a rung; which of them gets a request
//! is the module's decision (`lynxstair::policy`, behind the desk), and so is whether the rung is full. The ladder
//! only says in which order the rungs are asked, and which are not: zones that are evacuated, regions that are not a
//! home. The module's words and the system's meet here: an invocation is a request's try, a delivery its sending.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use lynxstair::types::{
    Arrival, CellId, CustomerId, InvId, KindId, Listed, Operation, OperationId, Outcome, Phase, Plan, PlanId,
    Repeat, Scope, Settings, Span, Time, WorkerId, ZoneId,
};
use lynxstair_config::configuration::{Configuration, Kind};
use lynxstair_dispatch::{Desk, Order, Pick as Picked};
use lynxstair_protocol::messages::Standing;

use crate::slow_start::{Cold, Tidings};
use lynxstair_control_state::instance_registry::Known;

/// How far apart what is heard may be and still count as one moment for the module.
const STEP: Span = Span::from_millis(1);
/// The least that the module lets be out at a worker, over all gatekeepers, is less than what a worker answers within
/// the routes' targets: so many times as much may be.
const ROOMIER: u32 = 2;
/// When a client is to come back where every rung is full, in parts of the route's target.
const COME_BACK: f64 = 0.25;
const COME_BACK_LEAST: Span = Span::from_millis(100);

/// A worker as it is called.
#[derive(Debug, PartialEq)]
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
    /// As the module knows it.
    pub number: WorkerId,
}

struct Held {
    worker: Arc<Worker>,
    cold_until: Time,
    listed: Phase,
    heft: f32,
}

struct Rung {
    desk: Desk<()>,
    workers: BTreeMap<WorkerId, Held>,
}

/// What is asked of a service.
pub struct Ask<'a> {
    pub service: &'a str,
    pub kind: Kind,
    pub target: Span,
    pub valid_until: Time,
    /// Whether a zone may serve it: by evacuation and by homes.
    pub allows: &'a dyn Fn(&str) -> bool,
    /// Workers that it was at already.
    pub tried: &'a [Arc<Worker>],
}

/// A try that is to be sent.
pub struct Sent {
    rung: (String, String),
    order: Order<()>,
    pub worker: Arc<Worker>,
    pub at: Time,
}

pub enum Pick {
    Send(Box<Sent>),
    /// No rung takes it now; when to come back.
    Full(Span),
}

pub struct Ladder {
    seed: u64,
    /// All zones, near ones first.
    zones: Vec<String>,
    own_zone: String,
    near: Vec<String>,
    /// How many gatekeepers there are in each zone.
    gatekeepers: HashMap<String, u32>,
    rungs: HashMap<(String, String), Rung>,
    /// What kinds of work each service has, as the module tells them apart.
    work: HashMap<String, Vec<(Kind, Span)>>,
    cold_per_s: HashMap<String, f64>,
    numbers: HashMap<String, WorkerId>,
    last: u64,
    cold: Cold,
}

impl Ladder {
    /// `zones`: each with its region.
    pub fn new(seed: u64, zone: &str, region: &str, zones: &[(String, String)], cold: Cold) -> Self {
        let near: Vec<String> = zones.iter().filter(|(_, r)| r == region).map(|(z, _)| z.clone()).collect();
        let mut order: Vec<String> = zones.iter().map(|(z, _)| z.clone()).collect();
        // From the own zone on, near ones first, and from elsewhere on at each gatekeeper.
        let turn = if order.is_empty() { 0 } else { seed as usize % order.len() };
        order.rotate_left(turn);
        order.sort_by_key(|z| (z != zone, !near.contains(z)));
        Ladder {
            seed,
            zones: order,
            own_zone: zone.to_string(),
            near,
            gatekeepers: HashMap::new(),
            rungs: HashMap::new(),
            work: HashMap::new(),
            cold_per_s: HashMap::new(),
            numbers: HashMap::new(),
            last: 0,
            cold,
        }
    }

    /// A version came into force. What it asks of a service that was not known so far begins anew.
    pub fn configure(&mut self, now: Time, configuration: &Configuration) {
        let mut work: HashMap<String, Vec<(Kind, Span)>> = HashMap::new();
        for route in configuration.all_routes() {
            for (service, _) in &route.services {
                let kinds = work.entry(service.clone()).or_default();
                if !kinds.contains(&(route.kind, route.target)) {
                    kinds.push((route.kind, route.target));
                }
            }
        }
        self.cold_per_s = configuration.services.iter().map(|(n, s)| (n.clone(), s.cold_per_s)).collect();
        for (service, mut kinds) in work {
            let known = self.work.entry(service.clone()).or_default();
            kinds.retain(|k| !known.contains(k));
            if kinds.is_empty() || known.len() + kinds.len() > 200 {
                continue;
            }
            known.extend(kinds);
            self.renew(now, |(s, _)| *s == service);
        }
    }

    pub fn shared_by(&mut self, now: Time, zones: &[(String, u32)]) {
        let gatekeepers: HashMap<String, u32> = zones.iter().cloned().collect();
        if gatekeepers != self.gatekeepers {
            self.gatekeepers = gatekeepers;
            self.renew(now, |_| true);
        }
    }

    /// Begins rungs anew, with the workers that they have.
    fn renew(&mut self, now: Time, which: impl Fn(&(String, String)) -> bool) {
        let keys: Vec<_> = self.rungs.keys().filter(|k| which(k)).cloned().collect();
        for key in keys {
            let Some(old) = self.rungs.remove(&key) else { continue };
            let rung = Rung { desk: self.desk(now, &key), workers: old.workers };
            let all: Vec<Listed> = rung.workers.values().map(|h| listed(h, h.listed)).collect();
            rung.desk.listed(now, Scope::Full, &all);
            self.rungs.insert(key, rung);
        }
    }

    /// How many gatekeepers send to the workers of a zone, besides those that only come by.
    fn sharing(&self, zone: &str) -> u32 {
        let of = |z: &str| self.gatekeepers.get(z).copied().unwrap_or(0);
        if zone == self.own_zone {
            return of(zone).max(1);
        }
        // Elsewhere those come by whose own rungs are full: seldom more than a region's at a time.
        self.near.iter().map(|z| of(z)).sum::<u32>().max(1)
    }

    fn desk(&self, now: Time, (service, zone): &(String, String)) -> Desk<()> {
        let operation = |(kind, target): &(Kind, Span)| Operation {
            latency_objective: *target,
            integration_timeout: target.times(4.0),
            late_share: 0.3,
            billed_value: 1.0,
            repeat: if kind.is_repeatable() { Repeat::Idempotent } else { Repeat::NonIdempotent },
        };
        let settings = Settings {
            gatekeepers: self.sharing(zone).div_ceil(ROOMIER),
            step: STEP,
            operations: self.work.get(service).map_or(Vec::new(), |w| w.iter().map(operation).collect()),
            plans: vec![Plan::default()],
            idle: Span::from_millis(6000),
            max_deliveries: 1,
            start_share: 1.0,
            ..Settings::default()
        };
        let seed = self.seed ^ self.rungs.len() as u64;
        Desk::open(now, seed, &settings)
    }

    /// A worker's life, as the register knows it now.
    pub fn place(&mut self, now: Time, id: &str, known: &Known) {
        let key = (known.service.clone(), known.zone.clone());
        if known.standing == Standing::Gone {
            let Some(number) = self.numbers.remove(id) else { return };
            if let Some(rung) = self.rungs.get_mut(&key)
                && let Some(held) = rung.workers.remove(&number)
            {
                rung.desk.listed(now, Scope::Delta, &[listed(&held, Phase::Gone)]);
            }
            return;
        }
        if !self.rungs.contains_key(&key) {
            let desk = self.desk(now, &key);
            self.rungs.insert(key.clone(), Rung { desk, workers: BTreeMap::new() });
        }
        let last = &mut self.last;
        let number = *self.numbers.entry(id.to_string()).or_insert_with(|| {
            *last += 1;
            WorkerId(*last)
        });
        let Some(rung) = self.rungs.get_mut(&key) else { return };
        let phase = if known.standing == Standing::Ready { Phase::Ready } else { Phase::Draining };
        let worker = Arc::new(Worker {
            id: id.to_string(),
            address: known.address,
            service: known.service.clone(),
            zone: known.zone.clone(),
            number,
        });
        let heft = known.capacity.max(1) as f32;
        let held = Held { worker, cold_until: known.cold_until, listed: phase, heft };
        rung.desk.listed(now, Scope::Delta, &[listed(&held, phase)]);
        rung.workers.insert(number, held);
    }

    /// The worker that gets a request, or nobody.
    pub fn pick(&mut self, now: Time, ask: &Ask, tidings: &dyn Fn(&str) -> Tidings) -> Pick {
        let Some(operation) = self
            .work
            .get(ask.service)
            .and_then(|w| w.iter().position(|(kind, target)| (*kind, *target) == (ask.kind, ask.target)))
        else {
            return Pick::Full(COME_BACK_LEAST);
        };
        let arrival = Arrival {
            inv: InvId::default(),
            valid_until: ask.valid_until,
            customer: CustomerId(0),
            operation: OperationId(operation as u8),
            plan: PlanId(0),
            spread: 1.0,
            units: 1.0,
        };
        let per_s = self.cold_per_s.get(ask.service).copied().unwrap_or(0.0);
        for zone in &self.zones {
            if !(ask.allows)(zone) {
                continue;
            }
            let key = (ask.service.to_string(), zone.clone());
            let Some(rung) = self.rungs.get_mut(&key) else { continue };
            let sharing =
                if *zone == self.own_zone { self.gatekeepers.get(zone).copied().unwrap_or(0) } else { 0 };
            let is_unsaid = tidings(zone) == Tidings::Unsaid;
            let is_unheard = *zone == self.own_zone && tidings(zone) == Tidings::Unheard;
            let mut held_back = Vec::new();
            for held in rung.workers.values_mut().filter(|h| h.listed == Phase::Ready) {
                let is_cold = is_unsaid || now < held.cold_until;
                let was_tried = ask.tried.iter().any(|t| t.number == held.worker.number);
                let id = &held.worker.id;
                if was_tried
                    || is_cold && !self.cold.has_room(now, id, per_s, sharing)
                    || is_unheard && !self.cold.has_room_unheard(now, id, per_s, sharing)
                {
                    held_back.push(listed(held, Phase::Draining));
                }
            }
            if held_back.len() == rung.workers.len() {
                continue;
            }
            if !held_back.is_empty() {
                rung.desk.listed(now, Scope::Delta, &held_back);
            }
            let (inv, picked) = rung.desk.pick(now, arrival, ());
            if !held_back.is_empty() {
                held_back.iter_mut().for_each(|l| l.phase = Phase::Ready);
                rung.desk.listed(now, Scope::Delta, &held_back);
            }
            if let Picked::Deliver(order) = picked {
                let Some(held) = rung.workers.get(&order.worker) else {
                    rung.desk.gone(now, inv);
                    continue;
                };
                if is_unsaid || now < held.cold_until {
                    self.cold.take(&held.worker.id);
                }
                if is_unheard {
                    self.cold.take_unheard(&held.worker.id);
                }
                let worker = held.worker.clone();
                return Pick::Send(Box::new(Sent { rung: key, order, worker, at: now }));
            }
        }
        Pick::Full(ask.target.times(COME_BACK).max(COME_BACK_LEAST))
    }

    /// How a try ended.
    pub fn ended(&mut self, now: Time, sent: &Sent, outcome: Outcome) {
        if let Some(rung) = self.rungs.get(&sent.rung) {
            rung.desk.report(now, &sent.order, outcome, now - sent.at, None);
            rung.desk.gone(now, sent.order.inv);
        }
    }

    /// Several times a second: the module's own upkeep.
    pub fn tick(&mut self, now: Time) {
        for rung in self.rungs.values() {
            if rung.desk.next_due() <= now {
                rung.desk.tick(now);
            }
        }
        let rungs = &self.rungs;
        let is_cold = |id: &str| {
            rungs
                .values()
                .flat_map(|r| r.workers.values())
                .any(|h| h.worker.id == id && now < h.cold_until + STEP)
        };
        self.cold.keep(now, is_cold);
        self.rungs.retain(|_, r| !r.workers.is_empty());
    }
}

fn listed(held: &Held, phase: Phase) -> Listed {
    Listed {
        worker: held.worker.number,
        zone: ZoneId(0),
        kind: KindId(0),
        cell: CellId(0),
        phase,
        heft: held.heft,
        started_at: None,
    }
}
