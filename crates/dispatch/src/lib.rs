//! The facade of the decisions, in blocking style: pick, report, tick. The network code asks here and does
//! what it is told; it never sees the module's own events and actions.
//!
//! One short lock, never held over input, output or a yield. A panic of the module ends in an error for the
//! invocation at hand: nothing is lost, and the program goes on.

use std::collections::{BTreeMap, HashMap};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};

use lynxstair::policy::Gatekeeper;
use lynxstair::port::Port;
use lynxstair::types::{
    Arrival, CountName, CustomerId, DeliveryNo, Ended, InvId, Listed, OperationId, Outcome, Scope, Settings,
    Span, Time, TimerTag, Wake, WorkerId,
};

use lynxstair_net::log;

/// Timers come late by no more than this part of their span.
const LATE_PART: u64 = 16;

/// A delivery to be made, for the one who holds the ticket.
#[derive(Clone, Debug, PartialEq)]
pub struct Order<T> {
    pub ticket: T,
    pub inv: InvId,
    pub no: DeliveryNo,
    pub worker: WorkerId,
    /// It is given up then.
    pub stop_at: Time,
    pub used: Used,
}

/// Whose use a succeeded answer is, and how much.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Used {
    pub customer: CustomerId,
    pub operation: OperationId,
    pub units: f32,
}

/// A final answer of our own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Final {
    Throttled(Option<Span>),
    Errored,
}

/// What becomes of an arrival.
#[derive(Debug, PartialEq)]
pub enum Pick<T> {
    Deliver(Order<T>),
    Answer(Final),
}

/// What comes after the end of a delivery.
#[derive(Debug, PartialEq)]
pub enum Next<T> {
    /// The worker's answer is the client's.
    PassOn(T),
    Answer(T, Final),
    Deliver(Order<T>),
    /// Nothing now: another delivery is out, or the invocation is over.
    Nothing,
}

/// A delivery that is out and is to be given up.
#[derive(Debug, PartialEq)]
pub struct GiveUp<T> {
    pub ticket: T,
    pub inv: InvId,
    pub no: DeliveryNo,
}

/// An amount to be added to a count.
#[derive(Clone, Debug, PartialEq)]
pub struct Count {
    pub name: CountName,
    pub keep: Span,
    pub amount: f32,
}

/// What is due.
#[derive(Debug, PartialEq)]
pub struct Due<T> {
    pub deliveries: Vec<Order<T>>,
    /// Those whose time is up, and those that are no longer wanted.
    pub overdue: Vec<GiveUp<T>>,
    pub unwanted: Vec<GiveUp<T>>,
    pub answers: Vec<(T, InvId, Final)>,
    pub counts: Vec<Count>,
    pub probes: Vec<WorkerId>,
}

impl<T> Default for Due<T> {
    fn default() -> Self {
        Due {
            deliveries: Vec::new(),
            overdue: Vec::new(),
            unwanted: Vec::new(),
            answers: Vec::new(),
            counts: Vec::new(),
            probes: Vec::new(),
        }
    }
}

#[derive(Clone, Copy)]
enum Alarm {
    Module(TimerTag),
    Stop(InvId, DeliveryNo),
}

/// An invocation that has no final answer yet.
struct Open<T> {
    ticket: T,
    used: Used,
    /// How many deliveries were made, and which of them are out.
    made: u8,
    out: u32,
}

/// What the module said, until the one who asked takes it away.
struct Slip<T> {
    now: Time,
    opened_at: Time,
    open: HashMap<InvId, Open<T>>,
    alarms: BTreeMap<(Time, u64), Alarm>,
    alarms_set: u64,
    due: Due<T>,
}

struct Inside<T> {
    gatekeeper: Gatekeeper,
    slip: Slip<T>,
    /// What is heard within one step is told to the module as heard at once: it takes what lay there while
    /// the gatekeeper stood still by its having come at one time.
    step: Span,
    last_inv: u32,
}

pub struct Dispatcher<T> {
    inside: Mutex<Inside<T>>,
    /// When the next alarm is due.
    next: AtomicU64,
}

impl<T: Clone> Port for Slip<T> {
    fn deliver(&mut self, inv: InvId, worker: WorkerId, stop_at: Time) {
        let Some(open) = self.open.get_mut(&inv) else { return };
        let no = DeliveryNo(open.made);
        open.made = open.made.saturating_add(1);
        open.out += 1;
        let (ticket, used) = (open.ticket.clone(), open.used);
        self.due.deliveries.push(Order { ticket, inv, no, worker, stop_at, used });
        self.alarm(stop_at, Alarm::Stop(inv, no));
    }

    fn throttle(&mut self, inv: InvId, retry_after: Option<Span>) {
        self.answer(inv, Final::Throttled(retry_after));
    }

    fn error(&mut self, inv: InvId) {
        self.answer(inv, Final::Errored);
    }

    fn cancel(&mut self, inv: InvId, no: DeliveryNo) {
        if let Some(open) = self.open.get(&inv) {
            self.due.unwanted.push(GiveUp { ticket: open.ticket.clone(), inv, no });
        }
    }

    fn probe(&mut self, worker: WorkerId) {
        self.due.probes.push(worker);
    }

    fn add_to_count(&mut self, name: CountName, keep: Span, amount: f32) {
        self.due.counts.push(Count { name, keep, amount });
    }

    /// The module's timers may come late by a part of their span, so that several come with one wake, and the
    /// calls to the counter that are due then with one write. Each gatekeeper's grid has a start of its own: on
    /// one that all share, the calls of all would meet at the counter.
    fn set_timer(&mut self, after: Span, tag: TimerTag) {
        let grid = (after.nanos() / LATE_PART).checked_ilog2().map_or(1, |bits| 1 << bits);
        let since = (self.now + after - self.opened_at).nanos().div_ceil(grid) * grid;
        self.alarm(self.opened_at + Span::from_nanos(since), Alarm::Module(tag));
    }

    /// The list comes unasked on sockets.
    fn subscribe(&mut self) {}
}

impl<T> Slip<T> {
    fn alarm(&mut self, at: Time, alarm: Alarm) {
        self.alarms_set += 1;
        self.alarms.insert((at, self.alarms_set), alarm);
    }

    fn answer(&mut self, inv: InvId, answer: Final) {
        if let Some(open) = self.open.remove(&inv) {
            self.due.answers.push((open.ticket, inv, answer));
        }
    }

    /// Whether an alarm is for something that still stands: those of deliveries outlive them.
    fn stands(&self, alarm: &Alarm) -> bool {
        let delivery = match alarm {
            Alarm::Stop(inv, no) => Some((*inv, *no)),
            Alarm::Module(tag) => match Wake::of(*tag) {
                Some(Wake::Delivery(inv, no)) => Some((inv, no)),
                _ => None,
            },
        };
        delivery.is_none_or(|(inv, no)| self.open.get(&inv).is_some_and(|o| no.0 < o.made && o.out > 0))
    }

    /// When the first alarm that still stands is due.
    fn next(&mut self) -> Time {
        while let Some(first) = self.alarms.first_entry() {
            let (at, alarm) = (first.key().0, *first.get());
            if self.stands(&alarm) {
                return at;
            }
            self.alarms.pop_first();
        }
        Time::from_nanos(u64::MAX)
    }
}

impl<T: Clone> Dispatcher<T> {
    pub fn new(now: Time, seed: u64, settings: &Settings) -> Self {
        let mut slip = Slip {
            now,
            opened_at: now,
            open: HashMap::new(),
            alarms: BTreeMap::new(),
            alarms_set: 0,
            due: Due::default(),
        };
        let gatekeeper = Gatekeeper::start(now, seed, settings, &mut slip);
        let next = AtomicU64::new(slip.next().nanos());
        Dispatcher { inside: Mutex::new(Inside { gatekeeper, slip, step: settings.step, last_inv: 0 }), next }
    }

    fn inside(&self) -> MutexGuard<'_, Inside<T>> {
        self.inside.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// When `tick` is next to be called.
    pub fn next_due(&self) -> Time {
        Time::from_nanos(self.next.load(Ordering::Relaxed))
    }

    /// Lets the module speak, and keeps when the next alarm is due.
    fn ask(
        &self,
        now: Time,
        inside: &mut Inside<T>,
        question: impl FnOnce(Time, &mut Gatekeeper, &mut Slip<T>),
    ) -> bool {
        if now - inside.slip.now >= inside.step {
            inside.slip.now = now;
        }
        let now = inside.slip.now;
        let (gatekeeper, slip) = (&mut inside.gatekeeper, &mut inside.slip);
        let answered = guarded(|| question(now, gatekeeper, slip));
        self.next.store(inside.slip.next().nanos(), Ordering::Relaxed);
        answered
    }

    /// An arrival: the worker that gets it, or its final answer. The arrival's own id is not looked at: the
    /// desk gives it one.
    pub fn pick(&self, now: Time, mut arrival: Arrival, ticket: T) -> (InvId, Pick<T>) {
        let mut inside = self.inside();
        inside.last_inv = inside.last_inv.wrapping_add(1);
        let inv = InvId(inside.last_inv);
        arrival.inv = inv;
        let used =
            Used { customer: arrival.customer, operation: arrival.operation, units: arrival.units() as f32 };
        inside.slip.open.insert(inv, Open { ticket, used, made: 0, out: 0 });
        self.ask(now, &mut inside, |now, gatekeeper, slip| gatekeeper.invoke(now, &arrival, slip));
        let slip = &mut inside.slip;
        let pick = match (slip.due.deliveries.pop(), slip.due.answers.pop()) {
            (Some(order), _) => Pick::Deliver(order),
            (None, Some((_, _, answer))) => Pick::Answer(answer),
            (None, None) => {
                slip.open.remove(&inv);
                Pick::Answer(Final::Errored)
            }
        };
        (inv, pick)
    }

    /// A delivery has ended. Also gives the deliveries that are no longer wanted.
    pub fn report(
        &self,
        now: Time,
        order: &Order<T>,
        outcome: Outcome,
        took: Span,
        used: Option<f32>,
    ) -> (Next<T>, Vec<GiveUp<T>>) {
        let mut inside = self.inside();
        // Where it is over already, the module still hears how the delivery ended.
        let open = inside.slip.open.get_mut(&order.inv);
        let is_over = open.map(|open| open.out = open.out.saturating_sub(1)).is_none();
        let last = is_over || outcome == Outcome::Succeeded;
        let (inv, no, worker) = (order.inv, order.no, order.worker);
        let ended = Ended { inv, no, worker, outcome, took, last, used, actual: None, load: &[] };
        let answered = self.ask(now, &mut inside, |now, gatekeeper, slip| {
            gatekeeper.delivery_ended(now, &ended, slip);
        });
        if is_over {
            return (Next::Nothing, Vec::new());
        }
        let slip = &mut inside.slip;
        let unwanted = std::mem::take(&mut slip.due.unwanted);
        if last && let Some(open) = slip.open.remove(&order.inv) {
            return (Next::PassOn(open.ticket), unwanted);
        }
        let next = match (slip.due.deliveries.pop(), slip.due.answers.pop()) {
            (Some(order), _) => Next::Deliver(order),
            (None, Some((ticket, _, answer))) => Next::Answer(ticket, answer),
            // The module broke down over it: an error promises nothing.
            (None, None) if !answered => match slip.open.remove(&order.inv) {
                Some(open) => Next::Answer(open.ticket, Final::Errored),
                None => Next::Nothing,
            },
            (None, None) => Next::Nothing,
        };
        (next, unwanted)
    }

    /// Does what is due.
    pub fn tick(&self, now: Time) -> Due<T> {
        let mut inside = self.inside();
        inside.slip.now = now;
        while let Some(first) = inside.slip.alarms.first_entry()
            && first.key().0 <= now
        {
            let alarm = first.remove();
            if !inside.slip.stands(&alarm) {
                continue;
            }
            match alarm {
                Alarm::Module(tag) => {
                    self.ask(now, &mut inside, |now, gatekeeper, slip| gatekeeper.timer(now, tag, slip));
                }
                Alarm::Stop(inv, no) => {
                    if let Some(open) = inside.slip.open.get(&inv) {
                        let ticket = open.ticket.clone();
                        inside.slip.due.overdue.push(GiveUp { ticket, inv, no });
                    }
                }
            }
        }
        self.next.store(inside.slip.next().nanos(), Ordering::Relaxed);
        std::mem::take(&mut inside.slip.due)
    }

    /// The client is gone, or has its answer from elsewhere: nothing more is owed.
    pub fn gone(&self, now: Time, inv: InvId) -> Vec<GiveUp<T>> {
        let mut inside = self.inside();
        self.ask(now, &mut inside, |_, gatekeeper, slip| gatekeeper.expired(inv, slip));
        inside.slip.open.remove(&inv);
        std::mem::take(&mut inside.slip.due.unwanted)
    }

    pub fn listed(&self, now: Time, scope: Scope, list: &[Listed]) {
        self.ask(now, &mut self.inside(), |now, gatekeeper, _| gatekeeper.listed(now, scope, list));
    }

    pub fn counted(&self, now: Time, name: CountName, outcome: Outcome, total: f32) {
        self.ask(now, &mut self.inside(), |now, gatekeeper, _| gatekeeper.counted(now, name, outcome, total));
    }

    pub fn probed(&self, now: Time, worker: WorkerId, outcome: Outcome) {
        self.ask(now, &mut self.inside(), |now, gatekeeper, slip| {
            gatekeeper.probed(now, worker, outcome, slip)
        });
    }
}

/// Whether it came through without a panic.
fn guarded(what: impl FnOnce()) -> bool {
    let done = catch_unwind(AssertUnwindSafe(what)).is_ok();
    if !done {
        log!("the decisions panicked; the invocation at hand is errored");
    }
    done
}

#[cfg(test)]
mod tests;
