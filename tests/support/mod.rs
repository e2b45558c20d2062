//! A port that keeps what was answered, and a small world of settings.

use lynxstair::policy::Gatekeeper;
use lynxstair::port::Port;
use lynxstair::types::*;

#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    Deliver(InvId, WorkerId, Time),
    Throttle(InvId, Option<Span>),
    Error(InvId),
    Cancel(InvId, DeliveryNo),
    Probe(WorkerId),
    Add(CountName, f32),
    Timer(Span, TimerTag),
    Subscribe,
}

#[derive(Default)]
pub struct Ear(pub Vec<Said>);

impl Port for Ear {
    fn deliver(&mut self, inv: InvId, worker: WorkerId, stop_at: Time) {
        self.0.push(Said::Deliver(inv, worker, stop_at));
    }
    fn throttle(&mut self, inv: InvId, retry_after: Option<Span>) {
        self.0.push(Said::Throttle(inv, retry_after));
    }
    fn error(&mut self, inv: InvId) {
        self.0.push(Said::Error(inv));
    }
    fn cancel(&mut self, inv: InvId, no: DeliveryNo) {
        self.0.push(Said::Cancel(inv, no));
    }
    fn probe(&mut self, worker: WorkerId) {
        self.0.push(Said::Probe(worker));
    }
    fn add_to_count(&mut self, name: CountName, _keep: Span, amount: f32) {
        self.0.push(Said::Add(name, amount));
    }
    fn set_timer(&mut self, after: Span, tag: TimerTag) {
        self.0.push(Said::Timer(after, tag));
    }
    fn subscribe(&mut self) {
        self.0.push(Said::Subscribe);
    }
}

pub fn at(ms: u64) -> Time {
    Time::from_nanos((1_000_000 + ms) * 1_000_000)
}

pub fn settings() -> Settings {
    let operation = |repeat| Operation {
        latency_objective: Span::from_millis(1000),
        integration_timeout: Span::from_millis(4000),
        late_share: 0.0,
        billed_value: 1.0,
        repeat,
    };
    let window = Span::from_millis(5000);
    let plan = Plan { rate: 2.0, burst: 8.0, price: 1.0, ..Plan::default() };
    Settings {
        gatekeepers: 2,
        step: Span::from_millis(2),
        operations: vec![
            operation(Repeat::Idempotent),
            operation(Repeat::NonIdempotent),
            operation(Repeat::Tokened(Group::All, window)),
            operation(Repeat::Tokened(Group::Zone, window)),
        ],
        plans: vec![
            plan.clone(),
            Plan { rate: 1000.0, burst: 1000.0, ceiling_rate: 4.0, ceiling_burst: 16.0, ..plan.clone() },
            Plan { rate: 0.0, burst: 0.0, ..plan },
        ],
        counter: true,
        counter_timeout: Span::from_millis(50),
        probes: true,
        cancel: true,
        retry_after: true,
        max_retry_after: Span::from_millis(1000),
        second_copies: true,
        max_deliveries: 3,
        start_share: 0.2,
        warm_within: Span::from_millis(10_000),
        fall: Span::from_millis(2000),
        fall_multiple: 2.0,
        ..Settings::default()
    }
}

pub struct World {
    pub gatekeeper: Gatekeeper,
    pub ear: Ear,
    pub timers: Vec<TimerTag>,
    /// The beats that came, one each 200 ms.
    pub beats: u64,
}

impl World {
    /// A gatekeeper that has been told of so many warm workers, each in a zone of its own but the first two.
    pub fn new(settings: &Settings, workers: u64) -> Self {
        let mut ear = Ear::default();
        let mut gatekeeper = Gatekeeper::start(at(0), 7, settings, &mut ear);
        let list: Vec<Listed> = (0..workers).map(|n| listed(n, Phase::Ready)).collect();
        gatekeeper.listed(at(0), Scope::Cached, &list);
        World { gatekeeper, ear, timers: Vec::new(), beats: 0 }
    }

    /// Time passes, and the gatekeeper's beats come when they are due.
    pub fn pass(&mut self, ms: u64) {
        while (self.beats + 1) * 200 <= ms {
            self.beats += 1;
            self.gatekeeper.timer(at(self.beats * 200), Wake::Beat.tag(), &mut self.ear);
        }
        self.said();
    }

    pub fn invoke(
        &mut self,
        ms: u64,
        inv: u32,
        operation: u8,
        plan: u16,
        units: f32,
        spread: f32,
    ) -> Vec<Said> {
        self.pass(ms);
        let arrival = arrival(ms, inv, operation, plan, units, spread);
        self.gatekeeper.invoke(at(ms), &arrival, &mut self.ear);
        self.said()
    }

    pub fn end(&mut self, ms: u64, inv: u32, no: u8, worker: WorkerId, outcome: Outcome) -> Vec<Said> {
        self.end_in(ms, inv, no, worker, outcome, 50)
    }

    /// The end of a delivery that took so long.
    pub fn end_in(
        &mut self,
        ms: u64,
        inv: u32,
        no: u8,
        worker: WorkerId,
        outcome: Outcome,
        took_ms: u64,
    ) -> Vec<Said> {
        self.pass(ms);
        let ended = Ended {
            inv: InvId(inv),
            no: DeliveryNo(no),
            worker,
            outcome,
            took: Span::from_millis(took_ms),
            last: outcome == Outcome::Succeeded,
            used: None,
            actual: None,
            load: &[],
        };
        self.gatekeeper.delivery_ended(at(ms), &ended, &mut self.ear);
        self.said()
    }

    pub fn timer(&mut self, ms: u64, tag: TimerTag) -> Vec<Said> {
        self.pass(ms);
        self.gatekeeper.timer(at(ms), tag, &mut self.ear);
        self.said()
    }

    /// What was said since; timers are kept apart.
    pub fn said(&mut self) -> Vec<Said> {
        let (timers, said): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.ear.0).into_iter().partition(|s| matches!(s, Said::Timer(..)));
        self.timers
            .extend(timers.iter().filter_map(|s| if let Said::Timer(_, t) = s { Some(*t) } else { None }));
        said
    }
}

/// An arrival at that time, whose client waits for three seconds.
pub fn arrival(ms: u64, inv: u32, operation: u8, plan: u16, units: f32, spread: f32) -> Arrival {
    Arrival {
        inv: InvId(inv),
        valid_until: at(ms + 3000),
        customer: CustomerId(u64::from(plan) + 1),
        operation: OperationId(operation),
        plan: PlanId(plan),
        spread,
        units,
    }
}

pub fn listed(n: u64, phase: Phase) -> Listed {
    Listed {
        worker: WorkerId(n + 1),
        zone: ZoneId(n.saturating_sub(1) as u16),
        kind: KindId(0),
        cell: CellId(0),
        phase,
        heft: 1.0,
        started_at: None,
    }
}

pub fn delivered(said: &[Said]) -> Option<WorkerId> {
    said.iter().find_map(|s| if let Said::Deliver(_, w, _) = s { Some(*w) } else { None })
}

/// The tag of the report that is due for a customer.
pub fn report_tag(customer: u64) -> TimerTag {
    Wake::Report(CustomerId(customer)).tag()
}
