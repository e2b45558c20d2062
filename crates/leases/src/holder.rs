//! The side of a member: it claims duties, has its leases confirmed, and asks the voters for operators. It need
//! not be a voter itself; it asks whichever of them leads.

mod queries;

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use lynxstair::types::{Span, Time};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::envelope::Envelope;
use crate::event::{Action, Event};
use crate::identity::{Epoch, VoterInfo};
use crate::message::{MAX_STATE_BYTES, Message, Request, Response};
use crate::times::{DisabledParts, Times};
use queries::Query;
pub use queries::QueryStatus;

/// The part of a lease that the owner counts on: its clock may run slower than the leader's.
const LEASE_SAFETY_FACTOR: f64 = 0.9;
/// After so long without a response a request is given up.
const REQUEST_LIFETIME: Span = Span::from_millis(5_000);
/// Claims are spread around their interval by a factor within these bounds.
const CLAIM_JITTER: std::ops::Range<f64> = 0.75..1.25;

/// What a member is with one duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "standing")]
pub enum HolderState {
    /// It claims the duty.
    #[serde(rename = "stands")]
    Claiming,
    /// It owns the duty.
    #[serde(rename = "owns")]
    Owner {
        /// In this epoch.
        epoch: Epoch,
    },
}

/// The owner of a duty as last heard from a voter.
struct OwnerSeen {
    owner: Option<String>,
    epoch: Epoch,
    at: Time,
}

/// A duty that this member claims or owns.
struct Claim {
    state: HolderState,
    /// Until when it may begin effects, by this process's own clock.
    lease_until: Time,
    highest_epoch: Epoch,
    /// What is stored with the duty, as of the last confirmation.
    stored: Vec<u8>,
    /// What this member last stored, as far as a majority acknowledged it.
    acknowledged: Option<Vec<u8>>,
    next_request_at: Time,
    owner_seen: Option<OwnerSeen>,
}

/// A duty as one member sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyView {
    /// The duty.
    pub duty: String,
    /// What the member is with it.
    #[serde(rename = "hold")]
    pub state: HolderState,
    /// The owner as last heard; `None`: nobody.
    pub owner: Option<String>,
    /// In this epoch.
    pub epoch: Epoch,
    /// How long ago that was; `None`: never.
    #[serde(rename = "heard_ms_ago")]
    pub last_received_ms_ago: Option<u64>,
}

/// A request without a response yet.
struct PendingRequest {
    request: Request,
    /// When it was sent first: the response was true at some time after that.
    first_sent_at: Time,
    sent_at: Time,
    /// Index of the voter it was sent to.
    voter: usize,
}

/// What a member is started with.
#[derive(Clone, Debug)]
pub struct HolderConfig {
    /// The fleet's name.
    pub fleet: String,
    /// The member's name.
    pub name: String,
    /// Where voters are at first.
    pub voters: Vec<SocketAddrV4>,
    /// The duties that it claims.
    pub duties: Vec<String>,
    /// Fixes its random choices.
    pub seed: u64,
    /// Drawn at each start of the process.
    pub incarnation: u64,
    /// Intervals and timeouts.
    pub times: Times,
    /// For trials.
    pub disabled: DisabledParts,
}

/// The duties of one member.
pub struct LeaseHolder {
    name: String,
    envelope: Envelope,
    incarnation: u64,
    times: Times,
    disabled: DisabledParts,
    rng: Pcg64Mcg,
    voters: Vec<SocketAddrV4>,
    /// Index of the voter that is asked first.
    leader: usize,
    claims: BTreeMap<String, Claim>,
    pending: BTreeMap<u64, PendingRequest>,
    /// By the operator's id.
    queries: BTreeMap<u64, Query>,
    last_number: u64,
    actions: Vec<Action>,
}

impl LeaseHolder {
    /// A member that owns nothing yet.
    pub fn new(now: Time, config: HolderConfig) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(config.seed);
        let claim = |rng: &mut Pcg64Mcg| Claim {
            state: HolderState::Claiming,
            lease_until: now,
            highest_epoch: Epoch(0),
            stored: Vec::new(),
            acknowledged: None,
            next_request_at: now + config.times.claim_interval.times(rng.random()),
            owner_seen: None,
        };
        let claims = config.duties.iter().map(|duty| (duty.clone(), claim(&mut rng))).collect();
        LeaseHolder {
            name: config.name,
            envelope: Envelope::new(&config.fleet),
            incarnation: config.incarnation,
            times: config.times,
            disabled: config.disabled,
            // Random in its high bits: a late response to the process before must not match a request of this
            // one.
            last_number: rng.next_u64() >> 16 << 8,
            rng,
            voters: config.voters,
            leader: 0,
            claims,
            pending: BTreeMap::new(),
            queries: BTreeMap::new(),
            actions: Vec::new(),
        }
    }

    /// Takes the actions to carry out.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// When `tick` is due; `None`: not before something is received.
    pub fn next_deadline(&self) -> Option<Time> {
        let claims = self.claims.values().map(|claim| match claim.state {
            HolderState::Owner { .. } if !self.disabled.no_leases => {
                claim.next_request_at.min(claim.lease_until)
            }
            _ => claim.next_request_at,
        });
        let timeouts = self.pending.values().map(|pending| pending.sent_at + self.times.request_timeout);
        claims.chain(timeouts).min()
    }

    /// The epoch in which an effect may begin now; `None` without a lease. To be asked before each effect: a
    /// process that was paused finds here that its lease is over.
    pub fn leased_epoch(&self, now: Time, duty: &str) -> Option<Epoch> {
        let claim = self.claims.get(duty)?;
        match claim.state {
            HolderState::Owner { epoch } if now < claim.lease_until || self.disabled.no_leases => Some(epoch),
            _ => None,
        }
    }

    /// What is stored with a duty, as of the last confirmation.
    pub fn stored_state(&self, duty: &str) -> &[u8] {
        self.claims.get(duty).map_or(&[], |claim| &claim.stored)
    }

    /// What this member last stored with a duty and a majority has acknowledged; `None`: nothing yet.
    pub fn acknowledged_state(&self, duty: &str) -> Option<&[u8]> {
        self.claims.get(duty).and_then(|claim| claim.acknowledged.as_deref())
    }

    /// Each duty as this member sees it.
    pub fn view(&self, now: Time) -> Vec<DutyView> {
        let view = |(duty, claim): (&String, &Claim)| {
            let seen = claim.owner_seen.as_ref();
            DutyView {
                duty: duty.clone(),
                state: claim.state,
                owner: seen.and_then(|seen| seen.owner.clone()),
                epoch: seen.map_or(Epoch(0), |seen| seen.epoch),
                last_received_ms_ago: seen.map(|seen| (now - seen.at).nanos() / 1_000_000),
            }
        };
        self.claims.iter().map(view).collect()
    }

    /// Changes what this member is with a duty. Every change goes through here.
    fn set_state(&mut self, duty: &str, to: HolderState, reason: &str) {
        let Some(claim) = self.claims.get_mut(duty) else { return };
        let from = std::mem::replace(&mut claim.state, to);
        if from == to {
            return;
        }
        let duty = duty.to_string();
        if let HolderState::Owner { epoch } = from {
            let (duty, reason) = (duty.clone(), reason.to_string());
            self.actions.push(Action::Emit(Event::OwnershipLost { duty, epoch, reason }));
        }
        if let HolderState::Owner { epoch } = to {
            self.actions.push(Action::Emit(Event::OwnershipAcquired { duty, epoch }));
        }
    }

    /// Sends a request to the voter that led last. Returns its number.
    fn request(&mut self, now: Time, request: Request) -> u64 {
        self.last_number += 1;
        let number = self.last_number;
        let pending = PendingRequest { request, first_sent_at: now, sent_at: now, voter: self.leader };
        self.pending.insert(number, pending);
        self.send_pending(number);
        number
    }

    fn send_pending(&mut self, number: u64) {
        let Some(pending) = self.pending.get(&number) else { return };
        let voter = pending.voter % self.voters.len().max(1);
        let Some(to) = self.voters.get(voter).copied() else { return };
        let request = pending.request.clone();
        let message = Message::Request { from: self.name.clone(), number, request };
        if let Some(datagram) = self.envelope.encode(&message) {
            self.actions.push(Action::Send { to, datagram });
        }
    }

    /// Time passed.
    pub fn tick(&mut self, now: Time) {
        let duties: Vec<String> = self.claims.keys().cloned().collect();
        for duty in duties {
            self.tick_claim(now, &duty);
        }
        self.resend_overdue(now);
        self.forget_old_queries(now);
    }

    fn tick_claim(&mut self, now: Time, duty: &str) {
        let Some(claim) = self.claims.get(duty) else { return };
        let is_owner = matches!(claim.state, HolderState::Owner { .. });
        if is_owner && now >= claim.lease_until && !self.disabled.no_leases {
            self.set_state(duty, HolderState::Claiming, "its lease has run out");
        }
        let Some(claim) = self.claims.get_mut(duty) else { return };
        if now < claim.next_request_at {
            return;
        }
        let jitter = self.rng.random_range(CLAIM_JITTER);
        let incarnation = self.incarnation;
        let (interval, request) = match claim.state {
            HolderState::Owner { epoch } => {
                let request = Request::Renew { duty: duty.to_string(), incarnation, epoch };
                (self.times.renew_interval, request)
            }
            HolderState::Claiming => {
                let highest_epoch = claim.highest_epoch;
                let request = Request::Claim { duty: duty.to_string(), incarnation, highest_epoch };
                (self.times.claim_interval.times(jitter), request)
            }
        };
        claim.next_request_at = now + interval;
        // The claim or renewal before is forgotten: its response would say less than this one's.
        self.pending.retain(|_, pending| match &pending.request {
            Request::Claim { duty: other, .. } | Request::Renew { duty: other, .. } => other != duty,
            _ => true,
        });
        self.request(now, request);
    }

    /// Sends requests without a response to the next voter, which may lead; gives up old ones.
    fn resend_overdue(&mut self, now: Time) {
        let is_overdue = |pending: &PendingRequest| now - pending.sent_at >= self.times.request_timeout;
        let overdue: Vec<u64> =
            self.pending.iter().filter(|(_, pending)| is_overdue(pending)).map(|(n, _)| *n).collect();
        for number in overdue {
            let Some(pending) = self.pending.get_mut(&number) else { continue };
            if now - pending.first_sent_at >= REQUEST_LIFETIME {
                self.pending.remove(&number);
                continue;
            }
            pending.voter = (pending.voter + 1) % self.voters.len().max(1);
            pending.sent_at = now;
            self.leader = pending.voter;
            self.send_pending(number);
        }
    }

    /// A response was received.
    pub fn on_response(&mut self, now: Time, number: u64, response: Response) {
        if !self.pending.contains_key(&number) {
            return;
        }
        match response {
            Response::NotLeader { leader, voters } => self.on_not_leader(number, leader, &voters),
            Response::Unavailable { reason } => self.note_failure(number, &reason),
            response => self.on_final_response(now, number, response),
        }
    }

    /// Sends the request to the leader that the voter named. Two voters that name one another are not followed in
    /// a circle: the request's timeout is not reset.
    fn on_not_leader(&mut self, number: u64, leader: Option<SocketAddrV4>, voters: &[VoterInfo]) {
        let Some(pending) = self.pending.get_mut(&number) else { return };
        let are_known = !voters.is_empty() && voters.iter().all(|voter| self.voters.contains(&voter.addr));
        if !are_known && !voters.is_empty() {
            self.voters = voters.iter().map(|voter| voter.addr).collect();
        }
        let index = leader.and_then(|leader| self.voters.iter().position(|addr| *addr == leader));
        if let Some(index) = index.filter(|index| *index != pending.voter || !are_known) {
            pending.voter = index;
            self.leader = index;
            self.send_pending(number);
        }
        self.note_failure(number, "no leader is known to the voter that was asked");
    }

    fn on_final_response(&mut self, now: Time, number: u64, response: Response) {
        let Some(pending) = self.pending.remove(&number) else { return };
        self.leader = pending.voter;
        if let Some(query) = self.query_of(number) {
            return query.finish(response);
        }
        match (&pending.request, response) {
            (
                Request::Claim { duty, .. } | Request::Renew { duty, .. },
                Response::Granted { epoch, state },
            ) => self.on_granted(now, duty, pending.first_sent_at, epoch, state),
            (
                Request::Claim { duty, .. } | Request::Renew { duty, .. },
                Response::Denied { epoch, owner },
            ) => self.on_denied(now, &pending.request, duty, epoch, owner),
            (Request::Store { duty, state, .. }, Response::Done) => {
                if let Some(claim) = self.claims.get_mut(duty) {
                    claim.acknowledged = Some(state.clone());
                }
            }
            _ => {}
        }
    }

    /// This member owns the duty. The lease counts from when the request was sent first, and by less than the
    /// leader counts: it is over here before it is there.
    fn on_granted(&mut self, now: Time, duty: &str, asked_at: Time, epoch: Epoch, state: Vec<u8>) {
        let lease_until = asked_at + self.times.lease.times(LEASE_SAFETY_FACTOR);
        let owner = Some(self.name.clone());
        let Some(claim) = self.claims.get_mut(duty) else { return };
        claim.lease_until = claim.lease_until.max(lease_until);
        claim.highest_epoch = claim.highest_epoch.max(epoch);
        claim.stored = state;
        claim.owner_seen = Some(OwnerSeen { owner, epoch, at: now });
        if now < lease_until {
            claim.next_request_at = claim.next_request_at.min(asked_at + self.times.renew_interval);
            self.set_state(duty, HolderState::Owner { epoch }, "");
        }
    }

    /// Another member owns the duty, or nobody does. Only a response to a renewal in this epoch, or a higher
    /// epoch, ends an ownership: a late response to an earlier request does not.
    fn on_denied(&mut self, now: Time, request: &Request, duty: &str, epoch: Epoch, owner: Option<String>) {
        let Some(claim) = self.claims.get_mut(duty) else { return };
        claim.highest_epoch = claim.highest_epoch.max(epoch);
        claim.owner_seen = Some(OwnerSeen { owner, epoch, at: now });
        let HolderState::Owner { epoch: own_epoch } = claim.state else { return };
        let is_renewal = matches!(request, Request::Renew { epoch: asked, .. } if *asked == own_epoch);
        if !is_renewal && epoch <= own_epoch {
            return;
        }
        self.set_state(duty, HolderState::Claiming, "another owns it, or it was taken away");
        if epoch == own_epoch {
            // It is being handed over: once it is released, the other member has it.
            self.request(now, Request::Release { duty: duty.to_string(), epoch });
        }
    }

    /// A voter tells that a duty changed: it is claimed or renewed at the next tick.
    pub fn on_duty_changed(&mut self, now: Time, duty: &str) {
        if let Some(claim) = self.claims.get_mut(duty) {
            claim.next_request_at = now;
        }
    }

    /// An effect was refused where it landed: a higher epoch was seen there.
    pub fn on_fenced(&mut self, now: Time, duty: &str, highest_epoch: Epoch) {
        let Some(claim) = self.claims.get_mut(duty) else { return };
        claim.highest_epoch = claim.highest_epoch.max(highest_epoch);
        claim.next_request_at = now;
        if matches!(claim.state, HolderState::Owner { epoch } if epoch < highest_epoch) {
            let reason = "an effect was refused: a later epoch was seen there";
            self.set_state(duty, HolderState::Claiming, reason);
        }
    }

    /// Releases all duties and claims none any more: the member leaves.
    pub fn leave(&mut self, now: Time) {
        let owned_epoch = |claim: &Claim| match claim.state {
            HolderState::Owner { epoch } => Some(epoch),
            HolderState::Claiming => None,
        };
        let owned: Vec<(String, Epoch)> = self
            .claims
            .iter()
            .filter_map(|(duty, claim)| owned_epoch(claim).map(|epoch| (duty.clone(), epoch)))
            .collect();
        for (duty, epoch) in owned {
            self.set_state(&duty, HolderState::Claiming, "it goes");
            self.request(now, Request::Release { duty, epoch });
        }
        self.claims.clear();
    }

    /// Stores a state with a duty that this member owns. Returns false where it does not own it, or the state is
    /// longer than [`MAX_STATE_BYTES`].
    pub fn store(&mut self, now: Time, duty: &str, state: &[u8]) -> bool {
        let Some(epoch) = self.leased_epoch(now, duty).filter(|_| state.len() <= MAX_STATE_BYTES) else {
            return false;
        };
        let is_superseded =
            |request: &Request| matches!(request, Request::Store { duty: other, .. } if other == duty);
        self.pending.retain(|_, pending| !is_superseded(&pending.request));
        self.request(now, Request::Store { duty: duty.to_string(), epoch, state: state.to_vec() });
        true
    }
}
