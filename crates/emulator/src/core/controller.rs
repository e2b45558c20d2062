//! A controller process without I/O: the state machines of consensus, configuration store and failure
//! detector, combined as in `crates/controller`. Returns the actions to execute as [`Output`] values.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use lynxstair::types::{Span, Time};
use lynxstair_config::json;
use lynxstair_consensus::{Action, Consensus, ConsensusConfig, PersistentState, RequestOutcome};
use lynxstair_control_state::command::{Command, Operation};
use lynxstair_control_state::config_store::{CommandOutcome, ConfigStore};
use lynxstair_control_state::delta_log::DeltaLog;
use lynxstair_control_state::failure_detector::{FailureDetector, QuorumRole};
use lynxstair_control_state::instance_registry::InstanceRegistry;
use lynxstair_control_state::subscription::Subscription;
use lynxstair_protocol::consensus::Message;
use lynxstair_protocol::messages::{Bytes, Instance, ToProxy};

use super::deliberate_fault::DeliberateFault;
use super::linearizability::Version;

/// Time-out of a call, as in `crates/controller`.
const CALL_TIMEOUT: Span = Span::from_millis(850);
/// Duration of the read lease that [`DeliberateFault::LeaseRead`] relies on.
const READ_LEASE: Span = Span::from_millis(2_500);

/// Call of an operator or a worker.
#[derive(Clone, Debug)]
pub(crate) enum ClientCall {
    Operation(Operation),
    Read,
    Heartbeat(Instance),
    /// Deregistration of the worker instance with this id.
    Delete(String),
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Answer {
    /// HTTP status.
    Status(u16),
    /// Answer to a read; `None` if there is no configuration yet.
    Configuration(Option<Version>),
    /// Address of the leader.
    Redirect(SocketAddr),
}

/// Action that the simulation executes for the process.
pub(crate) enum Output {
    /// Writes a state to the disk, under the number of the write.
    Persist(u64, PersistentState),
    SendToPeer(SocketAddr, Message),
    /// Sends reports on worker instances to all known controllers.
    BroadcastInstances(Vec<Instance>),
    /// Sends a message to all proxies, or to one.
    SendToProxies(Option<usize>, ToProxy),
    /// Answers the call with this id.
    Answer(u64, Answer),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Queued,
    /// Waits for the read with this number to confirm the leadership.
    ConfirmingLeadership(u64),
    /// Waits for the proposal with this number to be committed.
    Proposed(u64),
}

/// A read or command that waits for its answer.
struct PendingCall {
    call: u64,
    /// `None` for a read.
    command: Option<Command>,
    deadline: Time,
    step: Step,
    /// A quorum has confirmed the leadership of this controller since the call arrived.
    is_confirmed: bool,
}

pub(crate) struct Controller {
    me: SocketAddr,
    pub consensus: Consensus,
    pub store: ConfigStore,
    deltas: DeltaLog,
    pub detector: FailureDetector,
    pending_calls: Vec<PendingCall>,
    /// By the number of the proxy.
    subscriptions: BTreeMap<usize, Subscription>,
    zones: Vec<(String, String)>,
    fault: Option<DeliberateFault>,
    outputs: Vec<Output>,
}

impl Controller {
    pub fn start(
        now: Time,
        config: ConsensusConfig,
        instances: &[Instance],
        heartbeat_period: Span,
        fault: Option<DeliberateFault>,
    ) -> Controller {
        let mut registry = InstanceRegistry::default();
        registry.restore(now, instances, heartbeat_period);
        let me = config.me;
        #[cfg_attr(not(feature = "deliberate-faults"), expect(unused_mut))]
        let mut consensus = Consensus::new(now, config);
        #[cfg(feature = "deliberate-faults")]
        {
            consensus.fault = fault.and_then(DeliberateFault::consensus_fault);
        }
        let mut controller = Controller {
            me,
            consensus,
            store: ConfigStore::default(),
            deltas: DeltaLog::default(),
            detector: FailureDetector::new(now, registry, heartbeat_period),
            pending_calls: Vec::new(),
            subscriptions: BTreeMap::new(),
            zones: super::ZONES.iter().map(|z| (z.to_string(), "r".to_string())).collect(),
            fault,
            outputs: Vec::new(),
        };
        controller.drain_consensus_actions(now);
        controller
    }

    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    pub fn has_pending_calls(&self) -> bool {
        !self.pending_calls.is_empty()
    }

    pub fn tick(&mut self, now: Time) {
        self.consensus.tick(now);
        self.drain_consensus_actions(now);
    }

    pub fn on_persisted(&mut self, now: Time, number: u64) {
        self.consensus.on_persisted(now, number);
        self.drain_consensus_actions(now);
    }

    pub fn handle_consensus_message(&mut self, now: Time, from: SocketAddr, message: Message) {
        self.consensus.handle_message(now, from, message);
        self.consensus.on_peer_seen(now, from);
        self.drain_consensus_actions(now);
    }

    pub fn handle_peer_heartbeat(&mut self, now: Time, from: SocketAddr) {
        self.consensus.on_peer_seen(now, from);
        self.drain_consensus_actions(now);
    }

    /// Handles reports on worker instances from another controller.
    pub fn handle_instances(&mut self, now: Time, from: SocketAddr, instances: &[Instance]) {
        let changed = self.detector.apply_updates(now, instances);
        if !changed.is_empty() && self.consensus.is_established_leader() {
            self.outputs.push(Output::SendToProxies(
                None,
                ToProxy::Instances { instances: changed, is_snapshot: false },
            ));
        }
        self.consensus.on_peer_seen(now, from);
        self.drain_consensus_actions(now);
    }

    pub fn detect_unresponsive(&mut self, now: Time) {
        self.update_quorum_role(now);
        let instances = self.detector.detect_unresponsive(now);
        if !instances.is_empty() {
            self.outputs.push(Output::BroadcastInstances(instances.clone()));
            self.outputs
                .push(Output::SendToProxies(None, ToProxy::Instances { instances, is_snapshot: false }));
        }
    }

    fn update_quorum_role(&mut self, now: Time) {
        let role = match (self.consensus.has_quorum_contact(now), self.consensus.is_established_leader()) {
            (false, _) => QuorumRole::Isolated,
            (true, false) => QuorumRole::Follower,
            (true, true) => QuorumRole::Leader,
        };
        self.detector.set_quorum_role(now, role);
    }

    pub fn subscribe(&mut self, now: Time, proxy: usize, wants_instances: bool) {
        self.subscriptions.insert(proxy, Subscription::default());
        if wants_instances {
            let instances = self.detector.registry().snapshot(now);
            self.outputs.push(Output::SendToProxies(
                Some(proxy),
                ToProxy::Instances { instances, is_snapshot: true },
            ));
        }
    }

    pub fn unsubscribe(&mut self, proxy: usize) {
        self.subscriptions.remove(&proxy);
    }

    pub fn handle_proxy_heartbeat(&mut self, now: Time, proxy: usize, clock: u64, held_revision: u64) {
        let Some(subscription) = self.subscriptions.get_mut(&proxy) else { return };
        let is_leader = self.consensus.is_established_leader() && self.consensus.has_quorum_contact(now);
        let revision = self.store.revision;
        subscription.on_heartbeat(now, held_revision);
        if let Some(base) = subscription.due_update(now, revision, is_leader, self.store.encoded_len()) {
            let update = self.deltas.encode_update(&self.store, base);
            subscription.on_update_sent(now, update.len());
            self.outputs.push(Output::SendToProxies(
                Some(proxy),
                ToProxy::Config { revision, update: Bytes(update.into()) },
            ));
        }
        let confirmed_ms_ago = self.consensus.confirmed_at().map(|at| (now - at).nanos().div_ceil(1_000_000));
        self.outputs.push(Output::SendToProxies(
            Some(proxy),
            ToProxy::HeartbeatAck {
                clock,
                revision,
                confirmed_ms_ago,
                is_leader,
                knows_instances: false,
                quota: None,
            },
        ));
    }

    pub fn handle_call(&mut self, now: Time, call: u64, request: ClientCall) {
        let outcome = match &request {
            ClientCall::Heartbeat(instance) => {
                self.update_quorum_role(now);
                Some(self.detector.record_heartbeat(now, instance))
            }
            ClientCall::Delete(id) => {
                self.update_quorum_role(now);
                Some(self.detector.deregister(now, id))
            }
            ClientCall::Operation(_) | ClientCall::Read => None,
        };
        let Some(outcome) = outcome else {
            let command = match request {
                ClientCall::Operation(operation) => {
                    let mut command = Command::new(operation);
                    command.parse();
                    Some(command)
                }
                _ => None,
            };
            let pending = PendingCall {
                call,
                command,
                deadline: now + CALL_TIMEOUT,
                step: Step::Queued,
                is_confirmed: false,
            };
            self.pending_calls.push(pending);
            return self.process_calls(now);
        };
        if let Some(instance) = outcome.instance {
            self.outputs.push(Output::BroadcastInstances(vec![instance.clone()]));
            if outcome.is_changed {
                self.outputs.push(Output::SendToProxies(
                    None,
                    ToProxy::Instances { instances: vec![instance], is_snapshot: false },
                ));
            }
        }
        let is_acknowledged = outcome.is_acknowledged || self.fault == Some(DeliberateFault::CutOffBeats);
        self.outputs.push(Output::Answer(call, Answer::Status(if is_acknowledged { 200 } else { 503 })));
    }

    /// Drops a queued call whose caller has given up. Applied late, its command could undo a newer one.
    pub fn cancel_call(&mut self, call: u64) {
        self.pending_calls.retain(|pending| pending.call != call || pending.step != Step::Queued);
    }

    /// Processes the queued calls, and answers 503 to calls whose deadline has passed.
    pub fn process_calls(&mut self, now: Time) {
        for mut pending in std::mem::take(&mut self.pending_calls) {
            let answer = match pending.step {
                _ if now >= pending.deadline => Some(Answer::Status(503)),
                Step::Queued => self.process_call(now, &mut pending),
                _ => None,
            };
            match answer {
                Some(answer) => self.outputs.push(Output::Answer(pending.call, answer)),
                None => self.pending_calls.push(pending),
            }
        }
        self.drain_consensus_actions(now);
    }

    /// Returns the answer to a call, or `None` while it is pending.
    fn process_call(&mut self, now: Time, pending: &mut PendingCall) -> Option<Answer> {
        let is_leader = self.consensus.is_established_leader();
        if !is_leader && self.consensus.leader() != Some(self.me) {
            let leader = self.consensus.leader().filter(|_| self.consensus.has_quorum_contact(now));
            return Some(leader.map_or(Answer::Status(503), Answer::Redirect));
        }
        if is_leader
            && !self.consensus.has_quorum_contact(now)
            && self.fault != Some(DeliberateFault::LeaseRead)
        {
            return Some(Answer::Status(503));
        }
        if !is_leader || self.consensus.has_uncommitted() {
            return None;
        }
        let is_confirmed = pending.is_confirmed || self.has_read_lease(now);
        let Some(command) = &pending.command else {
            return if is_confirmed {
                Some(Answer::Configuration(config_version(&self.store)))
            } else {
                self.confirm_leadership(now, pending)
            };
        };
        match self.store.apply(command, &self.zones) {
            CommandOutcome::Accepted(store) => {
                let number = self.consensus.propose(now, store.encode())?;
                if self.fault == Some(DeliberateFault::EarlyAnswer) {
                    return Some(Answer::Status(200));
                }
                pending.step = Step::Proposed(number);
                None
            }
            CommandOutcome::Unknown => Some(Answer::Status(503)),
            CommandOutcome::AlreadyApplied if is_confirmed => Some(Answer::Status(200)),
            CommandOutcome::Rejected(rejection) if is_confirmed => Some(Answer::Status(rejection.status())),
            CommandOutcome::AlreadyApplied | CommandOutcome::Rejected(_) => {
                self.confirm_leadership(now, pending)
            }
        }
    }

    /// Starts a read index round. Returns an answer only if that fails.
    fn confirm_leadership(&mut self, now: Time, pending: &mut PendingCall) -> Option<Answer> {
        match self.consensus.request_read(now) {
            Some(number) => pending.step = Step::ConfirmingLeadership(number),
            None => return Some(Answer::Status(503)),
        }
        None
    }

    fn has_read_lease(&self, now: Time) -> bool {
        self.fault == Some(DeliberateFault::LeaseRead)
            && self.consensus.confirmed_at().is_some_and(|at| now - at < READ_LEASE)
    }

    fn drain_consensus_actions(&mut self, now: Time) {
        loop {
            let actions = self.consensus.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    Action::Persist { number, state } => self.outputs.push(Output::Persist(number, state)),
                    Action::Send { to, message } => self.outputs.push(Output::SendToPeer(to, message)),
                    Action::Committed { config, .. } => self.on_committed(now, &config),
                    Action::ProposalDone { number, outcome } => {
                        self.on_proposal_done(number, outcome == RequestOutcome::Confirmed)
                    }
                    Action::ReadDone { number, outcome } => {
                        self.on_read_done(now, number, outcome == RequestOutcome::Confirmed)
                    }
                }
            }
        }
    }

    fn on_committed(&mut self, now: Time, config: &Bytes) {
        let Some(store) = self.store.decode_next(&config.0) else { return };
        if store.revision <= self.store.revision {
            return;
        }
        self.deltas.record(&self.store, &store);
        self.store = store;
        if !self.consensus.is_established_leader() {
            return;
        }
        let revision = self.store.revision;
        for (proxy, subscription) in &mut self.subscriptions {
            if let Some(base) = subscription.due_update(now, revision, true, self.store.encoded_len()) {
                let update = self.deltas.encode_update(&self.store, base);
                subscription.on_update_sent(now, update.len());
                self.outputs.push(Output::SendToProxies(
                    Some(*proxy),
                    ToProxy::Config { revision, update: Bytes(update.into()) },
                ));
            }
        }
    }

    fn on_proposal_done(&mut self, number: u64, is_committed: bool) {
        let Some(index) =
            self.pending_calls.iter().position(|pending| pending.step == Step::Proposed(number))
        else {
            return;
        };
        let pending = self.pending_calls.remove(index);
        let status = if is_committed { 200 } else { 503 };
        self.outputs.push(Output::Answer(pending.call, Answer::Status(status)));
    }

    fn on_read_done(&mut self, now: Time, number: u64, is_confirmed: bool) {
        let Some(index) =
            self.pending_calls.iter().position(|pending| pending.step == Step::ConfirmingLeadership(number))
        else {
            return;
        };
        let mut pending = self.pending_calls.remove(index);
        (pending.step, pending.is_confirmed) = (Step::Queued, true);
        let answer = match &pending.command {
            _ if !is_confirmed => Some(Answer::Status(503)),
            None => Some(Answer::Configuration(config_version(&self.store))),
            // The configuration may have changed since the command was first evaluated.
            Some(_) => self.process_call(now, &mut pending),
        };
        match answer {
            Some(answer) => self.outputs.push(Output::Answer(pending.call, answer)),
            None => self.pending_calls.push(pending),
        }
    }
}

/// Returns the version that a reader of the configuration observes.
pub(crate) fn config_version(store: &ConfigStore) -> Option<Version> {
    let value = json::parse(store.to_json()?.as_bytes()).ok()?;
    let object = json::as_object(&value, "store").ok()?;
    let mark = json::get(object, "mark").and_then(|v| json::as_number(v, "mark").ok())?;
    Some((store.generation, mark as u32))
}
