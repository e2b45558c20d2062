//! Exhaustive check of small cases: the real consensus, driven by the model checker `stateright` through every order of
//! deliveries, losses, syncs, campaigns, kills, losses of power, emptied disks, proposals and reads that the budgets of a
//! case leave open. docs/design/consensus.md, "Exhaustive check", says what is in it and what is not.
//!
//! Each state that is visited was reached by calls of the real consensus alone, so what is found is real. What is left out
//! of a state's hash (see `form`) can only make two states one, whose continuations differ in when something happens.

#![allow(clippy::too_many_lines, reason = "one arm for each act of the model")]
#![allow(clippy::needless_pass_by_value, reason = "a case is written where it is checked")]

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

/// What must never be seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Wrong {
    TwoLeaders,
    TwoChains,
    Forgotten,
    StaleRead,
    UncountedCopies,
    UncountedVotes,
}

const ONE_LEADER: &str = "a term has one leader (with something committed, where a disk was emptied)";
const ONE_CHAIN: &str = "states form one chain from which no later leader departs";
const KEPT: &str = "what was acknowledged stays";
const FRESH: &str = "a read holds all that was acknowledged before it";
const COPIES: &str = "committed by a majority of the voters, each by its disk";
const VOTES: &str = "elected by a majority of the voters, each by its disk";

/// Faults of the surroundings that the consensus does not bear, put in to see that they are found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outside {
    /// A disk says that it synced, and loses the last of it with the power.
    SyncLies,
    /// An emptied disk comes back under its old number.
    OldNumber,
    /// A read is answered at once by whoever thinks that it leads.
    ReadAtOnce,
}

/// How often each may happen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Budget {
    /// A replica's patience ends; its pre-vote is taken as granted, as it binds nobody.
    campaigns: u8,
    /// A leader's next round.
    rounds: u8,
    /// A machine that leads stands still for a second.
    pauses: u8,
    /// The process ends; what was written gets to the disk.
    kills: u8,
    /// What was written and not synced is lost.
    outages: u8,
    emptied: u8,
    proposals: u8,
    reads: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Act {
    Deliver(usize),
    Sync(usize),
    Campaign(usize),
    Round(usize),
    Pause(usize),
    Kill(usize),
    Outage(usize),
    Empty(usize),
    Propose(usize),
    Read(usize),
}

#[derive(Clone, Debug)]
struct Replica {
    consensus: Consensus,
    /// Its own clock: nobody else's has to do with it.
    now: Time,
    disk: Option<PersistentState>,
    /// What is there after a loss of power: the same, but where a disk lies.
    kept: Option<PersistentState>,
    writes: Vec<(u64, PersistentState)>,
    committed: Vec<u8>,
    proposed: Option<(u64, u8)>,
    reads: Vec<(u64, Vec<u8>)>,
    /// What was handed out to be written last.
    last: LogId,
    /// Its last answer to a leader: whom, in which term, and what it has stored.
    told: Option<(NodeAddress, u64, LogId)>,
    /// How often it began with nothing.
    births: u64,
    /// Of all of the above.
    form: u64,
}

#[derive(Clone, Debug)]
struct Parcel {
    from: usize,
    to: usize,
    message: Arc<Message>,
    form: u64,
}

/// A state that some leader wrote, and all those that it goes on from.
#[derive(Clone, Debug, PartialEq, Hash)]
struct Written {
    voters: Vec<Member>,
    outgoing: Option<Member>,
    config: Vec<u8>,
    before: Vec<LogId>,
}

/// What an onlooker has seen.
#[derive(Clone, Debug, Default, PartialEq, Hash)]
struct History {
    written: BTreeMap<LogId, Written>,
    committed: BTreeMap<LogId, Vec<u8>>,
    leaders: BTreeMap<u64, usize>,
    /// Which disks ever synced a state, and a vote.
    copies: BTreeMap<LogId, BTreeSet<Member>>,
    votes: BTreeMap<(u64, NodeAddress), BTreeSet<Member>>,
    acked: Vec<u8>,
    changes: u8,
    reads_done: u8,
    wrong: BTreeSet<Wrong>,
}

#[derive(Clone, Debug)]
struct World {
    replicas: Vec<Arc<Replica>>,
    way: Vec<Parcel>,
    seen: History,
    left: Budget,
}

impl Hash for World {
    fn hash<H: Hasher>(&self, to: &mut H) {
        for replica in &self.replicas {
            replica.form.hash(to);
        }
        for parcel in &self.way {
            (parcel.from, parcel.to, parcel.form).hash(to);
        }
        self.seen.hash(to);
        self.left.hash(to);
    }
}

impl PartialEq for World {
    fn eq(&self, other: &World) -> bool {
        let forms = |w: &World| -> Vec<u64> {
            w.replicas
                .iter()
                .map(|h| h.form)
                .chain(w.way.iter().map(|p| hash_of((p.from, p.to, p.form))))
                .collect()
        };
        forms(self) == forms(other) && self.seen == other.seen && self.left == other.left
    }
}

/// A case: where it starts, and what may happen then.
#[derive(Clone, Debug)]
struct Case {
    start: Start,
    budget: Budget,
    fault: Option<Fault>,
    outside: Option<Outside>,
    /// So many messages may be under way from one replica to another; beyond that heartbeats are lost, and then older ones.
    lane: usize,
    /// So many acts from the start.
    depth: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Start {
    /// Three that were just founded.
    Founded,
    /// Replica 0 leads.
    Led,
    /// Replica 0 leads, and a change is acknowledged that replica 2 has not got.
    Behind,
    /// Replica 0 leads, replica 3 is a learner that holds everything; whoever is not heard till the next round is gone.
    Newcomer,
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

/// A consensus's text with each time replaced by its rank among the consensus's times, and without its chance (`seed`, `drawn`,
/// `patience`) and the count of its writes: the consensus compares times only with its own, chance says only how long
/// somebody waits, and the numbers of writes say no more than their order.
fn canonical(consensus: &Consensus, now: Time) -> String {
    let text = format!("{consensus:?}");
    let mut times: Vec<u64> = text.split("Time(").skip(1).filter_map(number_before(')')).collect();
    times.push(now.nanos());
    times.sort_unstable();
    times.dedup();
    const MARKS: [(&str, char); 6] = [
        ("Time(", ')'),
        ("seed: ", ','),
        ("drawn: ", ','),
        ("patience: Span(", ')'),
        ("saves: ", ','),
        ("number: ", ','),
    ];
    let mut marks: Vec<(usize, &str, char)> = MARKS
        .iter()
        .flat_map(|(mark, end)| text.match_indices(mark).map(|(at, mark)| (at, mark, *end)))
        .collect();
    marks.sort_unstable();
    let (mut out, mut done) = (String::with_capacity(text.len()), 0);
    for (at, mark, end) in marks {
        let from = at + mark.len();
        let to = from + text[from..].find(end).unwrap_or(0);
        out.push_str(&text[done..from]);
        if mark == "Time(" {
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
            self.births += 1;
        }
        let seeds = [node(0), node(1), node(2)];
        self.consensus =
            Consensus::new(self.now, boot(me, &seeds, self.disk.clone(), bootstrap, self.births));
        self.consensus.fault = fault;
        self.writes.clear();
        self.committed.clear();
        self.proposed = None;
        self.reads.clear();
        self.last = self.disk.as_ref().map_or(LogId::default(), |d| d.last);
        self.told = None;
    }

    /// Whether an answer says nothing new of what is stored here. Without reads such a one tells the leader no more than
    /// that somebody is there, so the network of a case without reads loses it: there are far fewer states then.
    fn says_nothing(&mut self, to: NodeAddress, message: &Message) -> bool {
        let &Message::AppendReply { term, stored, .. } = message else { return false };
        let last =
            self.writes.last().map(|(_, record)| record).or(self.disk.as_ref()).map(|record| record.last);
        if last.is_some_and(|last| stored < last) {
            return true;
        }
        self.told.replace((to, term, stored)) == Some((to, term, stored))
    }

    fn leads(&self, me: usize) -> bool {
        self.consensus.leader() == Some(node(me))
    }
}

/// Whoever was not heard since the last round counts as gone where a learner waits: safety must not hang on that time.
fn boot(
    me: usize,
    seeds: &[NodeAddress],
    found: Option<PersistentState>,
    bootstrap: bool,
    births: u64,
) -> ConsensusConfig<'_> {
    let catch_up_time = Span::from_nanos(2);
    ConsensusConfig {
        me: node(me),
        seeds,
        rng_seed: me as u64 + 1000 * births,
        stored: found,
        bootstrap,
        tolerated_disk_losses: 1,
        catch_up_time,
    }
}

impl World {
    fn new(case: &Case) -> World {
        let replicas = if case.start == Start::Newcomer { 4 } else { 3 };
        let mut world = World {
            replicas: Vec::new(),
            way: Vec::new(),
            seen: History::default(),
            left: Budget::default(),
        };
        let now = Time::from_nanos(1_000_000_000);
        for me in 0..replicas {
            let seeds = [node(0), node(1), node(2)];
            let is_founder = me < 3;
            let consensus = Consensus::new(now, boot(me, &seeds, None, is_founder, 1));
            let (writes, reads) = (Vec::new(), Vec::new());
            let replica = Replica {
                consensus,
                now,
                disk: None,
                kept: None,
                writes,
                committed: Vec::new(),
                proposed: None,
                reads,
                last: LogId::default(),
                told: None,
                births: 1,
                form: 0,
            };
            world.replicas.push(Arc::new(replica));
            Arc::make_mut(&mut world.replicas[me]).consensus.fault = case.fault;
            world.act(case, me, false);
        }
        world.calm(case, &[]);
        if case.start != Start::Founded {
            world.left.campaigns = 1;
            world.step(case, Act::Campaign(0));
            world.calm(case, &[]);
            assert!(world.replicas[0].consensus.is_established_leader(), "the case begins with a leader");
        }
        match case.start {
            Start::Founded | Start::Led | Start::Newcomer => {}
            Start::Behind => {
                world.left.proposals = 1;
                world.step(case, Act::Propose(0));
                world.calm(case, &[2]);
                assert_eq!(world.seen.acked, [1], "the case begins with a change");
            }
        }
        world.way.clear();
        world.left = case.budget;
        world
    }

    /// Everything is synced and delivered, but to and from those that are cut off.
    fn calm(&mut self, case: &Case, cut: &[usize]) {
        loop {
            self.way.retain(|p| !cut.contains(&p.from) && !cut.contains(&p.to));
            if let Some(replica) = (0..self.replicas.len()).find(|h| !self.replicas[*h].writes.is_empty()) {
                self.step(case, Act::Sync(replica));
            } else if !self.way.is_empty() {
                self.step(case, Act::Deliver(0));
            } else {
                return;
            }
        }
    }

    fn step(&mut self, case: &Case, act: Act) {
        let replica = match act {
            Act::Deliver(at) => self.way[at].to,
            Act::Sync(h) | Act::Campaign(h) | Act::Round(h) | Act::Pause(h) | Act::Kill(h) => h,
            Act::Outage(h) | Act::Empty(h) | Act::Propose(h) | Act::Read(h) => h,
        };
        let led = self.replicas[replica].leads(replica);
        let World { replicas, way, seen, left } = self;
        let h = Arc::make_mut(&mut replicas[replica]);
        match act {
            Act::Deliver(at) => {
                let parcel = way.remove(at);
                h.consensus.handle_message(h.now, node(parcel.from), parcel.message.as_ref().clone());
            }
            Act::Sync(_) => {
                let (number, record) = h.writes.remove(0);
                let own = Member { node: node(replica), disk: record.disk };
                if record.last != LogId::default() {
                    seen.copies.entry(record.last).or_default().insert(own);
                }
                if let Some(to) = record.vote {
                    seen.votes.entry((record.term, to)).or_default().insert(own);
                }
                let lies = case.outside == Some(Outside::SyncLies);
                h.kept = if lies { h.disk.take() } else { Some(record.clone()) };
                h.disk = Some(record);
                h.consensus.on_persisted(h.now, number);
            }
            Act::Campaign(_) => {
                left.campaigns -= 1;
                // Asking at once is what a patience that ends, a pre-vote granted and `TimeoutNow` have in common.
                let term = h.consensus.term();
                h.consensus.handle_message(h.now, node((replica + 1) % 3), Message::TimeoutNow { term });
            }
            Act::Round(_) => {
                left.rounds -= 1;
                h.now = h.consensus.next_due();
                h.consensus.tick(h.now);
            }
            Act::Pause(_) => {
                left.pauses -= 1;
                h.now = h.now + Span::from_millis(1_000);
                h.consensus.tick(h.now);
            }
            Act::Kill(_) => {
                left.kills -= 1;
                if let Some((_, record)) = h.writes.pop() {
                    h.kept = Some(record.clone());
                    h.disk = Some(record);
                }
                h.start(replica, false, case.fault);
            }
            Act::Outage(_) => {
                left.outages -= 1;
                h.disk = h.kept.clone();
                h.start(replica, false, case.fault);
            }
            Act::Empty(_) => {
                left.emptied -= 1;
                (h.disk, h.kept) = (None, None);
                h.start(replica, case.outside == Some(Outside::OldNumber), case.fault);
            }
            Act::Propose(_) => {
                left.proposals -= 1;
                seen.changes += 1;
                let change = seen.changes;
                let config: Vec<u8> = h.committed.iter().copied().chain([change]).collect();
                h.proposed = h.consensus.propose(h.now, config).map(|number| (number, change));
            }
            Act::Read(_) => {
                left.reads -= 1;
                if case.outside == Some(Outside::ReadAtOnce) {
                    seen.read(&h.committed, &seen.acked.clone());
                } else if let Some(number) = h.consensus.request_read(h.now) {
                    h.reads.push((number, seen.acked.clone()));
                }
            }
        }
        self.act(case, replica, led);
    }

    /// Does what a consensus asked for, and judges it.
    fn act(&mut self, case: &Case, replica: usize, led: bool) {
        let World { replicas, way, seen, .. } = self;
        let newcomer = (replicas.len() > 3).then(|| node(3));
        let h = Arc::make_mut(&mut replicas[replica]);
        if let Some(newcomer) = newcomer {
            h.consensus.on_peer_seen(h.now, newcomer);
        }
        for order in h.consensus.take_actions() {
            match order {
                Action::Persist { number, state: record } => {
                    seen.written(h.last, record.last, &record.state);
                    h.last = record.last;
                    h.writes.push((number, record));
                }
                Action::Send { to, message } if case.budget.reads == 0 && h.says_nothing(to, &message) => {}
                Action::Send { to, message } => send(way, case.lane, replica, replica_at(to), message),
                Action::Committed { position: at, config } => {
                    h.committed = config.0.to_vec();
                    seen.committed(at, &config.0, h.consensus.leader() == Some(node(replica)));
                }
                Action::ProposalDone { number, outcome } => {
                    if let Some((_, change)) = h.proposed.take_if(|(n, _)| *n == number)
                        && outcome == RequestOutcome::Confirmed
                    {
                        seen.acked.push(change);
                    }
                }
                Action::ReadDone { number, outcome } => {
                    let Some(at) = h.reads.iter().position(|(n, _)| *n == number) else { continue };
                    let (_, acked) = h.reads.remove(at);
                    if outcome == RequestOutcome::Confirmed {
                        seen.read(&h.committed, &acked);
                    }
                }
            }
        }
        if h.leads(replica) && !led {
            let votes = seen.votes.get(&(h.consensus.term(), node(replica)));
            let counted =
                h.consensus.voters().iter().filter(|m| votes.is_some_and(|v| v.contains(m))).count();
            seen.require(counted > h.consensus.voters().len() / 2, Wrong::UncountedVotes);
        }
        // Where no disk is emptied, a term has not even two that are elected.
        if h.consensus.is_established_leader() || h.leads(replica) && case.budget.emptied == 0 {
            let first = *seen.leaders.entry(h.consensus.term()).or_insert(replica);
            seen.require(first == replica, Wrong::TwoLeaders);
        }
        let text = canonical(&h.consensus, h.now);
        let writes: Vec<String> = h.writes.iter().map(|(_, record)| format!("{record:?}")).collect();
        let disks = format!("{:?} {:?}", h.disk, h.kept);
        h.form = hash_of((text, disks, writes, &h.committed, h.proposed, &h.reads, (h.told, h.births)));
        // As long as no more than the budget is lost, some disk holds what was acknowledged.
        let holds = |change: &u8| {
            replicas.iter().any(|h| h.disk.as_ref().is_some_and(|d| d.state.config.0.contains(change)))
        };
        let are_kept = seen.acked.iter().all(holds);
        seen.require(are_kept, Wrong::Forgotten);
    }
}

/// Clocks and echoes are struck out: nothing about the configuration hangs on them. What is there already is not sent twice.
fn send(way: &mut Vec<Parcel>, lane: usize, from: usize, to: usize, mut message: Message) {
    match &mut message {
        Message::Append { clock_echo: echo, confirmed_ns_ago: fresh, .. } => (*echo, *fresh) = (0, None),
        Message::AppendReply { clock, .. } => *clock = 0,
        _ => {}
    }
    let form = hash_of(format!("{message:?}"));
    if way.iter().any(|p| (p.from, p.to, p.form) == (from, to, form)) {
        return;
    }
    // By pairs, so that it does not matter who spoke first.
    let end = way.partition_point(|p| (p.from, p.to) <= (from, to));
    way.insert(end, Parcel { from, to, message: Arc::new(message), form });
    let begin = way.partition_point(|p| (p.from, p.to) < (from, to));
    if end + 1 - begin > lane {
        let is_beat = |p: &Parcel| matches!(*p.message, Message::Append { state: None, .. });
        let lost = way[begin..=end].iter().position(is_beat).unwrap_or(0);
        way.remove(begin + lost);
    }
}

impl History {
    fn require(&mut self, holds: bool, or: Wrong) {
        if !holds {
            self.wrong.insert(or);
        }
    }

    /// A state was handed out to be written, by a leader or by one who got it.
    fn written(&mut self, last: LogId, at: LogId, state: &ReplicatedState) {
        if at == LogId::default() {
            return;
        }
        let state = (state.voters.clone(), state.outgoing_voter, state.config.0.to_vec());
        if let Some(w) = self.written.get(&at) {
            let is_same = (w.voters.clone(), w.outgoing, w.config.clone()) == state;
            return self.require(is_same, Wrong::TwoChains);
        }
        let (voters, outgoing, config) = state;
        let mut before = self.written.get(&last).map_or(Vec::new(), |w| w.before.clone());
        before.extend((last != LogId::default()).then_some(last));
        let goes_on = self.committed.range(..at).all(|(id, _)| before.contains(id));
        self.require(goes_on, Wrong::TwoChains);
        let is_newest = self.written.keys().next_back().is_none_or(|newest| *newest < at);
        let are_kept = self.acked.iter().all(|change| config.contains(change));
        self.require(are_kept || !is_newest, Wrong::Forgotten);
        self.written.insert(at, Written { voters, outgoing, config, before });
    }

    fn committed(&mut self, at: LogId, config: &[u8], by_leader: bool) {
        let Some(state) = self.written.get(&at) else { return self.require(false, Wrong::TwoChains) };
        let is_in_later = self.written.range(at..).skip(1).all(|(_, later)| later.before.contains(&at));
        let is_chain = state.config == config && is_in_later;
        let holders = self.copies.get(&at);
        let copies = state.voters.iter().filter(|m| holders.is_some_and(|c| c.contains(m))).count();
        let is_majority = copies > state.voters.len() / 2;
        self.require(is_chain, Wrong::TwoChains);
        self.require(!by_leader || is_majority, Wrong::UncountedCopies);
        self.committed.insert(at, config.to_vec());
    }

    fn read(&mut self, config: &[u8], acked: &[u8]) {
        self.reads_done += 1;
        self.require(acked.iter().all(|change| config.contains(change)), Wrong::StaleRead);
    }
}

impl Model for Case {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        vec![World::new(self)]
    }

    fn actions(&self, world: &World, acts: &mut Vec<Act>) {
        let left = world.left;
        acts.extend((0..world.way.len()).map(Act::Deliver));
        for (h, replica) in world.replicas.iter().enumerate() {
            let has_role = replica.leads(h);
            let can = [
                (!replica.writes.is_empty(), Act::Sync(h)),
                (left.campaigns > 0 && !has_role && replica.consensus.is_voter(), Act::Campaign(h)),
                (left.rounds > 0 && has_role, Act::Round(h)),
                (left.pauses > 0 && has_role, Act::Pause(h)),
                (left.kills > 0, Act::Kill(h)),
                (left.outages > 0, Act::Outage(h)),
                (left.emptied > 0, Act::Empty(h)),
                (
                    left.proposals > 0
                        && replica.consensus.is_established_leader()
                        && !replica.consensus.has_uncommitted(),
                    Act::Propose(h),
                ),
                (left.reads > 0 && replica.consensus.is_established_leader(), Act::Read(h)),
            ];
            acts.extend(can.into_iter().filter_map(|(may, act)| may.then_some(act)));
        }
    }

    fn next_state(&self, world: &World, act: Act) -> Option<World> {
        let mut next = world.clone();
        next.step(self, act);
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Case>> {
        vec![
            Property::always(ONE_LEADER, |_, w: &World| !w.seen.wrong.contains(&Wrong::TwoLeaders)),
            Property::always(ONE_CHAIN, |_, w: &World| !w.seen.wrong.contains(&Wrong::TwoChains)),
            Property::always(KEPT, |_, w: &World| !w.seen.wrong.contains(&Wrong::Forgotten)),
            Property::always(FRESH, |_, w: &World| !w.seen.wrong.contains(&Wrong::StaleRead)),
            Property::always(COPIES, |_, w: &World| !w.seen.wrong.contains(&Wrong::UncountedCopies)),
            Property::always(VOTES, |_, w: &World| !w.seen.wrong.contains(&Wrong::UncountedVotes)),
            // That the budgets get anywhere.
            Property::sometimes(CHANGED, |_, w: &World| w.seen.acked.len() > usize::from(w.seen.changes > 1)),
            Property::sometimes(LED_AGAIN, |_, w: &World| w.seen.leaders.len() > 1),
            Property::sometimes(READ, |_, w: &World| w.seen.reads_done > 0),
            Property::sometimes(EXCHANGED, |_, w: &World| {
                let is_in = |voters: &[Member]| voters.len() == 3 && voters.iter().any(|m| m.disk != 0);
                w.seen.committed.keys().any(|id| w.seen.written.get(id).is_some_and(|w| is_in(&w.voters)))
            }),
        ]
    }
}

const CHANGED: &str = "a change is acknowledged";
const LED_AGAIN: &str = "another term's leader commits";
const READ: &str = "a read is answered";
const EXCHANGED: &str = "a voter's place is another's";
const LAWS: [&str; 6] = [ONE_LEADER, ONE_CHAIN, KEPT, FRESH, COPIES, VOTES];

/// A large case that has not come to its end by then has been checked as far as it got.
const LARGE_TIME: Duration = Duration::from_secs(90);

fn is_large() -> bool {
    std::env::var("LYNXSTAIR_MODEL").is_ok_and(|v| v == "large")
}

/// Every state within the case's budgets; what is to be reached is named.
fn check(name: &str, case: Case, reached: &[&'static str]) {
    let began = std::time::Instant::now();
    let mut builder = case
        .clone()
        .checker()
        .target_max_depth(case.depth)
        .finish_when(HasDiscoveries::AnyFailures)
        .threads(3);
    if is_large() {
        builder = builder.timeout(LARGE_TIME);
    }
    let checker = builder.spawn_bfs().join();
    let (unique, depth) = (checker.unique_state_count(), checker.max_depth());
    let is_cut = if is_large() && began.elapsed() >= LARGE_TIME { ", stopped by its time" } else { "" };
    println!(
        "{name}: {unique} states, {} visited, depth {depth}, {:?}{is_cut}",
        checker.state_count(),
        began.elapsed()
    );
    for law in LAWS {
        if let Some(path) = checker.discovery(law) {
            panic!("{name}: {law}: broken by {:#?}", path.into_actions());
        }
    }
    for goal in reached {
        assert!(checker.discovery(goal).is_some(), "{name}: not reached: {goal}");
    }
}

/// A fault that was put in is found by the law that is named.
fn finds(name: &str, case: Case, law: &'static str) {
    let began = std::time::Instant::now();
    let checker =
        case.checker().finish_when(HasDiscoveries::AnyOf([law].into())).threads(3).spawn_bfs().join();
    let found: Vec<&str> = checker.discoveries().into_keys().filter(|l| LAWS.contains(l)).collect();
    let path = checker.discovery(law).map(|path| path.into_actions());
    println!(
        "{name}: {} states, {:?}, found {found:?} by {path:?}",
        checker.unique_state_count(),
        began.elapsed()
    );
    assert!(path.is_some(), "{name}: not found: {law}");
}

/// One message a lane, and no more acts than `depth`; the large run has no end but its budgets.
fn case(start: Start, depth: usize, budget: Budget) -> Case {
    let depth = if is_large() { usize::MAX } else { depth };
    Case { start, budget, fault: None, outside: None, lane: 1, depth }
}

#[test]
fn elections_are_safe() {
    let budget = Budget { campaigns: 1, outages: 1, ..Budget::default() };
    check("an outage and an election", case(Start::Led, 60, budget), &[LED_AGAIN]);
    let budget = Budget { campaigns: 2, kills: u8::from(is_large()), ..Budget::default() };
    check("two elections", case(Start::Led, 13, budget), &[LED_AGAIN]);
}

#[test]
fn changes_of_the_configuration_are_safe() {
    let budget = Budget { campaigns: 1, proposals: 1, outages: u8::from(is_large()), ..Budget::default() };
    check("a change and an election", case(Start::Led, 14, budget), &[CHANGED, LED_AGAIN]);
}

#[test]
fn an_emptied_disk_is_safe() {
    let more = u8::from(is_large());
    let budget = Budget { campaigns: 1 + more, emptied: 1, ..Budget::default() };
    check("an emptied disk", case(Start::Behind, 60, budget), &[LED_AGAIN]);
}

#[test]
fn reads_are_linearizable() {
    let budget =
        Budget { campaigns: 1, proposals: 1, reads: 1, pauses: u8::from(is_large()), ..Budget::default() };
    check("reads", case(Start::Led, 12, budget), &[CHANGED, READ, LED_AGAIN]);
}

#[test]
fn exchanging_a_voter_is_safe() {
    let budget = Budget { rounds: 1, ..Budget::default() };
    check("a voter exchanged", case(Start::Newcomer, 20, budget), &[EXCHANGED]);
    let budget = Budget { rounds: 1, campaigns: 1, outages: u8::from(is_large()), ..Budget::default() };
    check("a voter exchanged amid an election", case(Start::Newcomer, 12, budget), &[LED_AGAIN]);
}

#[test]
fn deliberate_faults_of_the_consensus_are_found() {
    let with = |fault, start, budget| Case { fault: Some(fault), ..case(start, 60, budget) };
    let exchange = Budget { rounds: 1, ..Budget::default() };
    finds("LearnerCounts", with(Fault::LearnersInCommitQuorum, Start::Newcomer, exchange), COPIES);
    let election = Budget { campaigns: 1, ..exchange };
    finds("TwoAtOnce", with(Fault::VoterReplacedInOneChange, Start::Newcomer, election), ONE_CHAIN);
    let emptied = Budget { campaigns: 1, emptied: 1, ..Budget::default() };
    finds("AnyVoteCounts", with(Fault::UncheckedVotes, Start::Behind, emptied), VOTES);
    finds("AnyVoteCounts", with(Fault::UncheckedVotes, Start::Behind, emptied), KEPT);
}

#[test]
fn deliberate_faults_of_callers_are_found() {
    let with = |outside, start, budget| Case { outside: Some(outside), ..case(start, 60, budget) };
    let forgets = Budget { campaigns: 2, outages: 1, ..Budget::default() };
    finds("SyncLies", with(Outside::SyncLies, Start::Founded, forgets), ONE_LEADER);
    let emptied = Budget { campaigns: 1, emptied: 1, ..Budget::default() };
    finds("OldNumber", with(Outside::OldNumber, Start::Behind, emptied), KEPT);
    let deposed = Budget { campaigns: 1, proposals: 1, reads: 1, ..Budget::default() };
    finds("ReadAtOnce", with(Outside::ReadAtOnce, Start::Led, deposed), FRESH);
}

/// Two rounds may begin by the same time, or the later one by an earlier: whoever calls may have been held up after it
/// looked at the clock. A read goes by the number of its round.
#[test]
fn a_read_at_the_instant_of_a_round_waits_for_the_next() {
    let budget = Budget { campaigns: 1, proposals: 2, reads: 1, ..Budget::default() };
    let case = Case { lane: 9, ..case(Start::Led, 60, budget) };
    let mut world = World::new(&case);
    let (old, new) = (LogId { term: 1, index: 1 }, LogId { term: 1, index: 2 });
    let act = |world: &mut World, acts: &[Act]| acts.iter().for_each(|act| world.step(&case, *act));
    // The newest message from one to another.
    let hear = |world: &mut World, from: usize, to: usize| {
        let at = world.way.iter().rposition(|p| (p.from, p.to) == (from, to)).expect("a message");
        world.step(&case, Act::Deliver(at));
    };
    let hear_stored = |world: &mut World, what: LogId| {
        let says = |p: &Parcel| matches!(&*p.message, Message::AppendReply { stored, .. } if *stored == what);
        let at = world.way.iter().position(|p| p.to == 0 && says(p)).expect("an answer");
        world.step(&case, Act::Deliver(at));
    };
    // Replica 2 answers a round of replica 0 twice, at once and from its disk. Both answers are held up.
    act(&mut world, &[Act::Propose(0), Act::Sync(0)]);
    hear(&mut world, 0, 2);
    act(&mut world, &[Act::Sync(2), Act::Campaign(2), Act::Sync(2)]);
    // Replica 2 leads by the vote of replica 1, and has a change committed.
    hear(&mut world, 2, 1);
    act(&mut world, &[Act::Sync(1)]);
    hear(&mut world, 1, 2);
    act(&mut world, &[Act::Sync(2)]);
    hear(&mut world, 2, 1);
    act(&mut world, &[Act::Sync(1)]);
    hear(&mut world, 1, 2);
    act(&mut world, &[Act::Propose(2), Act::Sync(2)]);
    hear(&mut world, 2, 1);
    act(&mut world, &[Act::Sync(1)]);
    hear(&mut world, 1, 2);
    assert_eq!(world.seen.acked, [2]);
    // Replica 0 knows nothing of it. Its own change is committed by the one answer, by which a round begins.
    act(&mut world, &[Act::Read(0)]);
    hear_stored(&mut world, new);
    hear_stored(&mut world, old);
    assert!(world.seen.wrong.is_empty(), "{:?}", world.seen.wrong);
}
