//! Lease holder of a member: claims duties, renews their leases, and forwards queries of operators to the
//! voters. The member need not be a voter. Requests go to the voter that is believed to be the leader.

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

/// Fraction of the lease duration that the owner uses, since its clock may run slower than the leader's.
const LEASE_SAFETY_FACTOR: f64 = 0.9;
/// Time without a response after which a request is dropped.
const REQUEST_LIFETIME: Span = Span::from_millis(5_000);
/// Range of the random factor by which the interval between claims is multiplied.
const CLAIM_JITTER: std::ops::Range<f64> = 0.75..1.25;

/// State of a member with respect to one duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "standing")]
pub enum HolderState {
    /// The member does not own the duty and claims it.
    #[serde(rename = "stands")]
    Claiming,
    /// The member owns the duty.
    #[serde(rename = "owns")]
    Owner {
        /// Epoch of the ownership.
        epoch: Epoch,
    },
}

/// Owner of a duty as last reported by a voter.
struct ReportedOwner {
    owner: Option<String>,
    epoch: Epoch,
    received_at: Time,
}

/// Duty that this member claims or owns.
struct Claim {
    state: HolderState,
    /// Expiration of the lease by the local clock. No effect may begin from then on.
    lease_until: Time,
    /// Highest epoch of the duty known to this member.
    highest_epoch: Epoch,
    /// State stored with the duty, as of the last grant or renewal.
    stored_state: Vec<u8>,
    /// State that this member last stored and a quorum acknowledged.
    acknowledged_state: Option<Vec<u8>>,
    next_request_at: Time,
    reported_owner: Option<ReportedOwner>,
}

/// View of a duty by one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyView {
    /// Name of the duty.
    pub duty: String,
    /// State of this member with respect to the duty.
    #[serde(rename = "hold")]
    pub state: HolderState,
    /// Owner as last reported by a voter; `None` if none was reported.
    pub owner: Option<String>,
    /// Epoch of that report; 0 if there was none.
    pub epoch: Epoch,
    /// Time since that report, in milliseconds; `None` if there was none.
    #[serde(rename = "heard_ms_ago")]
    pub last_received_ms_ago: Option<u64>,
}

/// Request that has no final response yet.
struct PendingRequest {
    request: Request,
    /// Time of the first attempt. The response reflects the table at some later time.
    first_sent_at: Time,
    sent_at: Time,
    /// Index of the voter to which it was last sent.
    voter: usize,
}

/// Start-up parameters of a lease holder.
#[derive(Clone, Debug)]
pub struct HolderConfig {
    /// Name of the fleet.
    pub fleet: String,
    /// Name of the member.
    pub name: String,
    /// Initial addresses of the voters.
    pub voters: Vec<SocketAddrV4>,
    /// Duties to claim.
    pub duties: Vec<String>,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Incarnation of the member; changes with each start of its process.
    pub incarnation: u64,
    /// Intervals and time-outs.
    pub times: Times,
    /// Safeguards that a trial disables.
    pub disabled: DisabledParts,
}

/// Client of the voters that claims duties for one member. Performs no I/O: the caller passes in the time
/// and received messages, and carries out the [`Action`]s.
pub struct LeaseHolder {
    name: String,
    envelope: Envelope,
    incarnation: u64,
    times: Times,
    disabled: DisabledParts,
    rng: Pcg64Mcg,
    voters: Vec<SocketAddrV4>,
    /// Index of the voter that is believed to be the leader.
    leader: usize,
    claims: BTreeMap<String, Claim>,
    pending: BTreeMap<u64, PendingRequest>,
    /// Queries by the operator's id.
    queries: BTreeMap<u64, Query>,
    last_number: u64,
    actions: Vec<Action>,
}

impl LeaseHolder {
    /// Creates a lease holder that owns no duty.
    pub fn new(now: Time, config: HolderConfig) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(config.seed);
        let claim = |rng: &mut Pcg64Mcg| Claim {
            state: HolderState::Claiming,
            lease_until: now,
            highest_epoch: Epoch(0),
            stored_state: Vec::new(),
            acknowledged_state: None,
            next_request_at: now + config.times.claim_interval.times(rng.random()),
            reported_owner: None,
        };
        let claims = config.duties.iter().map(|duty| (duty.clone(), claim(&mut rng))).collect();
        LeaseHolder {
            name: config.name,
            envelope: Envelope::new(&config.fleet),
            incarnation: config.incarnation,
            times: config.times,
            disabled: config.disabled,
            // The high bits are random so that a late response to a former process does not match a request
            // of this process.
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

    /// Returns the actions to carry out, in order, and clears them.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the time at which [`tick`](Self::tick) is due, or `None` if there is nothing to wait for.
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

    /// Returns the fencing epoch if this member holds a valid lease, `None` otherwise. Must be checked
    /// before each effect of the duty, since the lease may have expired while the process was paused.
    pub fn leased_epoch(&self, now: Time, duty: &str) -> Option<Epoch> {
        let claim = self.claims.get(duty)?;
        match claim.state {
            HolderState::Owner { epoch } if now < claim.lease_until || self.disabled.no_leases => Some(epoch),
            _ => None,
        }
    }

    /// Returns the state stored with a duty, as of the last grant or renewal.
    pub fn stored_state(&self, duty: &str) -> &[u8] {
        self.claims.get(duty).map_or(&[], |claim| &claim.stored_state)
    }

    /// Returns the state that this member last stored and a quorum acknowledged, if any.
    pub fn acknowledged_state(&self, duty: &str) -> Option<&[u8]> {
        self.claims.get(duty).and_then(|claim| claim.acknowledged_state.as_deref())
    }

    /// Returns this member's view of each duty.
    pub fn view(&self, now: Time) -> Vec<DutyView> {
        let view = |(duty, claim): (&String, &Claim)| {
            let report = claim.reported_owner.as_ref();
            DutyView {
                duty: duty.clone(),
                state: claim.state,
                owner: report.and_then(|report| report.owner.clone()),
                epoch: report.map_or(Epoch(0), |report| report.epoch),
                last_received_ms_ago: report.map(|report| (now - report.received_at).nanos() / 1_000_000),
            }
        };
        self.claims.iter().map(view).collect()
    }

    /// Changes the state of this member with respect to a duty and emits the event. Every change goes
    /// through this function.
    fn set_holder_state(&mut self, duty: &str, to: HolderState, reason: &str) {
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

    /// Sends a new request to the voter that is believed to be the leader. Returns the number of the
    /// request.
    fn send_request(&mut self, now: Time, request: Request) -> u64 {
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

    /// Handles everything that is due at `now`: expired leases, claims, renewals and retries.
    pub fn tick(&mut self, now: Time) {
        let duties: Vec<String> = self.claims.keys().cloned().collect();
        for duty in duties {
            self.tick_claim(now, &duty);
        }
        self.resend_overdue(now);
        self.expire_queries(now);
    }

    fn tick_claim(&mut self, now: Time, duty: &str) {
        let Some(claim) = self.claims.get(duty) else { return };
        let is_owner = matches!(claim.state, HolderState::Owner { .. });
        if is_owner && now >= claim.lease_until && !self.disabled.no_leases {
            self.set_holder_state(duty, HolderState::Claiming, "its lease expired");
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
        // Drop an earlier claim or renewal: the response to the new one supersedes it.
        self.pending.retain(|_, pending| match &pending.request {
            Request::Claim { duty: other, .. } | Request::Renew { duty: other, .. } => other != duty,
            _ => true,
        });
        self.send_request(now, request);
    }

    /// Resends requests whose time-out has passed to the next voter, and drops those older than
    /// [`REQUEST_LIFETIME`].
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

    /// Handles a response of a voter. One that matches no pending request is ignored.
    pub fn on_response(&mut self, now: Time, number: u64, response: Response) {
        if !self.pending.contains_key(&number) {
            return;
        }
        match response {
            Response::NotLeader { leader, voters } => self.on_not_leader(number, leader, &voters),
            Response::Unavailable { reason } => self.record_failure(number, &reason),
            response => self.on_final_response(now, number, response),
        }
    }

    /// Redirects the request to the leader reported by the voter. The time-out of the request is not reset,
    /// so that redirects between two voters do not postpone its expiration.
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
        self.record_failure(number, "the voter that was asked is not the leader");
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
                    claim.acknowledged_state = Some(state.clone());
                }
            }
            _ => {}
        }
    }

    /// Handles a grant or a renewal. The lease starts when the request was first sent and lasts less than
    /// the leader's, so that it expires here first.
    fn on_granted(&mut self, now: Time, duty: &str, first_sent_at: Time, epoch: Epoch, state: Vec<u8>) {
        let lease_until = first_sent_at + self.times.lease.times(LEASE_SAFETY_FACTOR);
        let owner = Some(self.name.clone());
        let Some(claim) = self.claims.get_mut(duty) else { return };
        claim.lease_until = claim.lease_until.max(lease_until);
        claim.highest_epoch = claim.highest_epoch.max(epoch);
        claim.stored_state = state;
        claim.reported_owner = Some(ReportedOwner { owner, epoch, received_at: now });
        if now < lease_until {
            claim.next_request_at = claim.next_request_at.min(first_sent_at + self.times.renew_interval);
            self.set_holder_state(duty, HolderState::Owner { epoch }, "");
        }
    }

    /// Handles a denied claim or renewal. It ends the ownership only if it answers a renewal in the current
    /// epoch or has a higher epoch; a late response to an earlier request does not.
    fn on_denied(&mut self, now: Time, request: &Request, duty: &str, epoch: Epoch, owner: Option<String>) {
        let Some(claim) = self.claims.get_mut(duty) else { return };
        claim.highest_epoch = claim.highest_epoch.max(epoch);
        claim.reported_owner = Some(ReportedOwner { owner, epoch, received_at: now });
        let HolderState::Owner { epoch: own_epoch } = claim.state else { return };
        let is_renewal = matches!(request, Request::Renew { epoch: renewed, .. } if *renewed == own_epoch);
        if !is_renewal && epoch <= own_epoch {
            return;
        }
        self.set_holder_state(
            duty,
            HolderState::Claiming,
            "the renewal was denied or another member owns it",
        );
        if epoch == own_epoch {
            // The duty is being handed over. The target can claim it once it is released.
            self.send_request(now, Request::Release { duty: duty.to_string(), epoch });
        }
    }

    /// Handles a notification that a duty changed: claims or renews it at the next tick.
    pub fn on_duty_changed(&mut self, now: Time, duty: &str) {
        if let Some(claim) = self.claims.get_mut(duty) {
            claim.next_request_at = now;
        }
    }

    /// Called when the receiver of an effect refused it because it had seen `highest_epoch`. Ends an
    /// ownership in a lower epoch.
    pub fn on_fenced(&mut self, now: Time, duty: &str, highest_epoch: Epoch) {
        let Some(claim) = self.claims.get_mut(duty) else { return };
        claim.highest_epoch = claim.highest_epoch.max(highest_epoch);
        claim.next_request_at = now;
        if matches!(claim.state, HolderState::Owner { epoch } if epoch < highest_epoch) {
            let reason = "an effect was refused: its receiver has seen a higher epoch";
            self.set_holder_state(duty, HolderState::Claiming, reason);
        }
    }

    /// Releases all duties and stops claiming them. Called when the member leaves the fleet.
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
            self.set_holder_state(&duty, HolderState::Claiming, "the member is leaving");
            self.send_request(now, Request::Release { duty, epoch });
        }
        self.claims.clear();
    }

    /// Sends state to be stored with a duty that this member owns. Returns `false` if it holds no valid
    /// lease or the state is longer than [`MAX_STATE_BYTES`].
    pub fn store(&mut self, now: Time, duty: &str, state: &[u8]) -> bool {
        let Some(epoch) = self.leased_epoch(now, duty).filter(|_| state.len() <= MAX_STATE_BYTES) else {
            return false;
        };
        let is_superseded =
            |request: &Request| matches!(request, Request::Store { duty: other, .. } if other == duty);
        self.pending.retain(|_, pending| !is_superseded(&pending.request));
        self.send_request(now, Request::Store { duty: duty.to_string(), epoch, state: state.to_vec() });
        true
    }
}
