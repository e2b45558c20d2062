//! Exhaustive check of small cases with the model checker `stateright`, run on the real consensus. It
//! explores every order of deliveries, message losses, syncs, campaigns, kills, power failures, emptied
//! disks, proposals and reads within the budget of a case. The section "Exhaustive check" of
//! docs/design/consensus.md describes its scope.
//!
//! Each visited state is reached only by calls of the real consensus, so every violation found is real.
//! States are compared by fingerprints, which omit some timing (see `canonical`): two merged states can
//! differ in when something happens next.

#![allow(clippy::too_many_lines, reason = "one arm for each event of the model")]
#![allow(clippy::needless_pass_by_value, reason = "cases are constructed in the calls")]

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use lynxstair::types::{Span, Time};
use lynxstair_consensus::{
    Action, Consensus, ConsensusConfig, Fault, NodeAddress, PersistentState, RequestOutcome,
};
use lynxstair_protocol::consensus::{LogId, Member, Message, ReplicatedState};
use stateright::{Checker, HasDiscoveries, Model, Property};

/// Violation of a safety property.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Violation {
    TwoLeaders,
    DivergingStates,
    LostChange,
    StaleRead,
    CommitWithoutQuorum,
    ElectionWithoutQuorum,
}

const ONE_LEADER_PER_TERM: &str = "at most one leader per term (one established leader if disks are emptied)";
const NO_DIVERGENCE: &str = "committed states form one chain that later leaders extend";
const NO_LOST_CHANGES: &str = "acknowledged changes are not lost";
const NO_STALE_READS: &str = "a read returns all changes acknowledged before it";
const COMMIT_QUORUM: &str = "commits need synced copies on the disks of a majority of the voters";
const ELECTION_QUORUM: &str = "elections need synced votes on the disks of a majority of the voters";

/// Faults of the caller or the disk that the consensus does not tolerate, injected to verify that the check
/// detects their effects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EnvironmentFault {
    /// A disk reports each write as synced, but loses the last one on power failure.
    SyncNotDurable,
    /// An emptied disk gets its old identity.
    ReusedDiskIdentity,
    /// An established leader answers reads at once, without a confirmation by a quorum.
    UnconfirmedReads,
}

/// Number of times that each kind of event may still happen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Budget {
    /// Election time-outs. The pre-vote counts as granted, as it does not bind the voters.
    campaigns: u8,
    /// Timer events of a leader, for the next round or the periodic checks.
    rounds: u8,
    /// Pauses of a leader for a second.
    pauses: u8,
    /// Process kills. The last write still reaches the disk.
    kills: u8,
    /// Power failures. Unsynced writes are lost.
    power_failures: u8,
    emptied_disks: u8,
    proposals: u8,
    reads: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Event {
    Deliver(usize),
    Sync(usize),
    Campaign(usize),
    Round(usize),
    Pause(usize),
    Kill(usize),
    PowerFailure(usize),
    EmptyDisk(usize),
    Propose(usize),
    Read(usize),
}

#[derive(Clone, Debug)]
struct Replica {
    consensus: Consensus,
    /// Clock of this replica, independent of the others.
    now: Time,
    disk: Option<PersistentState>,
    /// Content of the disk after a power failure. Equals `disk` unless `SyncNotDurable` is injected.
    durable: Option<PersistentState>,
    writes: Vec<(u64, PersistentState)>,
    committed: Vec<u8>,
    pending_proposal: Option<(u64, u8)>,
    pending_reads: Vec<(u64, Vec<u8>)>,
    /// Position of the last requested write.
    last_write: LogId,
    /// Recipient, term and stored position of its last reply to a leader.
    last_reply: Option<(NodeAddress, u64, LogId)>,
    /// Number of starts with an empty disk.
    empty_starts: u64,
    /// Hash of the other fields, with the consensus in its canonical form.
    fingerprint: u64,
}

#[derive(Clone, Debug)]
struct Packet {
    from: usize,
    to: usize,
    message: Arc<Message>,
    fingerprint: u64,
}

/// State written by a leader, with the positions of all its predecessors.
#[derive(Clone, Debug, PartialEq, Hash)]
struct WrittenState {
    voters: Vec<Member>,
    outgoing: Option<Member>,
    config: Vec<u8>,
    predecessors: Vec<LogId>,
}

/// Events observed in a run, and the violations found.
#[derive(Clone, Debug, Default, PartialEq, Hash)]
struct History {
    written: BTreeMap<LogId, WrittenState>,
    committed: BTreeMap<LogId, Vec<u8>>,
    leaders: BTreeMap<u64, usize>,
    /// Disks that have synced each state, and each vote by term and candidate.
    copies: BTreeMap<LogId, BTreeSet<Member>>,
    votes: BTreeMap<(u64, NodeAddress), BTreeSet<Member>>,
    acked: Vec<u8>,
    changes: u8,
    reads_done: u8,
    violations: BTreeSet<Violation>,
}

#[derive(Clone, Debug)]
struct Cluster {
    replicas: Vec<Arc<Replica>>,
    network: Vec<Packet>,
    history: History,
    budget: Budget,
}

impl Hash for Cluster {
    fn hash<H: Hasher>(&self, to: &mut H) {
        for replica in &self.replicas {
            replica.fingerprint.hash(to);
        }
        for packet in &self.network {
            (packet.from, packet.to, packet.fingerprint).hash(to);
        }
        self.history.hash(to);
        self.budget.hash(to);
    }
}

impl PartialEq for Cluster {
    fn eq(&self, other: &Cluster) -> bool {
        let fingerprints = |c: &Cluster| -> Vec<u64> {
            c.replicas
                .iter()
                .map(|r| r.fingerprint)
                .chain(c.network.iter().map(|p| hash_of((p.from, p.to, p.fingerprint))))
                .collect()
        };
        fingerprints(self) == fingerprints(other)
            && self.history == other.history
            && self.budget == other.budget
    }
}

/// Case of the model: initial state, budget of events and injected faults.
#[derive(Clone, Debug)]
struct Case {
    start: Start,
    budget: Budget,
    fault: Option<Fault>,
    environment_fault: Option<EnvironmentFault>,
    /// Maximum number of messages in flight from one replica to another. Beyond it the oldest `Append`
    /// without a state is dropped, or else the oldest message.
    link_capacity: usize,
    /// Maximum number of events from the initial state.
    depth: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Start {
    /// Three founding members without a leader.
    Bootstrapped,
    /// Replica 0 leads.
    WithLeader,
    /// Replica 0 leads, and replica 2 lacks an acknowledged change.
    WithLaggingFollower,
    /// Replica 0 leads, and replica 3 is an up-to-date learner.
    WithLearner,
}

fn node(n: usize) -> NodeAddress {
    NodeAddress::from(([10, 0, 0, n as u8 + 1], 80))
}

fn replica_at(node: NodeAddress) -> usize {
    match node {
        NodeAddress::V4(a) => a.ip().octets()[3] as usize - 1,
        NodeAddress::V6(_) => unreachable!("no such address here"),
    }
}

fn hash_of(what: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    what.hash(&mut hasher);
    hasher.finish()
}

/// Returns the debug text of a consensus in a form that merges equivalent states: each time is replaced by
/// its rank among the times of this consensus, which compares times only with each other, and the values of
/// the other `MARKERS` are removed. These only affect how long a replica waits, or number its writes and
/// requests. `drawn`, `patience` and `saves` match no field of the current `Consensus`.
fn canonical(consensus: &Consensus, now: Time) -> String {
    let text = format!("{consensus:?}");
    let mut times: Vec<u64> = text.split("Time(").skip(1).filter_map(number_before(')')).collect();
    times.push(now.nanos());
    times.sort_unstable();
    times.dedup();
    const MARKERS: [(&str, char); 6] = [
        ("Time(", ')'),
        ("seed: ", ','),
        ("drawn: ", ','),
        ("patience: Span(", ')'),
        ("saves: ", ','),
        ("number: ", ','),
    ];
    let mut markers: Vec<(usize, &str, char)> = MARKERS
        .iter()
        .flat_map(|(marker, end)| text.match_indices(marker).map(|(at, marker)| (at, marker, *end)))
        .collect();
    markers.sort_unstable();
    let (mut out, mut done) = (String::with_capacity(text.len()), 0);
    for (at, marker, end) in markers {
        let from = at + marker.len();
        let to = from + text[from..].find(end).unwrap_or(0);
        out.push_str(&text[done..from]);
        if marker == "Time(" {
            let rank = text[from..to].parse().ok().and_then(|t: u64| times.binary_search(&t).ok());
            out.extend(rank.and_then(|rank| char::from_digit(rank as u32, 36)));
        }
        done = to;
    }
    out.push_str(&text[done..]);
    out
}

fn number_before(end: char) -> impl Fn(&str) -> Option<u64> {
    move |text| text.split(end).next()?.parse().ok()
}

impl Replica {
    fn start(&mut self, me: usize, bootstrap: bool, fault: Option<Fault>) {
        if self.disk.is_none() {
            self.empty_starts += 1;
        }
        let seeds = [node(0), node(1), node(2)];
        self.consensus =
            Consensus::new(self.now, config(me, &seeds, self.disk.clone(), bootstrap, self.empty_starts));
        self.consensus.fault = fault;
        self.writes.clear();
        self.committed.clear();
        self.pending_proposal = None;
        self.pending_reads.clear();
        self.last_write = self.disk.as_ref().map_or(LogId::default(), |d| d.last);
        self.last_reply = None;
    }

    /// Returns `true` if a reply carries no new stored position. In a case without reads such a reply only
    /// shows the leader that the replica is reachable, so it is dropped to reduce the number of states.
    fn is_redundant_reply(&mut self, to: NodeAddress, message: &Message) -> bool {
        let &Message::AppendReply { term, stored, .. } = message else { return false };
        let last =
            self.writes.last().map(|(_, written)| written).or(self.disk.as_ref()).map(|written| written.last);
        if last.is_some_and(|last| stored < last) {
            return true;
        }
        self.last_reply.replace((to, term, stored)) == Some((to, term, stored))
    }

    fn leads(&self, me: usize) -> bool {
        self.consensus.leader() == Some(node(me))
    }
}

/// Returns start-up parameters with a catch-up time so short that a voter without a recent reply is
/// replaced at once, as safety must not depend on that time.
fn config(
    me: usize,
    seeds: &[NodeAddress],
    on_disk: Option<PersistentState>,
    bootstrap: bool,
    empty_starts: u64,
) -> ConsensusConfig<'_> {
    let catch_up_time = Span::from_nanos(2);
    ConsensusConfig {
        me: node(me),
        seeds,
        rng_seed: me as u64 + 1000 * empty_starts,
        stored: on_disk,
        bootstrap,
        tolerated_disk_losses: 1,
        catch_up_time,
    }
}

impl Cluster {
    fn new(case: &Case) -> Cluster {
        let replicas = if case.start == Start::WithLearner { 4 } else { 3 };
        let mut cluster = Cluster {
            replicas: Vec::new(),
            network: Vec::new(),
            history: History::default(),
            budget: Budget::default(),
        };
        let now = Time::from_nanos(1_000_000_000);
        for me in 0..replicas {
            let seeds = [node(0), node(1), node(2)];
            let is_founder = me < 3;
            let consensus = Consensus::new(now, config(me, &seeds, None, is_founder, 1));
            let (writes, pending_reads) = (Vec::new(), Vec::new());
            let replica = Replica {
                consensus,
                now,
                disk: None,
                durable: None,
                writes,
                committed: Vec::new(),
                pending_proposal: None,
                pending_reads,
                last_write: LogId::default(),
                last_reply: None,
                empty_starts: 1,
                fingerprint: 0,
            };
            cluster.replicas.push(Arc::new(replica));
            Arc::make_mut(&mut cluster.replicas[me]).consensus.fault = case.fault;
            cluster.perform_actions(case, me, false);
        }
        cluster.settle(case, &[]);
        if case.start != Start::Bootstrapped {
            cluster.budget.campaigns = 1;
            cluster.step(case, Event::Campaign(0));
            cluster.settle(case, &[]);
            assert!(cluster.replicas[0].consensus.is_established_leader(), "the case starts with a leader");
        }
        match case.start {
            Start::Bootstrapped | Start::WithLeader | Start::WithLearner => {}
            Start::WithLaggingFollower => {
                cluster.budget.proposals = 1;
                cluster.step(case, Event::Propose(0));
                cluster.settle(case, &[2]);
                assert_eq!(cluster.history.acked, [1], "the case starts with an acknowledged change");
            }
        }
        cluster.network.clear();
        cluster.budget = case.budget;
        cluster
    }

    /// Completes all writes and deliveries, and drops messages to and from partitioned replicas.
    fn settle(&mut self, case: &Case, partitioned: &[usize]) {
        loop {
            self.network.retain(|p| !partitioned.contains(&p.from) && !partitioned.contains(&p.to));
            if let Some(replica) = (0..self.replicas.len()).find(|n| !self.replicas[*n].writes.is_empty()) {
                self.step(case, Event::Sync(replica));
            } else if !self.network.is_empty() {
                self.step(case, Event::Deliver(0));
            } else {
                return;
            }
        }
    }

    fn step(&mut self, case: &Case, event: Event) {
        let index = match event {
            Event::Deliver(at) => self.network[at].to,
            Event::Sync(replica)
            | Event::Campaign(replica)
            | Event::Round(replica)
            | Event::Pause(replica)
            | Event::Kill(replica) => replica,
            Event::PowerFailure(replica)
            | Event::EmptyDisk(replica)
            | Event::Propose(replica)
            | Event::Read(replica) => replica,
        };
        let was_leading = self.replicas[index].leads(index);
        let Cluster { replicas, network, history, budget } = self;
        let replica = Arc::make_mut(&mut replicas[index]);
        match event {
            Event::Deliver(at) => {
                let packet = network.remove(at);
                replica.consensus.handle_message(
                    replica.now,
                    node(packet.from),
                    packet.message.as_ref().clone(),
                );
            }
            Event::Sync(_) => {
                let (number, written) = replica.writes.remove(0);
                let own = Member { node: node(index), disk: written.disk };
                if written.last != LogId::default() {
                    history.copies.entry(written.last).or_default().insert(own);
                }
                if let Some(to) = written.vote {
                    history.votes.entry((written.term, to)).or_default().insert(own);
                }
                let is_not_durable = case.environment_fault == Some(EnvironmentFault::SyncNotDurable);
                replica.durable = if is_not_durable { replica.disk.take() } else { Some(written.clone()) };
                replica.disk = Some(written);
                replica.consensus.on_persisted(replica.now, number);
            }
            Event::Campaign(_) => {
                budget.campaigns -= 1;
                // `TimeoutNow` starts an election at once, as a time-out with a granted pre-vote does.
                let term = replica.consensus.term();
                replica.consensus.handle_message(
                    replica.now,
                    node((index + 1) % 3),
                    Message::TimeoutNow { term },
                );
            }
            Event::Round(_) => {
                budget.rounds -= 1;
                replica.now = replica.consensus.next_due();
                replica.consensus.tick(replica.now);
            }
            Event::Pause(_) => {
                budget.pauses -= 1;
                replica.now = replica.now + Span::from_millis(1_000);
                replica.consensus.tick(replica.now);
            }
            Event::Kill(_) => {
                budget.kills -= 1;
                if let Some((_, written)) = replica.writes.pop() {
                    replica.durable = Some(written.clone());
                    replica.disk = Some(written);
                }
                replica.start(index, false, case.fault);
            }
            Event::PowerFailure(_) => {
                budget.power_failures -= 1;
                replica.disk = replica.durable.clone();
                replica.start(index, false, case.fault);
            }
            Event::EmptyDisk(_) => {
                budget.emptied_disks -= 1;
                (replica.disk, replica.durable) = (None, None);
                replica.start(
                    index,
                    case.environment_fault == Some(EnvironmentFault::ReusedDiskIdentity),
                    case.fault,
                );
            }
            Event::Propose(_) => {
                budget.proposals -= 1;
                history.changes += 1;
                let change = history.changes;
                let config: Vec<u8> = replica.committed.iter().copied().chain([change]).collect();
                replica.pending_proposal =
                    replica.consensus.propose(replica.now, config).map(|number| (number, change));
            }
            Event::Read(_) => {
                budget.reads -= 1;
                if case.environment_fault == Some(EnvironmentFault::UnconfirmedReads) {
                    history.read(&replica.committed, &history.acked.clone());
                } else if let Some(number) = replica.consensus.request_read(replica.now) {
                    replica.pending_reads.push((number, history.acked.clone()));
                }
            }
        }
        self.perform_actions(case, index, was_leading);
    }

    /// Performs the actions of a replica and checks them.
    fn perform_actions(&mut self, case: &Case, index: usize, was_leading: bool) {
        let Cluster { replicas, network, history, .. } = self;
        let learner = (replicas.len() > 3).then(|| node(3));
        let replica = Arc::make_mut(&mut replicas[index]);
        if let Some(learner) = learner {
            replica.consensus.on_peer_seen(replica.now, learner);
        }
        for action in replica.consensus.take_actions() {
            match action {
                Action::Persist { number, state: written } => {
                    history.written(replica.last_write, written.last, &written.state);
                    replica.last_write = written.last;
                    replica.writes.push((number, written));
                }
                Action::Send { to, message }
                    if case.budget.reads == 0 && replica.is_redundant_reply(to, &message) => {}
                Action::Send { to, message } => {
                    send(network, case.link_capacity, index, replica_at(to), message)
                }
                Action::Committed { position: at, config } => {
                    replica.committed = config.0.to_vec();
                    history.committed(at, &config.0, replica.consensus.leader() == Some(node(index)));
                }
                Action::ProposalDone { number, outcome } => {
                    if let Some((_, change)) = replica.pending_proposal.take_if(|(n, _)| *n == number)
                        && outcome == RequestOutcome::Confirmed
                    {
                        history.acked.push(change);
                    }
                }
                Action::ReadDone { number, outcome } => {
                    let Some(at) = replica.pending_reads.iter().position(|(n, _)| *n == number) else {
                        continue;
                    };
                    let (_, acked) = replica.pending_reads.remove(at);
                    if outcome == RequestOutcome::Confirmed {
                        history.read(&replica.committed, &acked);
                    }
                }
            }
        }
        if replica.leads(index) && !was_leading {
            let votes = history.votes.get(&(replica.consensus.term(), node(index)));
            let counted =
                replica.consensus.voters().iter().filter(|m| votes.is_some_and(|v| v.contains(m))).count();
            history.require(counted > replica.consensus.voters().len() / 2, Violation::ElectionWithoutQuorum);
        }
        // Two nodes may win an election in the same term only after a disk was emptied; two established
        // leaders never.
        if replica.consensus.is_established_leader() || replica.leads(index) && case.budget.emptied_disks == 0
        {
            let first = *history.leaders.entry(replica.consensus.term()).or_insert(index);
            history.require(first == index, Violation::TwoLeaders);
        }
        let text = canonical(&replica.consensus, replica.now);
        let writes: Vec<String> = replica.writes.iter().map(|(_, written)| format!("{written:?}")).collect();
        let disks = format!("{:?} {:?}", replica.disk, replica.durable);
        replica.fingerprint = hash_of((
            text,
            disks,
            writes,
            &replica.committed,
            replica.pending_proposal,
            &replica.pending_reads,
            (replica.last_reply, replica.empty_starts),
        ));
        // Some disk holds each acknowledged change.
        let holds = |change: &u8| {
            replicas
                .iter()
                .any(|replica| replica.disk.as_ref().is_some_and(|d| d.state.config.0.contains(change)))
        };
        let are_kept = history.acked.iter().all(holds);
        history.require(are_kept, Violation::LostChange);
    }
}

/// Sends a message without its clock values, which do not affect safety. A message that is already in
/// flight is not sent twice.
fn send(network: &mut Vec<Packet>, link_capacity: usize, from: usize, to: usize, mut message: Message) {
    match &mut message {
        Message::Append { clock_echo: echo, confirmed_ns_ago: fresh, .. } => (*echo, *fresh) = (0, None),
        Message::AppendReply { clock, .. } => *clock = 0,
        _ => {}
    }
    let fingerprint = hash_of(format!("{message:?}"));
    if network.iter().any(|p| (p.from, p.to, p.fingerprint) == (from, to, fingerprint)) {
        return;
    }
    // Sorted by sender and recipient, so that the order of sends on different links does not create new
    // states.
    let end = network.partition_point(|p| (p.from, p.to) <= (from, to));
    network.insert(end, Packet { from, to, message: Arc::new(message), fingerprint });
    let begin = network.partition_point(|p| (p.from, p.to) < (from, to));
    if end + 1 - begin > link_capacity {
        let is_heartbeat = |p: &Packet| matches!(*p.message, Message::Append { state: None, .. });
        let dropped = network[begin..=end].iter().position(is_heartbeat).unwrap_or(0);
        network.remove(begin + dropped);
    }
}

impl History {
    fn require(&mut self, holds: bool, violation: Violation) {
        if !holds {
            self.violations.insert(violation);
        }
    }

    /// Records a requested write of a state, by a leader or a follower.
    fn written(&mut self, last: LogId, at: LogId, state: &ReplicatedState) {
        if at == LogId::default() {
            return;
        }
        let state = (state.voters.clone(), state.outgoing_voter, state.config.0.to_vec());
        if let Some(w) = self.written.get(&at) {
            let is_same = (w.voters.clone(), w.outgoing, w.config.clone()) == state;
            return self.require(is_same, Violation::DivergingStates);
        }
        let (voters, outgoing, config) = state;
        let mut predecessors = self.written.get(&last).map_or(Vec::new(), |w| w.predecessors.clone());
        predecessors.extend((last != LogId::default()).then_some(last));
        let extends_committed = self.committed.range(..at).all(|(id, _)| predecessors.contains(id));
        self.require(extends_committed, Violation::DivergingStates);
        let is_newest = self.written.keys().next_back().is_none_or(|newest| *newest < at);
        let are_kept = self.acked.iter().all(|change| config.contains(change));
        self.require(are_kept || !is_newest, Violation::LostChange);
        self.written.insert(at, WrittenState { voters, outgoing, config, predecessors });
    }

    fn committed(&mut self, at: LogId, config: &[u8], by_leader: bool) {
        let Some(state) = self.written.get(&at) else {
            return self.require(false, Violation::DivergingStates);
        };
        let is_in_later = self.written.range(at..).skip(1).all(|(_, later)| later.predecessors.contains(&at));
        let is_chain = state.config == config && is_in_later;
        let holders = self.copies.get(&at);
        let copies = state.voters.iter().filter(|m| holders.is_some_and(|c| c.contains(m))).count();
        let is_majority = copies > state.voters.len() / 2;
        self.require(is_chain, Violation::DivergingStates);
        self.require(!by_leader || is_majority, Violation::CommitWithoutQuorum);
        self.committed.insert(at, config.to_vec());
    }

    fn read(&mut self, config: &[u8], acked: &[u8]) {
        self.reads_done += 1;
        self.require(acked.iter().all(|change| config.contains(change)), Violation::StaleRead);
    }
}

impl Model for Case {
    type State = Cluster;
    type Action = Event;

    fn init_states(&self) -> Vec<Cluster> {
        vec![Cluster::new(self)]
    }

    fn actions(&self, cluster: &Cluster, events: &mut Vec<Event>) {
        let budget = cluster.budget;
        events.extend((0..cluster.network.len()).map(Event::Deliver));
        for (n, replica) in cluster.replicas.iter().enumerate() {
            let is_leader = replica.leads(n);
            let candidates = [
                (!replica.writes.is_empty(), Event::Sync(n)),
                (budget.campaigns > 0 && !is_leader && replica.consensus.is_voter(), Event::Campaign(n)),
                (budget.rounds > 0 && is_leader, Event::Round(n)),
                (budget.pauses > 0 && is_leader, Event::Pause(n)),
                (budget.kills > 0, Event::Kill(n)),
                (budget.power_failures > 0, Event::PowerFailure(n)),
                (budget.emptied_disks > 0, Event::EmptyDisk(n)),
                (
                    budget.proposals > 0
                        && replica.consensus.is_established_leader()
                        && !replica.consensus.has_uncommitted(),
                    Event::Propose(n),
                ),
                (budget.reads > 0 && replica.consensus.is_established_leader(), Event::Read(n)),
            ];
            events
                .extend(candidates.into_iter().filter_map(|(is_enabled, event)| is_enabled.then_some(event)));
        }
    }

    fn next_state(&self, cluster: &Cluster, event: Event) -> Option<Cluster> {
        let mut next = cluster.clone();
        next.step(self, event);
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Case>> {
        vec![
            Property::always(ONE_LEADER_PER_TERM, |_, c: &Cluster| {
                !c.history.violations.contains(&Violation::TwoLeaders)
            }),
            Property::always(NO_DIVERGENCE, |_, c: &Cluster| {
                !c.history.violations.contains(&Violation::DivergingStates)
            }),
            Property::always(NO_LOST_CHANGES, |_, c: &Cluster| {
                !c.history.violations.contains(&Violation::LostChange)
            }),
            Property::always(NO_STALE_READS, |_, c: &Cluster| {
                !c.history.violations.contains(&Violation::StaleRead)
            }),
            Property::always(COMMIT_QUORUM, |_, c: &Cluster| {
                !c.history.violations.contains(&Violation::CommitWithoutQuorum)
            }),
            Property::always(ELECTION_QUORUM, |_, c: &Cluster| {
                !c.history.violations.contains(&Violation::ElectionWithoutQuorum)
            }),
            // Reachability: the budgets allow these events.
            Property::sometimes(CHANGE_ACKNOWLEDGED, |_, c: &Cluster| {
                c.history.acked.len() > usize::from(c.history.changes > 1)
            }),
            Property::sometimes(SECOND_LEADER_ELECTED, |_, c: &Cluster| c.history.leaders.len() > 1),
            Property::sometimes(READ_COMPLETED, |_, c: &Cluster| c.history.reads_done > 0),
            Property::sometimes(VOTER_REPLACED, |_, c: &Cluster| {
                let has_replacement =
                    |voters: &[Member]| voters.len() == 3 && voters.iter().any(|m| m.disk != 0);
                c.history
                    .committed
                    .keys()
                    .any(|id| c.history.written.get(id).is_some_and(|w| has_replacement(&w.voters)))
            }),
        ]
    }
}

const CHANGE_ACKNOWLEDGED: &str = "a change is acknowledged";
const SECOND_LEADER_ELECTED: &str = "a leader is elected in a second term";
const READ_COMPLETED: &str = "a read is completed";
const VOTER_REPLACED: &str = "a voter is replaced";
const SAFETY_PROPERTIES: [&str; 6] =
    [ONE_LEADER_PER_TERM, NO_DIVERGENCE, NO_LOST_CHANGES, NO_STALE_READS, COMMIT_QUORUM, ELECTION_QUORUM];

/// Time limit of a large case, which is then checked only up to the depth reached.
const LARGE_RUN_TIMEOUT: Duration = Duration::from_secs(90);

fn is_large() -> bool {
    std::env::var("LYNXSTAIR_MODEL").is_ok_and(|v| v == "large")
}

/// Checks the safety properties in every state within the budgets of a case, and that the `reached`
/// properties are satisfied in some state.
fn check(name: &str, case: Case, reached: &[&'static str]) {
    let began = std::time::Instant::now();
    let mut builder = case
        .clone()
        .checker()
        .target_max_depth(case.depth)
        .finish_when(HasDiscoveries::AnyFailures)
        .threads(3);
    if is_large() {
        builder = builder.timeout(LARGE_RUN_TIMEOUT);
    }
    let checker = builder.spawn_bfs().join();
    let (unique, depth) = (checker.unique_state_count(), checker.max_depth());
    let timeout_note =
        if is_large() && began.elapsed() >= LARGE_RUN_TIMEOUT { ", stopped by its time limit" } else { "" };
    println!(
        "{name}: {unique} states, {} visited, depth {depth}, {:?}{timeout_note}",
        checker.state_count(),
        began.elapsed()
    );
    for property in SAFETY_PROPERTIES {
        if let Some(path) = checker.discovery(property) {
            panic!("{name}: {property}: violated by {:#?}", path.into_actions());
        }
    }
    for property in reached {
        assert!(checker.discovery(property).is_some(), "{name}: not reached: {property}");
    }
}

/// Checks that an injected fault violates the given safety property.
fn expect_violation(name: &str, case: Case, property: &'static str) {
    let began = std::time::Instant::now();
    let checker =
        case.checker().finish_when(HasDiscoveries::AnyOf([property].into())).threads(3).spawn_bfs().join();
    let found: Vec<&str> =
        checker.discoveries().into_keys().filter(|l| SAFETY_PROPERTIES.contains(l)).collect();
    let path = checker.discovery(property).map(|path| path.into_actions());
    println!(
        "{name}: {} states, {:?}, found {found:?} by {path:?}",
        checker.unique_state_count(),
        began.elapsed()
    );
    assert!(path.is_some(), "{name}: no violation found: {property}");
}

/// Creates a case with one message per link and at most `depth` events. Large runs have no limit of the
/// depth.
fn case(start: Start, depth: usize, budget: Budget) -> Case {
    let depth = if is_large() { usize::MAX } else { depth };
    Case { start, budget, fault: None, environment_fault: None, link_capacity: 1, depth }
}

#[test]
fn elections_are_safe() {
    let budget = Budget { campaigns: 1, power_failures: 1, ..Budget::default() };
    check("a power failure and an election", case(Start::WithLeader, 60, budget), &[SECOND_LEADER_ELECTED]);
    let budget = Budget { campaigns: 2, kills: u8::from(is_large()), ..Budget::default() };
    check("two elections", case(Start::WithLeader, 13, budget), &[SECOND_LEADER_ELECTED]);
}

#[test]
fn configuration_changes_are_safe() {
    let budget =
        Budget { campaigns: 1, proposals: 1, power_failures: u8::from(is_large()), ..Budget::default() };
    check(
        "a change and an election",
        case(Start::WithLeader, 14, budget),
        &[CHANGE_ACKNOWLEDGED, SECOND_LEADER_ELECTED],
    );
}

#[test]
fn an_emptied_disk_is_safe() {
    let more = u8::from(is_large());
    let budget = Budget { campaigns: 1 + more, emptied_disks: 1, ..Budget::default() };
    check("an emptied disk", case(Start::WithLaggingFollower, 60, budget), &[SECOND_LEADER_ELECTED]);
}

#[test]
fn reads_are_linearizable() {
    let budget =
        Budget { campaigns: 1, proposals: 1, reads: 1, pauses: u8::from(is_large()), ..Budget::default() };
    check(
        "reads",
        case(Start::WithLeader, 12, budget),
        &[CHANGE_ACKNOWLEDGED, READ_COMPLETED, SECOND_LEADER_ELECTED],
    );
}

#[test]
fn replacing_a_voter_is_safe() {
    let budget = Budget { rounds: 1, ..Budget::default() };
    check("a replaced voter", case(Start::WithLearner, 20, budget), &[VOTER_REPLACED]);
    let budget =
        Budget { rounds: 1, campaigns: 1, power_failures: u8::from(is_large()), ..Budget::default() };
    check("a replaced voter and an election", case(Start::WithLearner, 12, budget), &[SECOND_LEADER_ELECTED]);
}

#[test]
fn deliberate_consensus_faults_are_detected() {
    let with = |fault, start, budget| Case { fault: Some(fault), ..case(start, 60, budget) };
    let replacement = Budget { rounds: 1, ..Budget::default() };
    expect_violation(
        "LearnersInCommitQuorum",
        with(Fault::LearnersInCommitQuorum, Start::WithLearner, replacement),
        COMMIT_QUORUM,
    );
    let election = Budget { campaigns: 1, ..replacement };
    expect_violation(
        "VoterReplacedInOneChange",
        with(Fault::VoterReplacedInOneChange, Start::WithLearner, election),
        NO_DIVERGENCE,
    );
    let emptied = Budget { campaigns: 1, emptied_disks: 1, ..Budget::default() };
    expect_violation(
        "UncheckedVotes",
        with(Fault::UncheckedVotes, Start::WithLaggingFollower, emptied),
        ELECTION_QUORUM,
    );
    expect_violation(
        "UncheckedVotes",
        with(Fault::UncheckedVotes, Start::WithLaggingFollower, emptied),
        NO_LOST_CHANGES,
    );
}

#[test]
fn deliberate_caller_faults_are_detected() {
    let with = |environment_fault, start, budget| Case {
        environment_fault: Some(environment_fault),
        ..case(start, 60, budget)
    };
    let budget = Budget { campaigns: 2, power_failures: 1, ..Budget::default() };
    expect_violation(
        "SyncNotDurable",
        with(EnvironmentFault::SyncNotDurable, Start::Bootstrapped, budget),
        ONE_LEADER_PER_TERM,
    );
    let emptied = Budget { campaigns: 1, emptied_disks: 1, ..Budget::default() };
    expect_violation(
        "ReusedDiskIdentity",
        with(EnvironmentFault::ReusedDiskIdentity, Start::WithLaggingFollower, emptied),
        NO_LOST_CHANGES,
    );
    let election_and_read = Budget { campaigns: 1, proposals: 1, reads: 1, ..Budget::default() };
    expect_violation(
        "UnconfirmedReads",
        with(EnvironmentFault::UnconfirmedReads, Start::WithLeader, election_and_read),
        NO_STALE_READS,
    );
}

/// Guards against stale reads when two rounds start at the same time: a read must compare round numbers,
/// not start times.
#[test]
fn a_read_waits_for_a_round_that_starts_after_it() {
    let budget = Budget { campaigns: 1, proposals: 2, reads: 1, ..Budget::default() };
    let case = Case { link_capacity: 9, ..case(Start::WithLeader, 60, budget) };
    let mut cluster = Cluster::new(&case);
    let (old, new) = (LogId { term: 1, index: 1 }, LogId { term: 1, index: 2 });
    let run =
        |cluster: &mut Cluster, events: &[Event]| events.iter().for_each(|event| cluster.step(&case, *event));
    // Delivers the newest message from one replica to another.
    let deliver_newest = |cluster: &mut Cluster, from: usize, to: usize| {
        let at =
            cluster.network.iter().rposition(|p| (p.from, p.to) == (from, to)).expect("message in flight");
        cluster.step(&case, Event::Deliver(at));
    };
    let deliver_acknowledgement = |cluster: &mut Cluster, position: LogId| {
        let is_acknowledgement =
            |p: &Packet| matches!(&*p.message, Message::AppendReply { stored, .. } if *stored == position);
        let at =
            cluster.network.iter().position(|p| p.to == 0 && is_acknowledgement(p)).expect("reply in flight");
        cluster.step(&case, Event::Deliver(at));
    };
    // Replica 2 answers a round of replica 0 twice: at once and after the sync. Both replies are delayed.
    run(&mut cluster, &[Event::Propose(0), Event::Sync(0)]);
    deliver_newest(&mut cluster, 0, 2);
    run(&mut cluster, &[Event::Sync(2), Event::Campaign(2), Event::Sync(2)]);
    // Replica 2 becomes leader with the vote of replica 1 and commits a change.
    deliver_newest(&mut cluster, 2, 1);
    run(&mut cluster, &[Event::Sync(1)]);
    deliver_newest(&mut cluster, 1, 2);
    run(&mut cluster, &[Event::Sync(2)]);
    deliver_newest(&mut cluster, 2, 1);
    run(&mut cluster, &[Event::Sync(1)]);
    deliver_newest(&mut cluster, 1, 2);
    run(&mut cluster, &[Event::Propose(2), Event::Sync(2)]);
    deliver_newest(&mut cluster, 2, 1);
    run(&mut cluster, &[Event::Sync(1)]);
    deliver_newest(&mut cluster, 1, 2);
    assert_eq!(cluster.history.acked, [2]);
    // Replica 0 has not received any of this. One delayed reply commits its own change, which starts a new
    // round.
    run(&mut cluster, &[Event::Read(0)]);
    deliver_acknowledgement(&mut cluster, new);
    deliver_acknowledgement(&mut cluster, old);
    assert!(cluster.history.violations.is_empty(), "{:?}", cluster.history.violations);
}
