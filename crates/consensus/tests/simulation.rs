//! Replicas on a virtual clock, with a network that loses, delays and cuts (both ways or one), disks that are slow, lose
//! what was not synced with the power, or are emptied, machines that stand still, are killed at any step or are gone
//! for good while empty ones come at other addresses. The judge knows only what was committed where, what was
//! acknowledged and what was read: states are lists of changes, and each must go on from the one before.

use std::collections::BTreeMap;

use lynxstair::rng::Rng;
use lynxstair::types::{Span, Time};
use lynxstair_consensus::{Action, Consensus, ConsensusConfig, NodeAddress, PersistentState, RequestOutcome};
use lynxstair_protocol::consensus::{LogId, Member, Message, ReplicatedState};

fn node(n: usize) -> NodeAddress {
    format!("10.0.0.{}:80", n + 1).parse().expect("an address")
}

struct Replica {
    consensus: Option<Consensus>,
    disk: Option<PersistentState>,
    /// Writes on their way to the disk: when they are synced.
    writes: Vec<(Time, u64, PersistentState)>,
    back_at: Time,
    is_gone: bool,
    stands_still_until: Time,
    /// How slow its disk is.
    sync: Span,
    committed: Vec<u8>,
}

struct World {
    now: Time,
    rng: Rng,
    replicas: Vec<Replica>,
    tolerated: usize,
    messages: BTreeMap<(Time, u64), (usize, usize, Message)>,
    last: u64,
    /// Who is cut off until when; whether only what it says is lost.
    cut: Option<(usize, Time, bool)>,
    losses: f64,
    /// What was acknowledged, and the longest list committed so far.
    acked: Vec<u8>,
    longest: Vec<u8>,
    next_change: u8,
    open: Vec<(usize, u64, u8)>,
    /// Reads under way, with what had been acknowledged when they came.
    reads: Vec<(usize, u64, usize)>,
    answered: usize,
    /// Whose loss counts until it is well again: nobody else's disk may go before.
    unwell: Option<usize>,
}

impl World {
    fn new(seed: u64, n: usize) -> World {
        let mut world = World {
            now: Time::from_nanos(1_000_000_000),
            rng: Rng::new(seed),
            replicas: Vec::new(),
            tolerated: n / 2,
            messages: BTreeMap::new(),
            last: 0,
            cut: None,
            losses: 0.02,
            acked: Vec::new(),
            longest: Vec::new(),
            next_change: 0,
            open: Vec::new(),
            reads: Vec::new(),
            answered: 0,
            unwell: None,
        };
        (0..n).for_each(|_| world.come(Span::ZERO));
        (0..n).for_each(|replica| world.start(replica, true));
        world
    }

    /// One more machine, with nothing on its disk.
    fn come(&mut self, after: Span) {
        self.replicas.push(Replica {
            consensus: None,
            disk: None,
            writes: Vec::new(),
            back_at: self.now + after,
            is_gone: false,
            stands_still_until: Time::default(),
            sync: Span::from_millis(1),
            committed: Vec::new(),
        });
    }

    fn start(&mut self, replica: usize, bootstrap: bool) {
        // Three are named, whatever has become of them since.
        let seeds: Vec<NodeAddress> = (0..3).map(node).collect();
        let boot = ConsensusConfig {
            me: node(replica),
            seeds: &seeds,
            rng_seed: u64::from(self.rng.next_u32()),
            stored: self.replicas[replica].disk.clone(),
            bootstrap,
            tolerated_disk_losses: self.tolerated,
            catch_up_time: Span::from_millis(4000),
        };
        self.replicas[replica].consensus = Some(Consensus::new(self.now, boot));
        self.act(replica);
    }

    /// Power is lost (or the process killed, where `keeps` what was written but not synced).
    fn stop(&mut self, replica: usize, keeps: bool, down: Span) {
        let h = &mut self.replicas[replica];
        if keeps && let Some((_, _, record)) = h.writes.last() {
            h.disk = Some(record.clone());
        }
        h.writes.clear();
        h.consensus = None;
        h.committed.clear();
        h.back_at = self.now + down;
        self.open.retain(|(at, _, _)| *at != replica);
        self.reads.retain(|(at, _, _)| *at != replica);
    }

    fn all(&mut self, keeps: bool, down: Span) {
        (0..self.replicas.len())
            .filter(|h| !self.replicas[*h].is_gone)
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|replica| self.stop(replica, keeps, down));
    }

    fn act(&mut self, replica: usize) {
        loop {
            let Some(consensus) = &mut self.replicas[replica].consensus else { return };
            let todo = consensus.take_actions();
            if todo.is_empty() {
                return;
            }
            for item in todo {
                match item {
                    Action::Persist { number, state: record } => {
                        let at = self.now + self.replicas[replica].sync;
                        self.replicas[replica].writes.push((at, number, record));
                    }
                    Action::Send { to, message } => self.say(replica, to, message),
                    Action::Committed { config: state, .. } => self.committed(replica, &state.0),
                    Action::ProposalDone { number, outcome } => {
                        let which = self.open.iter().position(|(at, n, _)| (*at, *n) == (replica, number));
                        if let Some(which) = which {
                            let (_, _, change) = self.open.remove(which);
                            if outcome == RequestOutcome::Confirmed {
                                self.acked.push(change);
                            }
                        }
                    }
                    Action::ReadDone { number, outcome } => {
                        let which = self.reads.iter().position(|(at, n, _)| (*at, *n) == (replica, number));
                        let (_, _, acked) = self.reads.remove(which.expect("one that was asked"));
                        if outcome == RequestOutcome::Confirmed {
                            self.answered += 1;
                            let read = &self.replicas[replica].committed;
                            let missing = self.acked[..acked].iter().find(|a| !read.contains(a));
                            assert_eq!(missing, None, "acknowledged before the read, and not in {read:?}");
                        }
                    }
                }
            }
        }
    }

    fn say(&mut self, from: usize, to: NodeAddress, message: Message) {
        let to = (0..self.replicas.len()).find(|n| node(*n) == to).expect("a replica");
        let is_cut = self.cut.is_some_and(|(who, _, one_way)| who == from || who == to && !one_way);
        if !is_cut && self.rng.next_f64() >= self.losses {
            let delay = Span::from_secs(0.0005 + 0.004 * self.rng.next_f64().powi(3));
            self.last += 1;
            self.messages.insert((self.now + delay, self.last), (from, to, message));
        }
    }

    fn committed(&mut self, replica: usize, state: &[u8]) {
        let old = &self.replicas[replica].committed;
        assert!(state.starts_with(old), "replica {replica} goes back from {old:?} to {state:?}");
        self.replicas[replica].committed = state.to_vec();
        if state.len() > self.longest.len() {
            assert!(state.starts_with(&self.longest), "{:?} was committed, and now {state:?}", self.longest);
            self.longest = state.to_vec();
        } else {
            assert!(self.longest.starts_with(state), "{:?} was committed, and also {state:?}", self.longest);
        }
    }

    fn step(&mut self) {
        self.now = self.now + Span::from_millis(1);
        let now = self.now;
        for replica in 0..self.replicas.len() {
            if self.replicas[replica].is_gone || self.replicas[replica].stands_still_until > now {
                continue;
            }
            if self.replicas[replica].consensus.is_none() {
                if now >= self.replicas[replica].back_at {
                    self.start(replica, false);
                }
                continue;
            }
            while let Some((at, number, record)) = self.replicas[replica].writes.first().cloned()
                && at <= now
            {
                self.replicas[replica].writes.remove(0);
                self.replicas[replica].disk = Some(record);
                self.replicas[replica].consensus.as_mut().expect("runs").on_persisted(now, number);
                self.act(replica);
            }
            self.replicas[replica].consensus.as_mut().expect("runs").tick(now);
            self.act(replica);
            // Every replica keeps a line to all that it knows of, and so is seen by them.
            let other = (now.nanos() / 1_000_000) as usize % self.replicas.len();
            if self.replicas[other].consensus.is_some() && self.cut.is_none() {
                self.replicas[replica].consensus.as_mut().expect("runs").on_peer_seen(now, node(other));
                self.act(replica);
            }
        }
        let due: Vec<_> = self.messages.range(..=(now, u64::MAX)).map(|(key, _)| *key).collect();
        for key in due {
            let (from, to, message) = self.messages.remove(&key).expect("due");
            if self.replicas[to].stands_still_until > now {
                // It lies in the kernel until the machine goes on.
                self.messages.insert((self.replicas[to].stands_still_until, key.1), (from, to, message));
            } else if let Some(consensus) = &mut self.replicas[to].consensus {
                consensus.handle_message(now, node(from), message);
                self.act(to);
            }
        }
        if self.cut.is_some_and(|(_, until, _)| now >= until) {
            self.cut = None;
        }
    }

    /// An operator asks whoever says that it leads.
    fn propose(&mut self) {
        for replica in 0..self.replicas.len() {
            let mut state = self.replicas[replica].committed.clone();
            let Some(consensus) = &mut self.replicas[replica].consensus else { continue };
            if consensus.is_established_leader() && !consensus.has_uncommitted() && self.next_change < 250 {
                state.push(self.next_change);
                if let Some(number) = consensus.propose(self.now, state) {
                    self.open.push((replica, number, self.next_change));
                    self.next_change += 1;
                }
                self.act(replica);
            }
        }
    }

    fn read(&mut self) {
        for replica in 0..self.replicas.len() {
            let Some(consensus) = &mut self.replicas[replica].consensus else { continue };
            if let Some(number) = consensus.request_read(self.now) {
                self.reads.push((replica, number, self.acked.len()));
            }
            self.act(replica);
        }
    }

    fn leader(&self) -> Option<usize> {
        (0..self.replicas.len())
            .find(|h| self.replicas[*h].consensus.as_ref().is_some_and(Consensus::is_established_leader))
    }

    /// It votes by the disk that it has now, as a leader sees it, and holds what is committed.
    fn is_well(&self, replica: usize) -> bool {
        let Some(leader) = self.leader().and_then(|l| self.replicas[l].consensus.as_ref()) else {
            return false;
        };
        let Some(disk) = &self.replicas[replica].disk else { return false };
        let member = Member { node: node(replica), disk: disk.disk };
        leader.voters().contains(&member)
            && leader.outgoing_voter().is_none()
            && !leader.has_uncommitted()
            && self.replicas[replica].committed == self.longest
    }

    fn trouble(&mut self) {
        let here: Vec<usize> = (0..self.replicas.len()).filter(|h| !self.replicas[*h].is_gone).collect();
        let replica = match (self.rng.next_u32() % 2, self.leader()) {
            (0, Some(leader)) => leader,
            _ => here[self.rng.next_u32() as usize % here.len()],
        };
        match self.rng.next_u32() % 11 {
            0 => self.stop(replica, true, Span::from_millis(300)),
            1 => self.stop(replica, false, Span::from_millis(900)),
            2 => {
                self.cut =
                    Some((replica, self.now + Span::from_millis(2500), self.rng.next_u32().is_multiple_of(2)))
            }
            3 => {
                self.replicas[replica].sync =
                    Span::from_millis([1, 1, 30, 1500][self.rng.next_u32() as usize % 4])
            }
            4 => self.all(false, Span::from_millis(400)),
            5 => self.all(true, Span::from_millis(200)),
            6 => {
                let long = [300, 700, 2000, 6000][self.rng.next_u32() as usize % 4];
                self.replicas[replica].stands_still_until = self.now + Span::from_millis(long);
            }
            kind => self.lose(replica, kind),
        }
    }

    /// A disk is emptied, at times while all others lose power; or a machine is gone for good, and an empty one comes
    /// at another address, at times before it. Not before the last one is well again, as long as it is there.
    fn lose(&mut self, replica: usize, kind: u32) {
        if self.unwell.is_some_and(|u| !self.is_well(u)) || !self.is_well(replica) {
            return;
        }
        match kind {
            7 | 8 => {
                self.unwell = Some(replica);
                if kind == 8 {
                    self.all(false, Span::from_millis(500));
                }
                self.stop(replica, false, Span::from_millis(500));
                self.replicas[replica].disk = None;
            }
            _ if self.replicas.len() < 12 => {
                let after = [300, 1000, 3000][self.rng.next_u32() as usize % 3];
                self.unwell = Some(self.replicas.len());
                self.come(Span::from_millis(after));
                self.stop(replica, false, Span::ZERO);
                self.replicas[replica].is_gone = true;
            }
            _ => {}
        }
    }
}

fn story(seed: u64, n: usize) {
    let mut world = World::new(seed, n);
    for ms in 0..16_000 {
        world.step();
        if world.rng.next_f64() < 0.02 {
            world.propose();
        }
        if world.rng.next_f64() < 0.02 {
            world.read();
        }
        if ms > 1500 && ms < 10_000 && world.rng.next_f64() < 0.0014 {
            world.trouble();
        }
        if ms == 10_500 {
            world.losses = 0.0;
            for replica in &mut world.replicas {
                (replica.sync, replica.stands_still_until) = (Span::from_millis(1), Time::default());
            }
        }
    }
    let leader = world.leader().unwrap_or_else(|| {
        let disk =
            |h: &Replica| h.disk.as_ref().map(|d| (d.disk, d.term, d.vote, d.last, d.state.voters.clone()));
        let disks: Vec<_> = world.replicas.iter().map(|h| (h.is_gone, disk(h))).collect();
        panic!("seed {seed}: nobody leads after all is calm: {disks:#?}")
    });
    let committed = &world.replicas[leader].committed;
    for acked in &world.acked {
        assert!(
            committed.contains(acked),
            "seed {seed}: {acked} was acknowledged and is lost from {committed:?}"
        );
    }
    assert!(!world.acked.is_empty() && world.answered > 0, "seed {seed}: nothing was acknowledged, or read");
    let consensus = world.replicas[leader].consensus.as_ref().expect("leads");
    let here =
        |m: &Member| (0..world.replicas.len()).any(|h| node(h) == m.node && !world.replicas[h].is_gone);
    assert!(
        consensus.voters().iter().all(here),
        "seed {seed}: one that is gone still votes: {:?}",
        consensus.voters()
    );
    assert!(consensus.voters().len() >= n, "seed {seed}: too few vote: {:?}", consensus.voters());
}

fn seeds(from: u64, count: u64) -> std::ops::Range<u64> {
    let long = std::env::var("LYNXSTAIR_STORIES").ok().and_then(|n| n.parse().ok());
    from..from + long.unwrap_or(count)
}

/// What was acknowledged outlives everything the operators' fault budget names, reads are never old, nobody goes
/// back, and there is always a way on.
#[test]
fn three_nodes_agree_under_random_faults() {
    seeds(0, 300).for_each(|seed| story(seed, 3));
}

#[test]
fn five_nodes_agree_under_random_faults() {
    seeds(100_000, 80).for_each(|seed| story(seed, 5));
}

/// One machine lost and replaced by an empty one at another address, and nothing else: before, the newcomer counted
/// from the write on, no majority was left without it, and nobody led ever again.
#[test]
fn a_lost_voter_is_replaced() {
    for (seed, lost) in (0..24).map(|seed| (seed, seed as usize % 3)) {
        let mut world = World::new(seed, 3);
        world.losses = 0.0;
        for ms in 0..12_000 {
            world.step();
            if ms == 2000 {
                world.stop(lost, false, Span::ZERO);
                world.replicas[lost].is_gone = true;
                world.come(Span::from_millis(1000));
            }
            // The successor counts from when it was there for the time to catch up, and another loss may follow.
            if ms == 7000 {
                assert!(world.is_well(3), "seed {seed}: the successor does not vote, or holds not all");
                let next = (lost + 1) % 3;
                world.stop(next, false, Span::ZERO);
                world.replicas[next].is_gone = true;
            }
            if ms % 500 == 0 {
                world.propose();
            }
        }
        let leader = world.leader().unwrap_or_else(|| panic!("seed {seed}: nobody leads"));
        assert!(world.acked.len() > 15, "seed {seed}: only {:?}", world.acked);
        assert!(world.acked.iter().all(|a| world.replicas[leader].committed.contains(a)), "seed {seed}");
    }
}

/// All are killed between the two changes of a replacement: whoever leads next finishes it at once, without finding out
/// anew who is silent, so that the next loss is borne in time.
#[test]
fn a_leader_killed_during_a_replacement() {
    for seed in 0..24 {
        let mut world = World::new(seed, 3);
        world.losses = 0.0;
        (0..2000).for_each(|_| world.step());
        world.stop(1, false, Span::ZERO);
        world.replicas[1].is_gone = true;
        world.come(Span::from_millis(300));
        let amid = (0..5000).any(|_| {
            world.step();
            let voters = |h: &Replica| h.disk.as_ref().map_or(0, |d| d.state.voters.len());
            world.replicas.iter().filter(|h| voters(h) == 4).count() >= 3
        });
        assert!(amid, "seed {seed}: no successor is taken in");
        world.all(true, Span::from_millis(300));
        (0..2000).for_each(|_| world.step());
        let leader = world.leader().unwrap_or_else(|| panic!("seed {seed}: nobody leads"));
        let consensus = world.replicas[leader].consensus.as_ref().expect("leads");
        assert!(
            !consensus.voters().iter().any(|m| m.node == node(1)),
            "seed {seed}: the one that is gone still votes"
        );
        assert!(consensus.voters().len() == 3 && world.is_well(3), "seed {seed}: {:?}", consensus.voters());
    }
}

/// Five, founded by three of them: a disk that is emptied before all five vote is taken out and in as well, and nothing is
/// acknowledged on fewer disks than the budget asks for.
#[test]
fn a_disk_emptied_before_all_seeds_vote() {
    for seed in 0..24 {
        let mut world = World::new(seed, 5);
        world.losses = 0.0;
        let founded = (0..2000).any(|_| {
            world.step();
            world.propose();
            world.leader().is_some()
        });
        assert!(founded, "seed {seed}");
        let lost = (seed % 3) as usize;
        world.stop(lost, false, Span::from_millis(400));
        world.replicas[lost].disk = None;
        for _ in 0..4000 {
            world.step();
            world.propose();
            let holds =
                |h: &&Replica| h.disk.as_ref().is_some_and(|d| d.state.config.0.len() >= world.acked.len());
            assert!(world.acked.is_empty() || world.replicas.iter().filter(holds).count() > 2, "seed {seed}");
        }
        let leader = world.leader().unwrap_or_else(|| panic!("seed {seed}: nobody leads"));
        assert_eq!(
            world.replicas[leader].consensus.as_ref().map(|r| r.voters().len()),
            Some(5),
            "seed {seed}"
        );
        assert!(!world.acked.is_empty() && world.is_well(lost), "seed {seed}");
    }
}

/// A replacement that was planned: the new one comes first, then the old one is told to end; it leads no more, has
/// been replaced, and knows that it may end, within the time that the platform grants.
#[test]
fn a_node_that_shuts_down_is_replaced() {
    for (seed, is_leader) in (0..48).map(|n| (n / 2, n % 2 == 0)) {
        let mut world = World::new(seed, 3);
        world.losses = 0.0;
        (0..2000).for_each(|_| world.step());
        let leader = world.leader().expect("one leads");
        world.propose();
        let ends = if is_leader { leader } else { (leader + 1) % 3 };
        world.come(Span::ZERO);
        (0..1000).for_each(|_| world.step());
        assert!(!world.is_well(3), "seed {seed}: three vote, so a fourth has no vote");
        let now = world.now;
        world.replicas[ends].consensus.as_mut().expect("runs").begin_shutdown(now);
        world.act(ends);
        let mut ended = None;
        for ms in 0..1500 {
            world.step();
            let consensus = world.replicas[ends].consensus.as_ref().expect("runs");
            if ended.is_none() && consensus.may_shut_down(world.now) {
                ended = Some(ms);
                assert!(
                    !consensus.is_voter() && !consensus.is_established_leader(),
                    "seed {seed}: ends before it is replaced"
                );
            }
        }
        assert!(ended.is_some_and(|ms| ms < 1000) && world.is_well(3), "seed {seed}: {ended:?}");
    }
}

/// A replica alone can neither lead nor say that it is sure of anything.
#[test]
fn a_node_alone_does_not_lead() {
    let now = Time::from_nanos(1_000_000_000);
    let seeds: Vec<NodeAddress> = (0..3).map(node).collect();
    let catch_up_time = Span::from_millis(4000);
    let boot = ConsensusConfig {
        me: node(0),
        seeds: &seeds,
        rng_seed: 7,
        stored: None,
        bootstrap: true,
        tolerated_disk_losses: 1,
        catch_up_time,
    };
    let mut consensus = Consensus::new(now, boot);
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

/// A vote that is asked for again before the first one is on the disk waits for the disk as well.
#[test]
fn a_repeated_vote_waits_for_the_disk() {
    let now = Time::from_nanos(1_000_000_000);
    let seeds: Vec<NodeAddress> = (0..3).map(node).collect();
    let found = PersistentState {
        state: ReplicatedState {
            voters: seeds.iter().map(|n| Member { node: *n, disk: 0 }).collect(),
            ..ReplicatedState::default()
        },
        ..PersistentState::default()
    };
    let (found, catch_up_time) = (Some(found), Span::from_millis(4000));
    let boot = ConsensusConfig {
        me: node(0),
        seeds: &seeds,
        rng_seed: 7,
        stored: found,
        bootstrap: false,
        tolerated_disk_losses: 1,
        catch_up_time,
    };
    let mut consensus = Consensus::new(now, boot);
    let ask = Message::RequestVote { term: 3, last: LogId::default(), is_pre_vote: false };
    for _ in 0..2 {
        consensus.handle_message(now, node(1), ask.clone());
        assert!(
            consensus.take_actions().iter().all(|d| matches!(d, Action::Persist { .. })),
            "said before it was synced"
        );
    }
    consensus.on_persisted(now, 2);
    assert!(consensus.take_actions().iter().any(|d| matches!(d, Action::Send { .. })));
}
