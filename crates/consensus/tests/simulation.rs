//! Simulation of the consensus on a virtual clock, with random faults: message loss, delay and partitions
//! (in one or both directions), slow disks, loss of unsynced writes, emptied disks, paused and killed
//! processes, and machines that are replaced by empty ones at other addresses.
//!
//! The checks use only what was committed, acknowledged and read. The configuration is a list of changes,
//! and each committed list must extend the previous one.

use std::collections::BTreeMap;

use lynxstair::rng::Rng;
use lynxstair::types::{Span, Time};
use lynxstair_consensus::{Action, Consensus, ConsensusConfig, NodeAddress, PersistentState, RequestOutcome};
use lynxstair_protocol::consensus::{LogId, Member, Message, ReplicatedState};

fn node(n: usize) -> NodeAddress {
    format!("10.0.0.{}:80", n + 1).parse().expect("valid address")
}

struct Replica {
    consensus: Option<Consensus>,
    disk: Option<PersistentState>,
    /// Unsynced writes: time of the sync, number and state.
    writes: Vec<(Time, u64, PersistentState)>,
    restart_at: Time,
    is_removed: bool,
    paused_until: Time,
    /// Duration of a disk write.
    sync_delay: Span,
    committed: Vec<u8>,
}

struct Simulation {
    now: Time,
    rng: Rng,
    replicas: Vec<Replica>,
    tolerated: usize,
    messages: BTreeMap<(Time, u64), (usize, usize, Message)>,
    message_count: u64,
    /// Partitioned replica, end of the partition, and `true` if only its outgoing messages are lost.
    partition: Option<(usize, Time, bool)>,
    loss_probability: f64,
    /// Acknowledged changes.
    acked: Vec<u8>,
    /// Longest committed list of changes.
    longest_committed: Vec<u8>,
    next_change: u8,
    /// Replica, number and change of each pending proposal.
    pending_proposals: Vec<(usize, u64, u8)>,
    /// Replica and number of each pending read, with the number of changes acknowledged before it.
    pending_reads: Vec<(usize, u64, usize)>,
    completed_reads: usize,
    /// Replica that is replacing a lost disk or machine. No other disk is lost until it has recovered.
    recovering: Option<usize>,
}

impl Simulation {
    fn new(seed: u64, n: usize) -> Simulation {
        let mut simulation = Simulation {
            now: Time::from_nanos(1_000_000_000),
            rng: Rng::new(seed),
            replicas: Vec::new(),
            tolerated: n / 2,
            messages: BTreeMap::new(),
            message_count: 0,
            partition: None,
            loss_probability: 0.02,
            acked: Vec::new(),
            longest_committed: Vec::new(),
            next_change: 0,
            pending_proposals: Vec::new(),
            pending_reads: Vec::new(),
            completed_reads: 0,
            recovering: None,
        };
        (0..n).for_each(|_| simulation.add_replica(Span::ZERO));
        (0..n).for_each(|replica| simulation.start(replica, true));
        simulation
    }

    /// Adds a machine with an empty disk, which starts after a delay.
    fn add_replica(&mut self, after: Span) {
        self.replicas.push(Replica {
            consensus: None,
            disk: None,
            writes: Vec::new(),
            restart_at: self.now + after,
            is_removed: false,
            paused_until: Time::default(),
            sync_delay: Span::from_millis(1),
            committed: Vec::new(),
        });
    }

    fn start(&mut self, replica: usize, bootstrap: bool) {
        // The configured seeds stay the first three replicas, even after they were replaced.
        let seeds: Vec<NodeAddress> = (0..3).map(node).collect();
        let config = ConsensusConfig {
            me: node(replica),
            seeds: &seeds,
            rng_seed: u64::from(self.rng.next_u32()),
            stored: self.replicas[replica].disk.clone(),
            bootstrap,
            tolerated_disk_losses: self.tolerated,
            catch_up_time: Span::from_millis(4000),
        };
        self.replicas[replica].consensus = Some(Consensus::new(self.now, config));
        self.perform_actions(replica);
    }

    /// Stops a replica: by power failure, or by a kill after which the last unsynced write is on the disk
    /// (`keeps_unsynced`).
    fn stop(&mut self, replica: usize, keeps_unsynced: bool, downtime: Span) {
        let stopped = &mut self.replicas[replica];
        if keeps_unsynced && let Some((_, _, written)) = stopped.writes.last() {
            stopped.disk = Some(written.clone());
        }
        stopped.writes.clear();
        stopped.consensus = None;
        stopped.committed.clear();
        stopped.restart_at = self.now + downtime;
        self.pending_proposals.retain(|(at, _, _)| *at != replica);
        self.pending_reads.retain(|(at, _, _)| *at != replica);
    }

    fn stop_all(&mut self, keeps_unsynced: bool, downtime: Span) {
        (0..self.replicas.len())
            .filter(|n| !self.replicas[*n].is_removed)
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|replica| self.stop(replica, keeps_unsynced, downtime));
    }

    fn perform_actions(&mut self, replica: usize) {
        loop {
            let Some(consensus) = &mut self.replicas[replica].consensus else { return };
            let actions = consensus.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    Action::Persist { number, state: written } => {
                        let at = self.now + self.replicas[replica].sync_delay;
                        self.replicas[replica].writes.push((at, number, written));
                    }
                    Action::Send { to, message } => self.send(replica, to, message),
                    Action::Committed { config: state, .. } => self.on_committed(replica, &state.0),
                    Action::ProposalDone { number, outcome } => {
                        let index = self
                            .pending_proposals
                            .iter()
                            .position(|(at, n, _)| (*at, *n) == (replica, number));
                        if let Some(index) = index {
                            let (_, _, change) = self.pending_proposals.remove(index);
                            if outcome == RequestOutcome::Confirmed {
                                self.acked.push(change);
                            }
                        }
                    }
                    Action::ReadDone { number, outcome } => {
                        let index =
                            self.pending_reads.iter().position(|(at, n, _)| (*at, *n) == (replica, number));
                        let (_, _, acked) = self.pending_reads.remove(index.expect("read is pending"));
                        if outcome == RequestOutcome::Confirmed {
                            self.completed_reads += 1;
                            let read = &self.replicas[replica].committed;
                            let missing = self.acked[..acked].iter().find(|a| !read.contains(a));
                            assert_eq!(
                                missing, None,
                                "change acknowledged before the read is missing in {read:?}"
                            );
                        }
                    }
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: NodeAddress, message: Message) {
        let to = (0..self.replicas.len()).find(|n| node(*n) == to).expect("known replica");
        let is_cut = self.partition.is_some_and(|(who, _, one_way)| who == from || who == to && !one_way);
        if !is_cut && self.rng.next_f64() >= self.loss_probability {
            let delay = Span::from_secs(0.0005 + 0.004 * self.rng.next_f64().powi(3));
            self.message_count += 1;
            self.messages.insert((self.now + delay, self.message_count), (from, to, message));
        }
    }

    fn on_committed(&mut self, replica: usize, state: &[u8]) {
        let old = &self.replicas[replica].committed;
        assert!(state.starts_with(old), "replica {replica}: committed {state:?} does not extend {old:?}");
        self.replicas[replica].committed = state.to_vec();
        if state.len() > self.longest_committed.len() {
            assert!(
                state.starts_with(&self.longest_committed),
                "committed {state:?} does not extend {:?}",
                self.longest_committed
            );
            self.longest_committed = state.to_vec();
        } else {
            assert!(
                self.longest_committed.starts_with(state),
                "committed {state:?} is not a prefix of {:?}",
                self.longest_committed
            );
        }
    }

    fn step(&mut self) {
        self.now = self.now + Span::from_millis(1);
        let now = self.now;
        for replica in 0..self.replicas.len() {
            if self.replicas[replica].is_removed || self.replicas[replica].paused_until > now {
                continue;
            }
            if self.replicas[replica].consensus.is_none() {
                if now >= self.replicas[replica].restart_at {
                    self.start(replica, false);
                }
                continue;
            }
            while let Some((at, number, written)) = self.replicas[replica].writes.first().cloned()
                && at <= now
            {
                self.replicas[replica].writes.remove(0);
                self.replicas[replica].disk = Some(written);
                self.replicas[replica]
                    .consensus
                    .as_mut()
                    .expect("replica is running")
                    .on_persisted(now, number);
                self.perform_actions(replica);
            }
            self.replicas[replica].consensus.as_mut().expect("replica is running").tick(now);
            self.perform_actions(replica);
            // Replicas keep connections to each other, which the leader notices.
            let other = (now.nanos() / 1_000_000) as usize % self.replicas.len();
            if self.replicas[other].consensus.is_some() && self.partition.is_none() {
                self.replicas[replica]
                    .consensus
                    .as_mut()
                    .expect("replica is running")
                    .on_peer_seen(now, node(other));
                self.perform_actions(replica);
            }
        }
        let due: Vec<_> = self.messages.range(..=(now, u64::MAX)).map(|(key, _)| *key).collect();
        for key in due {
            let (from, to, message) = self.messages.remove(&key).expect("due");
            if self.replicas[to].paused_until > now {
                // A paused machine receives the message when it resumes.
                self.messages.insert((self.replicas[to].paused_until, key.1), (from, to, message));
            } else if let Some(consensus) = &mut self.replicas[to].consensus {
                consensus.handle_message(now, node(from), message);
                self.perform_actions(to);
            }
        }
        if self.partition.is_some_and(|(_, until, _)| now >= until) {
            self.partition = None;
        }
    }

    /// Proposes a change on each established leader without an uncommitted state.
    fn propose(&mut self) {
        for replica in 0..self.replicas.len() {
            let mut state = self.replicas[replica].committed.clone();
            let Some(consensus) = &mut self.replicas[replica].consensus else { continue };
            if consensus.is_established_leader() && !consensus.has_uncommitted() && self.next_change < 250 {
                state.push(self.next_change);
                if let Some(number) = consensus.propose(self.now, state) {
                    self.pending_proposals.push((replica, number, self.next_change));
                    self.next_change += 1;
                }
                self.perform_actions(replica);
            }
        }
    }

    fn read(&mut self) {
        for replica in 0..self.replicas.len() {
            let Some(consensus) = &mut self.replicas[replica].consensus else { continue };
            if let Some(number) = consensus.request_read(self.now) {
                self.pending_reads.push((replica, number, self.acked.len()));
            }
            self.perform_actions(replica);
        }
    }

    fn leader(&self) -> Option<usize> {
        (0..self.replicas.len())
            .find(|n| self.replicas[*n].consensus.as_ref().is_some_and(Consensus::is_established_leader))
    }

    /// Returns `true` if, according to the leader, the replica votes with its current disk and no
    /// membership change is pending, and the replica knows the longest committed list.
    fn is_recovered(&self, replica: usize) -> bool {
        let Some(leader) = self.leader().and_then(|l| self.replicas[l].consensus.as_ref()) else {
            return false;
        };
        let Some(disk) = &self.replicas[replica].disk else { return false };
        let member = Member { node: node(replica), disk: disk.disk };
        leader.voters().contains(&member)
            && leader.outgoing_voter().is_none()
            && !leader.has_uncommitted()
            && self.replicas[replica].committed == self.longest_committed
    }

    fn inject_fault(&mut self) {
        let present: Vec<usize> =
            (0..self.replicas.len()).filter(|n| !self.replicas[*n].is_removed).collect();
        let replica = match (self.rng.next_u32() % 2, self.leader()) {
            (0, Some(leader)) => leader,
            _ => present[self.rng.next_u32() as usize % present.len()],
        };
        match self.rng.next_u32() % 11 {
            0 => self.stop(replica, true, Span::from_millis(300)),
            1 => self.stop(replica, false, Span::from_millis(900)),
            2 => {
                self.partition =
                    Some((replica, self.now + Span::from_millis(2500), self.rng.next_u32().is_multiple_of(2)))
            }
            3 => {
                self.replicas[replica].sync_delay =
                    Span::from_millis([1, 1, 30, 1500][self.rng.next_u32() as usize % 4])
            }
            4 => self.stop_all(false, Span::from_millis(400)),
            5 => self.stop_all(true, Span::from_millis(200)),
            6 => {
                let pause_ms = [300, 700, 2000, 6000][self.rng.next_u32() as usize % 4];
                self.replicas[replica].paused_until = self.now + Span::from_millis(pause_ms);
            }
            kind => self.lose_disk_or_machine(replica, kind),
        }
    }

    /// Empties a disk, in some cases while all replicas lose power, or replaces a machine by an empty one
    /// at another address. Does nothing unless the previous loss has been repaired and this replica is up
    /// to date.
    fn lose_disk_or_machine(&mut self, replica: usize, kind: u32) {
        if self.recovering.is_some_and(|u| !self.is_recovered(u)) || !self.is_recovered(replica) {
            return;
        }
        match kind {
            7 | 8 => {
                self.recovering = Some(replica);
                if kind == 8 {
                    self.stop_all(false, Span::from_millis(500));
                }
                self.stop(replica, false, Span::from_millis(500));
                self.replicas[replica].disk = None;
            }
            _ if self.replicas.len() < 12 => {
                let after = [300, 1000, 3000][self.rng.next_u32() as usize % 3];
                self.recovering = Some(self.replicas.len());
                self.add_replica(Span::from_millis(after));
                self.stop(replica, false, Span::ZERO);
                self.replicas[replica].is_removed = true;
            }
            _ => {}
        }
    }
}

fn run_simulation(seed: u64, n: usize) {
    let mut simulation = Simulation::new(seed, n);
    for ms in 0..16_000 {
        simulation.step();
        if simulation.rng.next_f64() < 0.02 {
            simulation.propose();
        }
        if simulation.rng.next_f64() < 0.02 {
            simulation.read();
        }
        if ms > 1500 && ms < 10_000 && simulation.rng.next_f64() < 0.0014 {
            simulation.inject_fault();
        }
        if ms == 10_500 {
            simulation.loss_probability = 0.0;
            for replica in &mut simulation.replicas {
                (replica.sync_delay, replica.paused_until) = (Span::from_millis(1), Time::default());
            }
        }
    }
    let leader = simulation.leader().unwrap_or_else(|| {
        let disk =
            |r: &Replica| r.disk.as_ref().map(|d| (d.disk, d.term, d.vote, d.last, d.state.voters.clone()));
        let disks: Vec<_> = simulation.replicas.iter().map(|r| (r.is_removed, disk(r))).collect();
        panic!("seed {seed}: no leader after the end of the faults: {disks:#?}")
    });
    let committed = &simulation.replicas[leader].committed;
    for acked in &simulation.acked {
        assert!(
            committed.contains(acked),
            "seed {seed}: acknowledged change {acked} is missing in {committed:?}"
        );
    }
    assert!(
        !simulation.acked.is_empty() && simulation.completed_reads > 0,
        "seed {seed}: no change was acknowledged or no read was completed"
    );
    let consensus = simulation.replicas[leader].consensus.as_ref().expect("leader is running");
    let present = |m: &Member| {
        (0..simulation.replicas.len()).any(|n| node(n) == m.node && !simulation.replicas[n].is_removed)
    };
    assert!(
        consensus.voters().iter().all(present),
        "seed {seed}: a removed machine is still a voter: {:?}",
        consensus.voters()
    );
    assert!(consensus.voters().len() >= n, "seed {seed}: too few voters: {:?}", consensus.voters());
}

fn seeds(from: u64, count: u64) -> std::ops::Range<u64> {
    let seed_count = std::env::var("LYNXSTAIR_STORIES").ok().and_then(|n| n.parse().ok());
    from..from + seed_count.unwrap_or(count)
}

/// Guards against lost acknowledged changes, stale reads, diverging commits, and clusters that stay without
/// a leader.
#[test]
fn three_nodes_agree_under_random_faults() {
    seeds(0, 300).for_each(|seed| run_simulation(seed, 3));
}

#[test]
fn five_nodes_agree_under_random_faults() {
    seeds(100_000, 80).for_each(|seed| run_simulation(seed, 5));
}

/// Guards against a loss of the quorum when a lost machine is replaced by an empty one at another address.
#[test]
fn a_lost_voter_is_replaced() {
    for (seed, lost) in (0..24).map(|seed| (seed, seed as usize % 3)) {
        let mut simulation = Simulation::new(seed, 3);
        simulation.loss_probability = 0.0;
        for ms in 0..12_000 {
            simulation.step();
            if ms == 2000 {
                simulation.stop(lost, false, Span::ZERO);
                simulation.replicas[lost].is_removed = true;
                simulation.add_replica(Span::from_millis(1000));
            }
            // The catch-up time of the successor is over, so another machine may be lost.
            if ms == 7000 {
                assert!(
                    simulation.is_recovered(3),
                    "seed {seed}: the successor is not a voter or is not up to date"
                );
                let next = (lost + 1) % 3;
                simulation.stop(next, false, Span::ZERO);
                simulation.replicas[next].is_removed = true;
            }
            if ms % 500 == 0 {
                simulation.propose();
            }
        }
        let leader = simulation.leader().unwrap_or_else(|| panic!("seed {seed}: no leader"));
        assert!(
            simulation.acked.len() > 15,
            "seed {seed}: too few changes acknowledged: {:?}",
            simulation.acked
        );
        assert!(
            simulation.acked.iter().all(|a| simulation.replicas[leader].committed.contains(a)),
            "seed {seed}"
        );
    }
}

/// All replicas are killed between the two membership changes of a replacement. Guards against a new leader
/// that waits for the time-out of the outgoing voter again before it completes the replacement.
#[test]
fn a_restart_of_all_nodes_completes_a_replacement() {
    for seed in 0..24 {
        let mut simulation = Simulation::new(seed, 3);
        simulation.loss_probability = 0.0;
        (0..2000).for_each(|_| simulation.step());
        simulation.stop(1, false, Span::ZERO);
        simulation.replicas[1].is_removed = true;
        simulation.add_replica(Span::from_millis(300));
        let has_successor = (0..5000).any(|_| {
            simulation.step();
            let voters = |r: &Replica| r.disk.as_ref().map_or(0, |d| d.state.voters.len());
            simulation.replicas.iter().filter(|r| voters(r) == 4).count() >= 3
        });
        assert!(has_successor, "seed {seed}: no successor became a voter");
        simulation.stop_all(true, Span::from_millis(300));
        (0..2000).for_each(|_| simulation.step());
        let leader = simulation.leader().unwrap_or_else(|| panic!("seed {seed}: no leader"));
        let consensus = simulation.replicas[leader].consensus.as_ref().expect("leader is running");
        assert!(
            !consensus.voters().iter().any(|m| m.node == node(1)),
            "seed {seed}: the removed machine is still a voter"
        );
        assert!(
            consensus.voters().len() == 3 && simulation.is_recovered(3),
            "seed {seed}: {:?}",
            consensus.voters()
        );
    }
}

/// Five replicas with three seeds, one of which loses its disk before all five vote. Guards against changes
/// acknowledged on fewer than three disks, and against an emptied disk that does not become a voter again.
#[test]
fn a_disk_emptied_before_all_nodes_vote_rejoins() {
    for seed in 0..24 {
        let mut simulation = Simulation::new(seed, 5);
        simulation.loss_probability = 0.0;
        let has_leader = (0..2000).any(|_| {
            simulation.step();
            simulation.propose();
            simulation.leader().is_some()
        });
        assert!(has_leader, "seed {seed}");
        let lost = (seed % 3) as usize;
        simulation.stop(lost, false, Span::from_millis(400));
        simulation.replicas[lost].disk = None;
        for _ in 0..4000 {
            simulation.step();
            simulation.propose();
            let holds = |r: &&Replica| {
                r.disk.as_ref().is_some_and(|d| d.state.config.0.len() >= simulation.acked.len())
            };
            assert!(
                simulation.acked.is_empty() || simulation.replicas.iter().filter(holds).count() > 2,
                "seed {seed}"
            );
        }
        let leader = simulation.leader().unwrap_or_else(|| panic!("seed {seed}: no leader"));
        assert_eq!(
            simulation.replicas[leader].consensus.as_ref().map(|r| r.voters().len()),
            Some(5),
            "seed {seed}"
        );
        assert!(!simulation.acked.is_empty() && simulation.is_recovered(lost), "seed {seed}");
    }
}

/// Planned replacement: a new replica joins before an old one shuts down. Guards against an exit before the
/// replacement, or one later than a second.
#[test]
fn a_node_that_shuts_down_is_replaced() {
    for (seed, is_leader) in (0..48).map(|n| (n / 2, n % 2 == 0)) {
        let mut simulation = Simulation::new(seed, 3);
        simulation.loss_probability = 0.0;
        (0..2000).for_each(|_| simulation.step());
        let leader = simulation.leader().expect("there is a leader");
        simulation.propose();
        let leaving = if is_leader { leader } else { (leader + 1) % 3 };
        simulation.add_replica(Span::ZERO);
        (0..1000).for_each(|_| simulation.step());
        assert!(!simulation.is_recovered(3), "seed {seed}: a fourth replica must not vote while three do");
        let now = simulation.now;
        simulation.replicas[leaving].consensus.as_mut().expect("replica is running").begin_shutdown(now);
        simulation.perform_actions(leaving);
        let mut ended = None;
        for ms in 0..1500 {
            simulation.step();
            let consensus = simulation.replicas[leaving].consensus.as_ref().expect("replica is running");
            if ended.is_none() && consensus.may_shut_down(simulation.now) {
                ended = Some(ms);
                assert!(
                    !consensus.is_voter() && !consensus.is_established_leader(),
                    "seed {seed}: exits before it is replaced"
                );
            }
        }
        assert!(ended.is_some_and(|ms| ms < 1000) && simulation.is_recovered(3), "seed {seed}: {ended:?}");
    }
}

/// A replica without a quorum must not lead, confirm its state, propose or read.
#[test]
fn an_isolated_node_does_not_lead() {
    let now = Time::from_nanos(1_000_000_000);
    let seeds: Vec<NodeAddress> = (0..3).map(node).collect();
    let catch_up_time = Span::from_millis(4000);
    let config = ConsensusConfig {
        me: node(0),
        seeds: &seeds,
        rng_seed: 7,
        stored: None,
        bootstrap: true,
        tolerated_disk_losses: 1,
        catch_up_time,
    };
    let mut consensus = Consensus::new(now, config);
    for ms in 0..5000 {
        consensus.tick(now + Span::from_millis(ms));
        consensus.take_actions();
    }
    assert!(
        !consensus.is_established_leader()
            && consensus.confirmed_at().is_none()
            && consensus.propose(now, vec![1]).is_none()
    );
    assert!(consensus.request_read(now).is_none() && !consensus.has_quorum_contact(now));
}

/// Guards against a repeated vote that is sent before the first one is synced.
#[test]
fn a_repeated_vote_waits_for_the_disk() {
    let now = Time::from_nanos(1_000_000_000);
    let seeds: Vec<NodeAddress> = (0..3).map(node).collect();
    let state = PersistentState {
        state: ReplicatedState {
            voters: seeds.iter().map(|n| Member { node: *n, disk: 0 }).collect(),
            ..ReplicatedState::default()
        },
        ..PersistentState::default()
    };
    let (on_disk, catch_up_time) = (Some(state), Span::from_millis(4000));
    let config = ConsensusConfig {
        me: node(0),
        seeds: &seeds,
        rng_seed: 7,
        stored: on_disk,
        bootstrap: false,
        tolerated_disk_losses: 1,
        catch_up_time,
    };
    let mut consensus = Consensus::new(now, config);
    let request = Message::RequestVote { term: 3, last: LogId::default(), is_pre_vote: false };
    for _ in 0..2 {
        consensus.handle_message(now, node(1), request.clone());
        assert!(
            consensus.take_actions().iter().all(|d| matches!(d, Action::Persist { .. })),
            "vote sent before it was synced"
        );
    }
    consensus.on_persisted(now, 2);
    assert!(consensus.take_actions().iter().any(|d| matches!(d, Action::Send { .. })));
}
