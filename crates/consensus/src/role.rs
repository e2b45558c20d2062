//! What a hut is to the others, and what a leader knows of them. Every change of role goes through `stand_as`.

use std::collections::{BTreeMap, VecDeque};

use lynxstair::types::{Span, Time};
use lynxstair_protocol::consensus::{LogId, Member};

use crate::{Cairn, Do, Node};

/// How long nobody must have heard a leader before another is asked for.
pub(crate) const SILENT: Span = Span::from_millis(450);
/// At a start nobody has been heard yet, and all may have started at once: a shorter time will do.
const SILENT_AT_START: Span = Span::from_millis(150);
/// Drawn on top of that, so that two seldom ask at once.
const DRAWN: Span = Span::from_millis(400);

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Role {
    /// Learners, too.
    Follower {
        leader: Option<Node>,
        heard_at: Time,
    },
    /// Asks whether asking is of use.
    PreCandidate {
        yes: Vec<Member>,
        since: Time,
    },
    Candidate {
        yes: Vec<Member>,
        since: Time,
    },
    Leader(Leading),
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Leading {
    pub since: Time,
    pub round: u64,
    pub said_at: Time,
    /// When it last looked whether it still should lead, which goes on however often it speaks.
    pub checked_at: Time,
    /// A round is to begin before the next heartbeat is due.
    pub round_wanted: bool,
    /// When each of the last rounds began.
    pub begun: VecDeque<(u64, Time)>,
    /// Whom it speaks to: voters, and learners for as long as they are heard.
    pub contacts: BTreeMap<Node, Contact>,
    /// How far each disk is that has answered, and each voter.
    pub progress: BTreeMap<Member, Progress>,
    /// A majority, this hut with it, answered a round begun then.
    pub sure_at: Time,
    /// The newest round that a majority answered: reads go by it, as no clock tells which of two rounds was first.
    pub sure_round: u64,
    /// Since when a majority is on too few disks to bear what may be lost.
    pub thin_since: Option<Time>,
    /// What is proposed, by whoever did so.
    pub proposed: Option<(u64, LogId)>,
    /// Reads, and the round that a majority has to answer for each.
    pub reads: VecDeque<(u64, u64)>,
}

/// One that the leader speaks to.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Contact {
    /// The last state that was sent to it, and in which round.
    pub sent: Option<(LogId, u64)>,
    /// Its clock in its last answer, and when that came.
    pub clock: Option<(u64, Time)>,
    /// When it was last seen, by an answer or by its line.
    pub seen_at: Time,
}

/// One disk, as far as its answers in this term tell.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Progress {
    pub round: u64,
    pub stored: LogId,
    /// Since this leader began, where no answer came.
    pub heard_at: Time,
    pub leaving_at: Option<Time>,
}

impl Contact {
    pub fn seen(now: Time) -> Contact {
        Contact { sent: None, clock: None, seen_at: now }
    }
}

impl Progress {
    pub fn unheard(now: Time) -> Progress {
        Progress { round: 0, stored: LogId::default(), heard_at: now, leaving_at: None }
    }
}

impl Leading {
    pub fn begin(now: Time, others: &[Member]) -> Leading {
        Leading {
            since: now,
            round: 0,
            said_at: now,
            checked_at: now,
            round_wanted: false,
            begun: VecDeque::new(),
            contacts: others.iter().map(|m| (m.node, Contact::seen(now))).collect(),
            progress: others.iter().map(|m| (*m, Progress::unheard(now))).collect(),
            sure_at: now,
            sure_round: 0,
            thin_since: None,
            proposed: None,
            reads: VecDeque::new(),
        }
    }

    /// The disk that answers at an address now: the one that answered the newest round.
    pub fn disk_at(&self, node: Node) -> Option<(&Member, &Progress)> {
        let here = self.progress.iter().filter(|(m, p)| m.node == node && p.round > 0);
        here.max_by_key(|(_, p)| p.round)
    }
}

impl Cairn {
    /// Draws anew how long it waits for a leader, or for votes.
    pub(crate) fn rest(&mut self) {
        let (silent, drawn) =
            if self.has_heard { (SILENT, DRAWN) } else { (SILENT_AT_START, DRAWN.times(0.6)) };
        self.patience = silent + drawn.times(self.draw());
    }

    pub(crate) fn stand_as(&mut self, role: Role) {
        if let Role::Leader(old) = &mut self.role {
            // Whoever waits for this leader is told that it can't tell any more.
            let proposed = old.proposed.take().map(|(number, _)| Do::Settled(number, false));
            let reads = std::mem::take(&mut old.reads).into_iter().map(|(number, _)| Do::Read(number, false));
            self.out.extend(proposed.into_iter().chain(reads));
        }
        self.role = role;
        self.rest();
    }

    pub(crate) fn follow(&mut self, now: Time, leader: Option<Node>) {
        self.stand_as(Role::Follower { leader, heard_at: now });
    }

    /// A later term: whoever leads it is not known yet.
    pub(crate) fn enter(&mut self, now: Time, term: u64, vote: Option<Node>) {
        self.record.term = term;
        self.record.vote = vote;
        self.follow(now, None);
        self.save(now, Vec::new());
    }
}
