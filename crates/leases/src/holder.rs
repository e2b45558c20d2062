//! The side of a member: it stands for duties, has its lease confirmed, and asks for operators. Not one of the
//! voters by this; it asks whichever of them leads.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use lynxstair::types::{Span, Time};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::times::{Broken, Times};
use crate::voter::{Do, Event};
use crate::words::{Answer, Ask, Envelope, Epoch, LONGEST_STATE, Message, Wants};

/// Of a lease, as the owner counts it: what its clock may be slow by is left out.
const OWNERS_PART: f64 = 0.9;
/// An operator's question is given up after so long.
const GIVEN_UP: Span = Span::from_millis(5_000);
/// So many of them at a time, with their answers.
const MOST_QUESTIONS: usize = 64;

/// What a member is with one duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "standing")]
pub enum Hold {
    /// It asks for it.
    Stands,
    Owns {
        epoch: Epoch,
    },
}

struct Duty {
    hold: Hold,
    /// By this process's own clock.
    until: Time,
    seen: Epoch,
    state: Vec<u8>,
    /// What was asked to be kept last, and is.
    kept: Option<Vec<u8>>,
    next: Time,
    /// Who has it, as far as was heard, and when that was.
    others: Option<(Option<String>, Epoch, Time)>,
}

/// A duty, as one member has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutySeen {
    pub duty: String,
    pub hold: Hold,
    /// Who has it, in which epoch, as far as this member heard; and how long ago, none: never.
    pub owner: Option<String>,
    pub epoch: Epoch,
    pub heard_ms_ago: Option<u64>,
}

/// A question that is out.
struct Out {
    ask: Ask,
    /// When it was asked first: what is answered was so after that.
    since: Time,
    sent: Time,
    to: usize,
}

/// What came of an operator's question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Came {
    Waits,
    Answered(Answer),
    /// Nobody answered for a majority; what was heard last, if anything.
    Unknown(String),
}

struct Question {
    since: Time,
    number: u64,
    last: Option<String>,
    came: Option<Answer>,
}

/// What a member is started with.
#[derive(Clone, Debug)]
pub struct HolderStart {
    pub fleet: String,
    pub name: String,
    /// Where voters are at first.
    pub voters: Vec<SocketAddrV4>,
    /// It stands for these.
    pub duties: Vec<String>,
    pub seed: u64,
    /// Drawn at each start of the process.
    pub stand: u64,
    pub times: Times,
    pub broken: Broken,
}

/// One member's side.
pub struct Holder {
    name: String,
    envelope: Envelope,
    stand: u64,
    times: Times,
    broken: Broken,
    chance: Pcg64Mcg,
    voters: Vec<SocketAddrV4>,
    leader: usize,
    duties: BTreeMap<String, Duty>,
    out: BTreeMap<u64, Out>,
    questions: BTreeMap<u64, Question>,
    last: u64,
    todo: Vec<Do>,
}

impl Holder {
    pub fn begin(now: Time, start: HolderStart) -> Self {
        let mut chance = Pcg64Mcg::seed_from_u64(start.seed);
        let duty = |chance: &mut Pcg64Mcg| Duty {
            hold: Hold::Stands,
            until: now,
            seen: Epoch(0),
            state: Vec::new(),
            kept: None,
            next: now + start.times.stand.times(chance.random()),
            others: None,
        };
        let duties = start.duties.iter().map(|d| (d.clone(), duty(&mut chance))).collect();
        Holder {
            name: start.name,
            envelope: Envelope::of(&start.fleet),
            stand: start.stand,
            times: start.times,
            broken: start.broken,
            // Numbers of questions of an earlier life of this process must not be taken for ours.
            last: chance.next_u64() >> 16 << 8,
            chance,
            voters: start.voters,
            leader: 0,
            duties,
            out: BTreeMap::new(),
            questions: BTreeMap::new(),
            todo: Vec::new(),
        }
    }

    pub fn take(&mut self) -> Vec<Do> {
        std::mem::take(&mut self.todo)
    }

    /// None: not before something is heard.
    pub fn next_due(&self) -> Option<Time> {
        let duties = self.duties.values().map(|d| match d.hold {
            Hold::Owns { .. } if !self.broken.no_leases => d.next.min(d.until),
            _ => d.next,
        });
        duties.chain(self.out.values().map(|o| o.sent + self.times.answer)).min()
    }

    /// Whether an effect may begin now, and in which epoch. Asked before each, however long ago the last one
    /// was: a process that was paused finds its lease over here.
    pub fn may_begin(&self, now: Time, duty: &str) -> Option<Epoch> {
        match self.duties.get(duty) {
            Some(Duty { hold: Hold::Owns { epoch }, until, .. }) if now < *until || self.broken.no_leases => {
                Some(*epoch)
            }
            _ => None,
        }
    }

    /// What is kept with a duty, as it was when this member was confirmed last.
    pub fn state(&self, duty: &str) -> &[u8] {
        self.duties.get(duty).map_or(&[], |d| &d.state)
    }

    /// What this member asked to be kept last with a duty, and a majority has; none: nothing yet.
    pub fn kept(&self, duty: &str) -> Option<&[u8]> {
        self.duties.get(duty).and_then(|d| d.kept.as_deref())
    }

    /// Each duty, as this member has it.
    pub fn view(&self, now: Time) -> Vec<DutySeen> {
        let of = |(name, duty): (&String, &Duty)| {
            let heard = duty.others.as_ref();
            DutySeen {
                duty: name.clone(),
                hold: duty.hold,
                owner: heard.and_then(|(who, _, _)| who.clone()),
                epoch: heard.map_or(Epoch(0), |(_, e, _)| *e),
                heard_ms_ago: heard.map(|(_, _, at)| (now - *at).nanos() / 1_000_000),
            }
        };
        self.duties.iter().map(of).collect()
    }

    /// Every change of what it is with a duty goes through here.
    fn become_(&mut self, duty: &str, to: Hold, why: &str) {
        let Some(held) = self.duties.get_mut(duty) else { return };
        let from = std::mem::replace(&mut held.hold, to);
        let duty = duty.to_string();
        match (from, to) {
            (Hold::Owns { epoch: a }, Hold::Owns { epoch: b }) if a == b => {}
            (Hold::Stands, Hold::Stands) => {}
            (from, to) => {
                if let Hold::Owns { epoch } = from {
                    let (duty, why) = (duty.clone(), why.to_string());
                    self.todo.push(Do::Tell(Event::OwnsNoMore { duty, epoch, why }));
                }
                if let Hold::Owns { epoch } = to {
                    self.todo.push(Do::Tell(Event::Owns { duty, epoch }));
                }
            }
        }
    }

    fn ask(&mut self, now: Time, ask: Ask) -> u64 {
        self.last += 1;
        let number = self.last;
        self.out.insert(number, Out { ask, since: now, sent: now, to: self.leader });
        self.send(number);
        number
    }

    fn send(&mut self, number: u64) {
        let Some(out) = self.out.get(&number) else { return };
        let Some(to) = self.voters.get(out.to % self.voters.len().max(1)).copied() else { return };
        let message = Message::Ask { from: self.name.clone(), number, ask: out.ask.clone() };
        if let Some(datagram) = self.envelope.seal(&message) {
            self.todo.push(Do::Send { to, datagram });
        }
    }

    /// Time went by.
    pub fn tick(&mut self, now: Time) {
        let names: Vec<String> = self.duties.keys().cloned().collect();
        for duty in names {
            let Some(held) = self.duties.get_mut(&duty) else { continue };
            if matches!(held.hold, Hold::Owns { .. }) && now >= held.until && !self.broken.no_leases {
                self.become_(&duty, Hold::Stands, "its lease has run out");
            }
            let Some(held) = self.duties.get_mut(&duty) else { continue };
            if now < held.next {
                continue;
            }
            let spread = self.chance.random_range(0.75..1.25);
            let (every, ask) = match held.hold {
                Hold::Owns { epoch } => {
                    (self.times.renew, Ask::Renew { duty: duty.clone(), stand: self.stand, epoch })
                }
                Hold::Stands => {
                    let seen = held.seen;
                    (
                        self.times.stand.times(spread),
                        Ask::Claim { duty: duty.clone(), stand: self.stand, seen },
                    )
                }
            };
            held.next = now + every;
            // The question before it is forgotten: its answer would say less.
            self.out.retain(|_, o| match &o.ask {
                Ask::Claim { duty: d, .. } | Ask::Renew { duty: d, .. } => *d != duty,
                _ => true,
            });
            self.ask(now, ask);
        }
        let late: Vec<u64> =
            self.out.iter().filter(|(_, o)| now - o.sent >= self.times.answer).map(|(n, _)| *n).collect();
        for number in late {
            let Some(out) = self.out.get_mut(&number) else { continue };
            if now - out.since >= GIVEN_UP {
                self.out.remove(&number);
                continue;
            }
            // Whoever was asked does not answer: another may lead.
            out.to = (out.to + 1) % self.voters.len().max(1);
            out.sent = now;
            self.leader = out.to;
            self.send(number);
        }
        self.questions.retain(|_, q| now - q.since < GIVEN_UP.times(4.0));
    }

    /// An answer came.
    pub fn heard(&mut self, now: Time, number: u64, answer: Answer) {
        let Some(out) = self.out.get_mut(&number) else { return };
        if let Answer::Elsewhere { leader, voters } = &answer {
            let known = !voters.is_empty() && voters.iter().all(|v| self.voters.contains(&v.addr));
            if !known && !voters.is_empty() {
                self.voters = voters.iter().map(|v| v.addr).collect();
            }
            let at = leader.and_then(|l| self.voters.iter().position(|v| *v == l));
            // Two who send on to one another are not followed in a circle: the time to answer goes on.
            if let Some(at) = at.filter(|at| *at != out.to || !known) {
                (out.to, self.leader) = (at, at);
                self.send(number);
            }
            self.note(number, "no leader is known to the voter that was asked");
            return;
        }
        if let Answer::Aside { why } = &answer {
            let why = why.clone();
            self.note(number, &why);
            return;
        }
        let Some(out) = self.out.remove(&number) else { return };
        self.leader = out.to;
        if let Some(question) = self.questions.values_mut().find(|q| q.number == number) {
            question.came = Some(answer);
            return;
        }
        match (&out.ask, answer) {
            (Ask::Claim { duty, .. } | Ask::Renew { duty, .. }, Answer::Yours { epoch, state }) => {
                let until = out.since + self.times.lease.times(OWNERS_PART);
                let name = self.name.clone();
                let Some(held) = self.duties.get_mut(duty) else { return };
                held.until = held.until.max(until);
                held.seen = held.seen.max(epoch);
                held.state = state;
                held.others = Some((Some(name), epoch, now));
                if now < until {
                    held.next = held.next.min(out.since + self.times.renew);
                    self.become_(duty, Hold::Owns { epoch }, "");
                }
            }
            (Ask::Claim { duty, .. } | Ask::Renew { duty, .. }, Answer::NotYours { epoch, owner }) => {
                let Some(held) = self.duties.get_mut(duty) else { return };
                held.seen = held.seen.max(epoch);
                held.others = Some((owner, epoch, now));
                // Only what is later than what it owns ends that: an old answer may come late.
                if let Hold::Owns { epoch: mine } = held.hold
                    && (matches!(out.ask, Ask::Renew { epoch: asked, .. } if asked == mine) || epoch > mine)
                {
                    let duty = duty.clone();
                    self.become_(&duty, Hold::Stands, "another owns it, or it was taken away");
                    if epoch == mine {
                        // It is to go to another: the sooner this one says so, the sooner it has it.
                        self.ask(now, Ask::GiveBack { duty, epoch });
                    }
                }
            }
            (Ask::Keep { duty, state, .. }, Answer::Done) => {
                if let Some(held) = self.duties.get_mut(duty) {
                    held.kept = Some(state.clone());
                }
            }
            _ => {}
        }
    }

    fn note(&mut self, number: u64, why: &str) {
        if let Some(question) = self.questions.values_mut().find(|q| q.number == number) {
            question.last = Some(why.to_string());
        }
    }

    /// Something changed with a duty: it is asked for now.
    pub fn hinted(&mut self, now: Time, duty: &str) {
        if let Some(held) = self.duties.get_mut(duty) {
            held.next = now;
        }
    }

    /// An effect was refused where it landed: a higher epoch was seen there.
    pub fn refused(&mut self, now: Time, duty: &str, seen: Epoch) {
        let Some(held) = self.duties.get_mut(duty) else { return };
        held.seen = held.seen.max(seen);
        held.next = now;
        if matches!(held.hold, Hold::Owns { epoch } if epoch < seen) {
            self.become_(duty, Hold::Stands, "an effect was refused: a later epoch was seen there");
        }
    }

    /// Gives up all it owns and stands for nothing more; it goes.
    pub fn leave(&mut self, now: Time) {
        let owned: Vec<_> = self
            .duties
            .iter()
            .filter_map(|(d, h)| match h.hold {
                Hold::Owns { epoch } => Some((d.clone(), epoch)),
                Hold::Stands => None,
            })
            .collect();
        for (duty, epoch) in owned {
            self.become_(&duty, Hold::Stands, "it goes");
            self.ask(now, Ask::GiveBack { duty, epoch });
        }
        self.duties.clear();
    }

    /// Keeps something with a duty that it owns; false: it does not, or it is too long.
    pub fn keep(&mut self, now: Time, duty: &str, state: &[u8]) -> bool {
        let Some(epoch) = self.may_begin(now, duty).filter(|_| state.len() <= LONGEST_STATE) else {
            return false;
        };
        self.out.retain(|_, o| !matches!(&o.ask, Ask::Keep { duty: d, .. } if d == duty));
        self.ask(now, Ask::Keep { duty: duty.to_string(), epoch, state: state.to_vec() });
        true
    }

    /// An operator's question, by an id of the operator's: asked again by the same id it is the same one.
    pub fn question(&mut self, now: Time, id: u64, wants: Option<&Wants>) -> Came {
        if let Some(question) = self.questions.get(&id) {
            return match &question.came {
                Some(answer) => Came::Answered(answer.clone()),
                None if self.out.contains_key(&question.number) => Came::Waits,
                None => {
                    let last = question.last.clone();
                    Came::Unknown(last.unwrap_or_else(|| "no voter answered".to_string()))
                }
            };
        }
        if self.questions.len() >= MOST_QUESTIONS || self.voters.is_empty() {
            return Came::Unknown("this member can't ask now".to_string());
        }
        let ask = wants.map_or(Ask::Show, |w| Ask::Operator { id, wants: w.clone() });
        let number = self.ask(now, ask);
        self.questions.insert(id, Question { since: now, number, last: None, came: None });
        Came::Waits
    }
}
