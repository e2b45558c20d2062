//! A controller's process: the state machines that the real one holds (consensus, configuration store, failure detector) tied together as
//! `crates/controller` ties them, without its sockets. What it wants done comes out as values.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use lynxstair::types::{Span, Time};
use lynxstair_config::json;
use lynxstair_consensus::{Action, Consensus, ConsensusConfig, PersistentState, RequestOutcome};
use lynxstair_control_state::command::{Command as Read, Operation};
use lynxstair_control_state::config_store::{CommandOutcome, ConfigStore};
use lynxstair_control_state::delta_log::DeltaLog;
use lynxstair_control_state::failure_detector::{FailureDetector, QuorumRole};
use lynxstair_control_state::instance_registry::InstanceRegistry;
use lynxstair_control_state::subscription::Subscription;
use lynxstair_protocol::consensus::Message;
use lynxstair_protocol::messages::{Bytes, Instance, ToProxy};

use super::deliberate_fault::DeliberateFault;
use super::linearizability::Version;

/// As in `crates/controller`: how long a call may wait for the majority.
const PATIENCE: Span = Span::from_millis(850);
/// A lease, where a deliberate fault answers by one.
const LEASE: Span = Span::from_millis(2_500);

/// What a caller asks of a controller.
#[derive(Clone, Debug)]
pub(crate) enum Ask {
    Operation(Operation),
    Read,
    Heartbeat(Instance),
    Delete(String),
}

/// What it says.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Answer {
    Status(u16),
    Holds(Option<Version>),
    Elsewhere(SocketAddr),
}

/// What the process wants done.
pub(crate) enum Out {
    Save(u64, PersistentState),
    Say(SocketAddr, Message),
    /// To each other controller.
    Pass(Vec<Instance>),
    /// To each edge that follows, or to one.
    Tell(Option<usize>, ToProxy),
    Answer(u64, Answer),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// Waits for its turn.
    Waits,
    /// Waits for word that this controller still leads.
    Reads(u64),
    Proposed(u64),
}

struct Order {
    call: u64,
    /// None: the configuration is read.
    change: Option<Read>,
    until: Time,
    step: Step,
    /// A majority has said that this controller still led after the order came.
    is_confirmed: bool,
}

pub(crate) struct Controller {
    me: SocketAddr,
    pub consensus: Consensus,
    pub store: ConfigStore,
    deltas: DeltaLog,
    pub detector: FailureDetector,
    orders: Vec<Order>,
    /// The edges that follow here.
    followers: BTreeMap<usize, Subscription>,
    zones: Vec<(String, String)>,
    fault: Option<DeliberateFault>,
    out: Vec<Out>,
}

impl Controller {
    pub fn start(
        now: Time,
        boot: ConsensusConfig,
        instances: &[Instance],
        heartbeat: Span,
        fault: Option<DeliberateFault>,
    ) -> Controller {
        let mut register = InstanceRegistry::default();
        register.restore(now, instances, heartbeat);
        let me = boot.me;
        #[cfg_attr(not(feature = "deliberate-faults"), expect(unused_mut))]
        let mut consensus = Consensus::new(now, boot);
        #[cfg(feature = "deliberate-faults")]
        {
            consensus.fault = fault.and_then(DeliberateFault::in_room);
        }
        let mut controller = Controller {
            me,
            consensus,
            store: ConfigStore::default(),
            deltas: DeltaLog::default(),
            detector: FailureDetector::new(now, register, heartbeat),
            orders: Vec::new(),
            followers: BTreeMap::new(),
            zones: super::ZONES.iter().map(|z| (z.to_string(), "r".to_string())).collect(),
            fault,
            out: Vec::new(),
        };
        controller.act(now);
        controller
    }

    pub fn take(&mut self) -> Vec<Out> {
        std::mem::take(&mut self.out)
    }

    pub fn waits(&self) -> bool {
        !self.orders.is_empty()
    }

    // ---- what it is told ----

    pub fn tick(&mut self, now: Time) {
        self.consensus.tick(now);
        self.act(now);
    }

    pub fn saved(&mut self, now: Time, number: u64) {
        self.consensus.on_persisted(now, number);
        self.act(now);
    }

    pub fn hear(&mut self, now: Time, from: SocketAddr, message: Message) {
        self.consensus.handle_message(now, from, message);
        self.consensus.on_peer_seen(now, from);
        self.act(now);
    }

    /// Another controller says that it is there.
    pub fn here(&mut self, now: Time, from: SocketAddr) {
        self.consensus.on_peer_seen(now, from);
        self.act(now);
    }

    /// What another controller heard of workers.
    pub fn hear_instances(&mut self, now: Time, from: SocketAddr, instances: &[Instance]) {
        let news = self.detector.apply_updates(now, instances);
        if !news.is_empty() && self.consensus.is_established_leader() {
            self.out.push(Out::Tell(None, ToProxy::Instances { instances: news, is_snapshot: false }));
        }
        self.consensus.on_peer_seen(now, from);
        self.act(now);
    }

    pub fn sweep(&mut self, now: Time) {
        self.stand(now);
        let instances = self.detector.detect_unresponsive(now);
        if !instances.is_empty() {
            self.out.push(Out::Pass(instances.clone()));
            self.out.push(Out::Tell(None, ToProxy::Instances { instances, is_snapshot: false }));
        }
    }

    fn stand(&mut self, now: Time) {
        let contact = match (self.consensus.has_quorum_contact(now), self.consensus.is_established_leader()) {
            (false, _) => QuorumRole::Isolated,
            (true, false) => QuorumRole::Follower,
            (true, true) => QuorumRole::Leader,
        };
        self.detector.set_quorum_role(now, contact);
    }

    pub fn follow(&mut self, now: Time, edge: usize, instances: bool) {
        self.followers.insert(edge, Subscription::default());
        if instances {
            let all = self.detector.registry().snapshot(now);
            self.out.push(Out::Tell(Some(edge), ToProxy::Instances { instances: all, is_snapshot: true }));
        }
    }

    pub fn unfollow(&mut self, edge: usize) {
        self.followers.remove(&edge);
    }

    pub fn ping(&mut self, now: Time, edge: usize, clock: u64, have: u64) {
        let Some(sent) = self.followers.get_mut(&edge) else { return };
        let leads = self.consensus.is_established_leader() && self.consensus.has_quorum_contact(now);
        let index = self.store.revision;
        sent.on_heartbeat(now, have);
        if let Some(over) = sent.due_update(now, index, leads, self.store.encoded_len()) {
            let page = self.deltas.encode_update(&self.store, over);
            sent.on_update_sent(now, page.len());
            self.out
                .push(Out::Tell(Some(edge), ToProxy::Config { revision: index, update: Bytes(page.into()) }));
        }
        let fresh = self.consensus.confirmed_at().map(|at| (now - at).nanos().div_ceil(1_000_000));
        self.out.push(Out::Tell(
            Some(edge),
            ToProxy::HeartbeatAck {
                clock,
                revision: index,
                confirmed_ms_ago: fresh,
                is_leader: leads,
                knows_instances: false,
            },
        ));
    }

    // ---- callers ----

    pub fn call(&mut self, now: Time, call: u64, ask: Ask) {
        let answer = match &ask {
            Ask::Heartbeat(instance) => {
                self.stand(now);
                Some(self.detector.record_heartbeat(now, instance))
            }
            Ask::Delete(id) => {
                self.stand(now);
                Some(self.detector.deregister(now, id))
            }
            Ask::Operation(_) | Ask::Read => None,
        };
        let Some(answer) = answer else {
            let change = match ask {
                Ask::Operation(change) => {
                    let mut order = Read::new(change);
                    order.parse();
                    Some(order)
                }
                _ => None,
            };
            let order = Order { call, change, until: now + PATIENCE, step: Step::Waits, is_confirmed: false };
            self.orders.push(order);
            return self.work(now);
        };
        if let Some(instance) = answer.instance {
            self.out.push(Out::Pass(vec![instance.clone()]));
            if answer.is_changed {
                self.out.push(Out::Tell(
                    None,
                    ToProxy::Instances { instances: vec![instance], is_snapshot: false },
                ));
            }
        }
        let is_promised = answer.is_acknowledged || self.fault == Some(DeliberateFault::CutOffBeats);
        self.out.push(Out::Answer(call, Answer::Status(if is_promised { 200 } else { 503 })));
    }

    /// Whoever asked has gone: taken late, an order would undo what came after it.
    pub fn hangs_up(&mut self, call: u64) {
        self.orders.retain(|o| o.call != call || o.step != Step::Waits);
    }

    /// Goes on with the orders that wait for their turn; lets go of those that waited for too long.
    pub fn work(&mut self, now: Time) {
        for mut order in std::mem::take(&mut self.orders) {
            let answer = match order.step {
                _ if now >= order.until => Some(Answer::Status(503)),
                Step::Waits => self.turn(now, &mut order),
                _ => None,
            };
            match answer {
                Some(answer) => self.out.push(Out::Answer(order.call, answer)),
                None => self.orders.push(order),
            }
        }
        self.act(now);
    }

    fn turn(&mut self, now: Time, order: &mut Order) -> Option<Answer> {
        let leads = self.consensus.is_established_leader();
        if !leads && self.consensus.leader() != Some(self.me) {
            let leader = self.consensus.leader().filter(|_| self.consensus.has_quorum_contact(now));
            return Some(leader.map_or(Answer::Status(503), Answer::Elsewhere));
        }
        if leads && !self.consensus.has_quorum_contact(now) && self.fault != Some(DeliberateFault::LeaseRead)
        {
            return Some(Answer::Status(503));
        }
        if !leads || self.consensus.has_uncommitted() {
            return None;
        }
        let is_confirmed = order.is_confirmed || self.may_by_lease(now);
        let Some(change) = &order.change else {
            return if is_confirmed {
                Some(Answer::Holds(version(&self.store)))
            } else {
                self.confirm(now, order)
            };
        };
        match self.store.apply(change, &self.zones) {
            CommandOutcome::Accepted(store) => {
                let number = self.consensus.propose(now, store.encode())?;
                if self.fault == Some(DeliberateFault::EarlyAnswer) {
                    return Some(Answer::Status(200));
                }
                order.step = Step::Proposed(number);
                None
            }
            CommandOutcome::Unknown => Some(Answer::Status(503)),
            CommandOutcome::AlreadyApplied if is_confirmed => Some(Answer::Status(200)),
            CommandOutcome::Rejected(rejection) if is_confirmed => Some(Answer::Status(rejection.status())),
            CommandOutcome::AlreadyApplied | CommandOutcome::Rejected(_) => self.confirm(now, order),
        }
    }

    fn confirm(&mut self, now: Time, order: &mut Order) -> Option<Answer> {
        match self.consensus.request_read(now) {
            Some(number) => order.step = Step::Reads(number),
            None => return Some(Answer::Status(503)),
        }
        None
    }

    fn may_by_lease(&self, now: Time) -> bool {
        self.fault == Some(DeliberateFault::LeaseRead)
            && self.consensus.confirmed_at().is_some_and(|at| now - at < LEASE)
    }

    // ---- what the agreement wants ----

    fn act(&mut self, now: Time) {
        loop {
            let todo = self.consensus.take_actions();
            if todo.is_empty() {
                return;
            }
            for item in todo {
                match item {
                    Action::Persist { number, state: record } => self.out.push(Out::Save(number, record)),
                    Action::Send { to, message } => self.out.push(Out::Say(to, message)),
                    Action::Committed { config: state, .. } => self.committed(now, &state),
                    Action::ProposalDone { number, outcome } => {
                        self.settled(number, outcome == RequestOutcome::Confirmed)
                    }
                    Action::ReadDone { number, outcome } => {
                        self.may_read(now, number, outcome == RequestOutcome::Confirmed)
                    }
                }
            }
        }
    }

    fn committed(&mut self, now: Time, state: &Bytes) {
        let Some(store) = self.store.decode_next(&state.0) else { return };
        if store.revision <= self.store.revision {
            return;
        }
        self.deltas.record(&self.store, &store);
        self.store = store;
        if !self.consensus.is_established_leader() {
            return;
        }
        let index = self.store.revision;
        for (edge, sent) in &mut self.followers {
            if let Some(over) = sent.due_update(now, index, true, self.store.encoded_len()) {
                let page = self.deltas.encode_update(&self.store, over);
                sent.on_update_sent(now, page.len());
                self.out.push(Out::Tell(
                    Some(*edge),
                    ToProxy::Config { revision: index, update: Bytes(page.into()) },
                ));
            }
        }
    }

    fn settled(&mut self, number: u64, is_committed: bool) {
        let Some(which) = self.orders.iter().position(|o| o.step == Step::Proposed(number)) else { return };
        let order = self.orders.remove(which);
        let status = if is_committed { 200 } else { 503 };
        self.out.push(Out::Answer(order.call, Answer::Status(status)));
    }

    fn may_read(&mut self, now: Time, number: u64, may: bool) {
        let Some(which) = self.orders.iter().position(|o| o.step == Step::Reads(number)) else { return };
        let mut order = self.orders.remove(which);
        (order.step, order.is_confirmed) = (Step::Waits, true);
        let answer = match &order.change {
            _ if !may => Some(Answer::Status(503)),
            None => Some(Answer::Holds(version(&self.store))),
            // Ruled on again by the configuration as it is now.
            Some(_) => self.turn(now, &mut order),
        };
        match answer {
            Some(answer) => self.out.push(Out::Answer(order.call, answer)),
            None => self.orders.push(order),
        }
    }
}

/// What a reader of the configuration sees: its number, and which change made it.
pub(crate) fn version(store: &ConfigStore) -> Option<Version> {
    let value = json::parse(store.to_json()?.as_bytes()).ok()?;
    let all = json::as_object(&value, "store").ok()?;
    let mark = json::get(all, "mark").and_then(|v| json::as_number(v, "mark").ok())?;
    Some((store.generation, mark as u32))
}
