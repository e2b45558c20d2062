//! What a voter does while it leads: who may have a duty, when a lease has run out, what operators want, who
//! takes the place of a voter.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use lynxstair::types::{Span, Time};
use protobuf::Message as _;
use raft::ReadState;
use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2};
use serde::{Deserialize, Serialize};

use crate::book::{Came, Command, Held, Owner};
use crate::voter::{Node, Voter};
use crate::words::{Answer, Ask, Epoch, Message, VoterAt, VoterId, Wants, hash, logged};

/// So many questions wait for a majority at a time; what is over is asked again.
const MOST_WAITING: usize = 1_024;
/// One that lost its records is taken in after so long, and a change of voters proposed again.
const TAKE_IN: Span = Span::from_millis(1_000);
/// One that is to be a voter is told so each so often.
const SUMMON: Span = Span::from_millis(250);

/// A change of voters, as it lies in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Change {
    pub id: u64,
    pub old: VoterId,
    pub new: VoterAt,
}

/// A grant that is claimed again so often and never renewed did not reach its owner: it can send and not hear.
const UNHEARD: u32 = 3;
/// One that is deaf so is passed over for so long, and longer each time.
const PASSED_OVER: Span = Span::from_millis(4_000);
/// So many members are known by address, to be given a hint.
const MOST_KNOWN: usize = 256;
/// And so many of them get one when a duty is free.
const HINTED: usize = 3;

/// Where an answer goes.
#[derive(Clone, Debug)]
struct Caller {
    addr: SocketAddrV4,
    name: String,
    number: u64,
    since: Time,
}

/// A voter that is being replaced.
struct Replacing {
    id: u64,
    old: VoterAt,
    new: String,
    addr: SocketAddrV4,
    caller: Option<Caller>,
    proposed: Option<Time>,
    summoned: Time,
}

/// While a voter leads. None of it is kept: the next leader waits a whole lease instead.
pub(crate) struct Office {
    pub term: u64,
    since: Time,
    /// Until when an owner may hold itself for confirmed, at the latest.
    leases: BTreeMap<String, Time>,
    released: BTreeMap<String, Time>,
    /// Waiting for a majority to confirm that this voter leads.
    reads: BTreeMap<u64, (Caller, Ask)>,
    /// Confirmed, and to be answered when this much is applied.
    confirmed: Vec<(u64, Caller, Ask)>,
    commands: BTreeMap<u64, Caller>,
    /// Duties whose next owner lies in the log and is not applied yet. What lies there while this voter leads is
    /// applied, or it leads no more.
    granting: BTreeSet<String>,
    replacing: Option<Replacing>,
    strangers: BTreeMap<String, Time>,
    /// Claims by the owner itself since it renewed last.
    unheard: BTreeMap<String, u32>,
    /// Until when one is passed over, and how often it was.
    deaf: BTreeMap<String, (Time, u32)>,
    /// By duty and member: where it asked from.
    known: BTreeMap<(String, String), SocketAddrV4>,
    last: u64,
}

impl Office {
    pub fn taken(now: Time, term: u64) -> Self {
        Office {
            term,
            since: now,
            leases: BTreeMap::new(),
            released: BTreeMap::new(),
            reads: BTreeMap::new(),
            confirmed: Vec::new(),
            commands: BTreeMap::new(),
            granting: BTreeSet::new(),
            replacing: None,
            strangers: BTreeMap::new(),
            unheard: BTreeMap::new(),
            deaf: BTreeMap::new(),
            known: BTreeMap::new(),
            last: 0,
        }
    }

    fn next(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// Whether this one may have it now.
    fn may_grant(&self, now: Time, lease: Span, held: Option<&Held>, duty: &str, who: &str) -> bool {
        if self.deaf.get(who).is_some_and(|(until, _)| now < *until) {
            return false;
        }
        let Some(held) = held else { return true };
        match &held.owner {
            // Its own process, started anew: the last one is gone.
            Some(owner) if owner.name == who => true,
            Some(_) => {
                let until = self.leases.get(duty).copied().unwrap_or(self.since + lease);
                now >= until
            }
            None => {
                // A member for whom it is meant has a lease's time to come for it, and the one it was taken
                // from waits as long.
                let first = self.released.get(duty).copied().unwrap_or(self.since) + lease;
                let meant = held.meant_for.as_ref().is_none_or(|m| m == who);
                let barred = held.not_for.as_deref() == Some(who);
                meant && !barred || now >= first
            }
        }
    }
}

/// Who owns it instead, if anybody.
fn not_yours(held: Option<&Held>) -> Answer {
    let owner = held.and_then(|h| h.owner.as_ref()).map(|o| o.name.clone());
    Answer::NotYours { epoch: held.map_or(Epoch(0), |h| h.epoch), owner }
}

impl Voter {
    /// A question to the leader.
    pub(crate) fn answer_ask(&mut self, now: Time, addr: SocketAddrV4, who: &str, number: u64, ask: &Ask) {
        let (Some(node), Some(office)) = (self.node.as_ref(), self.office.as_mut()) else { return };
        // Before an entry of its own term is applied, it does not know what others have promised.
        let applied_term = node.raft.raft.raft_log.term(node.applied).unwrap_or(0);
        if applied_term != office.term {
            return self.answer(addr, number, Answer::Aside { why: "it has only begun to lead".to_string() });
        }
        let caller = Caller { addr, name: who.to_string(), number, since: now };
        let lease = self.times.lease;
        if let Ask::Claim { duty, .. } | Ask::Renew { duty, .. } = ask {
            let key = (duty.clone(), who.to_string());
            if office.known.len() < MOST_KNOWN || office.known.contains_key(&key) {
                office.known.insert(key, addr);
            }
        }
        match ask {
            Ask::Claim { duty, stand, seen } => {
                let held = node.book.duties.get(duty);
                if held.is_some_and(|h| h.is_of(who, *stand)) {
                    let unheard = office.unheard.entry(duty.clone()).or_default();
                    *unheard += 1;
                    if *unheard <= UNHEARD {
                        return self.confirm(now, caller, ask);
                    }
                    let (until, times) = office.deaf.entry(who.to_string()).or_insert((now, 0));
                    if now >= *until {
                        *times = (*times + 1).min(2);
                        *until = now + PASSED_OVER.times(f64::from(1 << (*times - 1)));
                    }
                    return;
                }
                let epoch = held.map_or(Epoch(0), |h| h.epoch);
                if office.granting.contains(duty) || !office.may_grant(now, lease, held, duty, who) {
                    let answer = not_yours(held);
                    return self.answer(addr, number, answer);
                }
                let to = Owner { name: who.to_string(), stand: *stand };
                let (duty, at, by) = (duty.clone(), now.nanos(), self.me.name.clone());
                let grant = Command::Grant { duty, to, after: epoch, seen: *seen, at, by };
                self.propose(now, caller, &grant);
            }
            Ask::Renew { duty, stand, epoch } => {
                let held = node.book.duties.get(duty);
                match held {
                    // One that is to hand it over hears no, and gives it back at once.
                    Some(h) if h.epoch == *epoch && h.is_of(who, *stand) && h.meant_for.is_none() => {
                        office.unheard.remove(duty);
                        office.deaf.remove(who);
                        self.confirm(now, caller, ask);
                    }
                    held => {
                        let answer = not_yours(held);
                        self.answer(addr, number, answer);
                    }
                }
            }
            Ask::GiveBack { duty, epoch } => {
                let (duty, epoch, from) = (duty.clone(), *epoch, who.to_string());
                self.propose(now, caller, &Command::GiveBack { duty, epoch, from });
            }
            Ask::Keep { duty, epoch, state } => {
                let (duty, epoch, state) = (duty.clone(), *epoch, state.clone());
                self.propose(now, caller, &Command::Keep { duty, epoch, state });
            }
            Ask::Operator { id, wants } => {
                if let Some(done) = node.book.done(*id) {
                    let answer = done.map_or(Answer::Done, |why| Answer::No { why: why.to_string() });
                    return self.answer(addr, number, answer);
                }
                let id = *id;
                match wants.clone() {
                    Wants::HandOver { duty, to } => {
                        self.propose(now, caller, &Command::HandOver { id, duty, to });
                    }
                    Wants::Depose { duty } => self.propose(now, caller, &Command::Depose { id, duty }),
                    Wants::Replace { old, new, addr } => self.replace(now, caller, id, &old, &new, addr),
                }
            }
            Ask::Show => self.confirm(now, caller, ask),
        }
    }

    /// Answers once a majority has confirmed that this voter leads now: what is said then was so after it was
    /// asked.
    fn confirm(&mut self, now: Time, caller: Caller, ask: &Ask) {
        let Some(office) = self.office.as_mut() else { return };
        office.reads.retain(|_, (c, _)| now - c.since < Span::from_millis(3_000));
        if office.reads.len() >= MOST_WAITING {
            return;
        }
        let key = office.next();
        office.reads.insert(key, (caller, ask.clone()));
        self.run(now, |node| node.raft.read_index(key.to_be_bytes().to_vec()));
    }

    fn propose(&mut self, now: Time, caller: Caller, command: &Command) {
        let Some(office) = self.office.as_mut() else { return };
        office.commands.retain(|_, c| now - c.since < Span::from_millis(10_000));
        if office.commands.len() >= MOST_WAITING {
            return;
        }
        let key = office.next();
        office.commands.insert(key, caller);
        let grants = match command {
            Command::Grant { duty, .. } => Some(duty.clone()),
            _ => None,
        };
        office.granting.extend(grants.clone());
        let mut taken = false;
        // What is not taken is asked for again by the one who wants it.
        self.run(now, |node| {
            taken = node.raft.propose(key.to_be_bytes().to_vec(), logged(command)).is_ok();
        });
        if let (false, Some(duty), Some(office)) = (taken, grants, self.office.as_mut()) {
            office.granting.remove(&duty);
        }
    }

    /// A majority confirmed that this voter leads.
    pub(crate) fn heard_reads(&mut self, now: Time, node: &mut Node, reads: Vec<ReadState>) {
        let Some(office) = self.office.as_mut() else { return };
        for read in reads {
            let Ok(key) = read.request_ctx.as_slice().try_into().map(u64::from_be_bytes) else { continue };
            if let Some((caller, ask)) = office.reads.remove(&key) {
                office.confirmed.push((read.index, caller, ask));
            }
        }
        let applied = node.applied;
        let (due, later) =
            std::mem::take(&mut office.confirmed).into_iter().partition(|(i, _, _)| *i <= applied);
        office.confirmed = later;
        for (_, caller, ask) in due {
            let caller: Caller = caller;
            if let Some(answer) = self.confirmed(now, node, &caller, &ask) {
                self.answer(caller.addr, caller.number, answer);
            }
        }
    }

    fn confirmed(&mut self, now: Time, node: &Node, caller: &Caller, ask: &Ask) -> Option<Answer> {
        let answer = match ask {
            Ask::Claim { duty, stand, .. } | Ask::Renew { duty, stand, .. } => {
                let held = node.book.duties.get(duty);
                // It is on its way to somebody else: no word that it is still this one's.
                if self.office.as_ref()?.granting.contains(duty) {
                    return None;
                }
                match held {
                    Some(h) if h.is_of(&caller.name, *stand) => {
                        // From now on, which is later than from when the owner counts.
                        if let Some(office) = self.office.as_mut() {
                            office.leases.insert(duty.clone(), now + self.times.lease);
                        }
                        Answer::Yours { epoch: h.epoch, state: h.state.clone() }
                    }
                    held => not_yours(held),
                }
            }
            _ => Answer::Book {
                duties: node.book.duties.iter().map(|(d, h)| (d.clone(), h.clone())).collect(),
                voters: node.book.voters.values().cloned().collect(),
                leader: self.me.name.clone(),
            },
        };
        Some(answer)
    }

    /// A command is applied, here and for good. Whoever waits for it is told.
    pub(crate) fn applied(&mut self, now: Time, node: &Node, context: &[u8], command: &Command, came: &Came) {
        let Some(office) = self.office.as_mut() else { return };
        let mut hints = Vec::new();
        if let Command::Grant { duty, .. } = command {
            office.granting.remove(duty);
        }
        match came {
            Came::Granted { duty, .. } => {
                office.leases.insert(duty.clone(), now + self.times.lease);
                office.unheard.remove(duty);
            }
            Came::Released { duty, from, .. } => {
                office.released.insert(duty.clone(), now);
                let meant = node.book.duties.get(duty).and_then(|h| h.meant_for.as_deref());
                let of = |(d, who): &(String, String)| {
                    d == duty && *who != from.name && meant.is_none_or(|m| m == who)
                };
                let who = office.known.iter().filter(|(k, _)| of(k)).map(|(_, a)| *a).take(HINTED);
                hints.extend(who.map(|a| (a, duty.clone())));
            }
            _ => {}
        }
        if let Command::HandOver { duty, .. } = command {
            let owner = node.book.duties.get(duty).and_then(|h| h.owner.as_ref());
            let key = owner.map(|o| (duty.clone(), o.name.clone()));
            hints.extend(key.and_then(|k| office.known.get(&k)).map(|a| (*a, duty.clone())));
        }
        let key = context.try_into().map(u64::from_be_bytes).unwrap_or_default();
        let caller = office.commands.remove(&key);
        for (addr, duty) in hints {
            self.say(addr, &Message::Hint { duty });
        }
        let Some(caller) = caller else { return };
        let answer = match (command, came) {
            (Command::Grant { duty, .. }, Came::Granted { epoch, .. }) => {
                let state = node.book.duties.get(duty).map(|h| h.state.clone()).unwrap_or_default();
                Answer::Yours { epoch: *epoch, state }
            }
            (Command::Grant { duty, .. }, _) => not_yours(node.book.duties.get(duty)),
            // Given back before, by the same question.
            (Command::GiveBack { .. }, _) => Answer::Done,
            // By the same id before: what came of it then is in the book.
            (Command::HandOver { id, .. } | Command::Depose { id, .. }, _) => {
                node.book.done(*id).flatten().map_or(Answer::Done, |why| Answer::No { why: why.to_string() })
            }
            (_, Came::Nothing(why)) => Answer::No { why: (*why).to_string() },
            _ => Answer::Done,
        };
        self.answer(caller.addr, caller.number, answer);
    }

    fn replace(&mut self, now: Time, caller: Caller, id: u64, old: &str, new: &str, addr: SocketAddrV4) {
        let (Some(node), Some(office)) = (self.node.as_ref(), self.office.as_mut()) else { return };
        let voters = || node.book.voters.values();
        let no = |why: String| Answer::No { why };
        let Some(old_at) = voters().find(|v| v.name == old).cloned() else {
            let answer = no(format!("{old} is no voter"));
            return self.answer(caller.addr, caller.number, answer);
        };
        if old != new && voters().any(|v| v.name == new) {
            let answer = no(format!("{new} is a voter already"));
            return self.answer(caller.addr, caller.number, answer);
        }
        if old_at.id == self.me.id {
            // One that is no voter any more would go on leading: another leads first, and is asked again.
            let other = node.book.voters.keys().copied().find(|id| *id != old_at.id && node.hears(*id));
            if let Some(other) = other {
                self.run(now, |node| node.raft.transfer_leader(other.0));
            }
            return;
        }
        match office.replacing.as_mut() {
            Some(other) if other.id != id => {
                let answer = no(format!("{} is being replaced: one at a time", other.old.name));
                return self.answer(caller.addr, caller.number, answer);
            }
            Some(same) => same.caller = Some(caller),
            None => {
                let (new, caller) = (new.to_string(), Some(caller));
                let replacing =
                    Replacing { id, old: old_at, new, addr, caller, proposed: None, summoned: now };
                office.replacing = Some(replacing);
            }
        }
        self.say(addr, &Message::Summon);
    }

    /// One with an identity and no record says so: it is to be a voter, or was one and lost its records.
    pub(crate) fn stranger(&mut self, now: Time, other: VoterAt) {
        let (Some(node), Some(office)) = (self.node.as_ref(), self.office.as_mut()) else { return };
        let wanted = |r: &&mut Replacing| r.new == other.name && r.old.id != other.id;
        if let Some(replacing) = office.replacing.as_mut().filter(wanted) {
            if replacing.proposed.is_none_or(|at| now - at >= TAKE_IN) {
                replacing.proposed = Some(now);
                let change = Change { id: replacing.id, old: replacing.old.id, new: other };
                self.propose_change(now, &change);
            }
            return;
        }
        let Some(old) = node.book.voters.values().find(|v| v.name == other.name) else { return };
        if old.id == other.id {
            return;
        }
        let (old, heard) = (old.id, node.hears(old.id));
        // Only once its former self was silent for some time: two processes may bear one name for a moment.
        let since = *office.strangers.entry(other.name.clone()).or_insert(now);
        if heard || now - since < TAKE_IN {
            return;
        }
        office.strangers.insert(other.name.clone(), now);
        let id = hash(&[b"taken in", &other.id.0.to_be_bytes()]);
        self.propose_change(now, &Change { id, old, new: other });
    }

    /// Both at once, by joint consensus: at no time is there a majority that the other does not share.
    fn propose_change(&mut self, now: Time, change: &Change) {
        let mut both = ConfChangeV2::default();
        for (kind, id) in
            [(ConfChangeType::RemoveNode, change.old.0), (ConfChangeType::AddNode, change.new.id.0)]
        {
            let mut single = ConfChangeSingle::default();
            single.set_change_type(kind);
            single.node_id = id;
            both.changes.push(single);
        }
        both.context = postcard::to_allocvec(change).unwrap_or_default().into();
        debug_assert!(both.write_to_bytes().is_ok());
        let (id, addr) = (change.new.id.0, change.new.addr);
        self.run(now, |node| {
            node.know(id, addr);
            // Another change on its way: this one is proposed again.
            let _ = node.raft.propose_conf_change(Vec::new(), both);
        });
    }

    pub(crate) fn replaced(&mut self, id: u64) {
        let Some(office) = self.office.as_mut() else { return };
        if let Some(replacing) = office.replacing.take_if(|r| r.id == id)
            && let Some(caller) = replacing.caller
        {
            self.answer(caller.addr, caller.number, Answer::Done);
        }
    }

    /// What a leader does as time goes by.
    pub(crate) fn keep_office(&mut self, now: Time) {
        let Some(office) = self.office.as_mut() else { return };
        let asked_lately =
            |r: &Replacing| r.caller.as_ref().is_some_and(|c| now - c.since < Span::from_millis(10_000));
        office.replacing.take_if(|r| !asked_lately(r));
        let due = |r: &&mut Replacing| now - r.summoned >= SUMMON;
        if let Some(replacing) = office.replacing.as_mut().filter(due) {
            replacing.summoned = now;
            let addr = replacing.addr;
            self.say(addr, &Message::Summon);
        }
    }
}
