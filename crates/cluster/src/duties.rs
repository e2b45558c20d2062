//! Duties held under a lease: runs the voter and the lease holder of `crates/leases`, sends their datagrams
//! and writes the voter's records to disk.

use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};

use lynxstair::types::Time;
use lynxstair_leases::{
    Action, AdminCommand, DisabledParts, DutyView, Epoch, HolderConfig, HolderMessage, LeaseHolder,
    PersistentState, QueryStatus, Record, Voter, VoterConfig, VoterView,
};
use lynxstair_net::clock::Clock;
use lynxstair_record_log::{RecordLog, Repair, Writer};
use tracing::warn;

use crate::config::{Config, DutyConfig};
use crate::error::StartError;
use crate::logging;
use crate::node::RunIdentity;
use crate::outputs::Outputs;
use crate::protocol::{DutyStatus, Response, VoterStatus};
use crate::sync::lock;
use crate::trial::write_fault;

/// Directory of the voter's records, in the data directory of the member.
const VOTER_DIRECTORY: &str = "voter";

struct State {
    voter: Voter,
    holder: LeaseHolder,
}

/// Failure to write a record of the voter.
#[derive(Debug, thiserror::Error)]
enum WriteError {
    #[error(transparent)]
    Log(lynxstair_record_log::Error),
    #[error("the write queue is full")]
    QueueFull,
}

/// Ticket and result of a finished write.
type Completion = (u64, Result<(), WriteError>);

/// Voter and lease holder of this member.
pub(crate) struct Duties {
    state: Mutex<State>,
    outputs: Outputs,
    writer: Writer<u64>,
    /// State of the voter including queued records; the writer compacts the file from it.
    persisted: Arc<Mutex<PersistentState>>,
    completions: Arc<Mutex<Vec<Completion>>>,
    disk_error: Mutex<Option<String>>,
}

impl Duties {
    /// Opens the voter's records and starts the voter, the lease holder and the writer thread.
    pub fn start(
        config: &Config,
        duty_config: &DutyConfig,
        clock: Clock,
        outputs: Outputs,
        identity: RunIdentity,
    ) -> Result<Self, StartError> {
        let directory = config.data.join(VOTER_DIRECTORY);
        let owner = format!("{}/{}/voter", config.fleet, config.name);
        let opened =
            RecordLog::open(&directory, &owner, write_fault(config)).map_err(StartError::VoterRecords)?;
        let persisted = PersistentState::decode(&opened.records)
            .map_err(|source| StartError::UnknownVoterRecord { directory, source })?;
        for repair in &opened.repairs {
            warn!(?repair, "fleet: voter records repaired");
        }
        if config.trial.disabled_lease_parts != DisabledParts::default() {
            let disabled = config.trial.disabled_lease_parts;
            warn!(broken = ?disabled, "fleet: lease safeguards disabled for a trial");
        }
        let has_lost_records = opened.repairs.iter().any(|r| matches!(r, Repair::TornEnd { .. }));
        let now = clock.now();
        let state = State {
            voter: Voter::new(
                now,
                voter_config(config, duty_config, identity, persisted.clone(), has_lost_records),
            ),
            holder: LeaseHolder::new(now, holder_config(config, duty_config, identity)),
        };
        let persisted = Arc::new(Mutex::new(persisted));
        let completions = Arc::new(Mutex::new(Vec::new()));
        let (rewritten, completed, wake_timer) =
            (persisted.clone(), completions.clone(), outputs.wake_timer.clone());
        let on_written = move |ticket, result: Result<(), lynxstair_record_log::Error>| {
            lock(&completed).push((ticket, result.map_err(WriteError::Log)));
            wake_timer.wake_now();
        };
        let rewrite = move || lock(&rewritten).to_records().iter().map(Record::to_bytes).collect();
        let writer = Writer::start(opened.log, Box::new(on_written), Box::new(rewrite))
            .map_err(|source| StartError::Thread { thread: "voter records", source })?;
        let (state, disk_error) = (Mutex::new(state), Mutex::default());
        Ok(Duties { state, outputs, writer, persisted, completions, disk_error })
    }

    /// Runs `step` on the state machines, then performs their actions without holding the lock.
    fn update<T>(&self, now: Time, step: impl FnOnce(&mut State) -> T) -> T {
        let (value, actions, deadline) = {
            let mut state = lock(&self.state);
            let value = step(&mut state);
            let mut actions = state.voter.take_actions();
            actions.extend(state.holder.take_actions());
            let deadline = state.voter.next_deadline().into_iter().chain(state.holder.next_deadline()).min();
            (value, actions, deadline)
        };
        for action in actions {
            match action {
                Action::Send { to, datagram } => self.outputs.send(to, &datagram),
                Action::Write { ticket, record } => self.write(ticket, &record),
                Action::Emit(event) => {
                    logging::log_duties(&event);
                    self.outputs.record_event(now, &event);
                }
            }
        }
        self.outputs.wake_by(deadline);
        value
    }

    fn write(&self, ticket: u64, record: &Record) {
        if let Err(e) = lock(&self.persisted).apply(record) {
            warn!(%e, "fleet: invalid record from the local voter");
        }
        if !self.writer.append(ticket, record.to_bytes()) {
            lock(&self.completions).push((ticket, Err(WriteError::QueueFull)));
            self.outputs.wake_timer.wake_now();
        }
    }

    pub fn tick(&self, now: Time) {
        for (ticket, result) in std::mem::take(&mut *lock(&self.completions)) {
            let result = result.map_err(|e| e.to_string());
            *lock(&self.disk_error) = result.as_ref().err().cloned();
            let result = result.as_ref().copied().map_err(String::as_str);
            self.update(now, |state| state.voter.on_written(now, ticket, result));
        }
        self.update(now, |state| {
            state.voter.tick(now);
            state.holder.tick(now);
        });
    }

    pub fn receive(&self, now: Time, from: SocketAddrV4, datagram: &[u8]) {
        self.update(now, |state| match state.voter.receive(now, from, datagram) {
            Ok(Some(HolderMessage::Response { number, response })) => {
                state.holder.on_response(now, number, response)
            }
            Ok(Some(HolderMessage::DutyChanged { duty })) => state.holder.on_duty_changed(now, &duty),
            // The voter counts the datagrams that it drops.
            Ok(None) | Err(_) => {}
        });
    }

    /// Returns the epoch of the lease that this member holds on the duty now; `None` without a valid lease.
    pub fn leased_epoch(&self, now: Time, duty: &str) -> Option<Epoch> {
        lock(&self.state).holder.leased_epoch(now, duty)
    }

    /// Handles the rejection of a write that was made under an older epoch than `highest_epoch`.
    pub fn on_fenced(&self, now: Time, duty: &str, highest_epoch: Epoch) {
        self.update(now, |state| state.holder.on_fenced(now, duty, highest_epoch));
    }

    pub fn leave(&self, now: Time) {
        self.update(now, |state| state.holder.leave(now));
    }

    /// Returns the state of the local voter and of the duties that this member claims.
    pub fn views(&self, now: Time) -> (VoterView, Vec<DutyView>) {
        let state = lock(&self.state);
        (state.voter.view(now), state.holder.view(now))
    }

    /// Returns the error of the last write; `None` if it succeeded.
    pub fn disk_error(&self) -> Option<String> {
        lock(&self.disk_error).clone()
    }

    /// Forwards a query, with a command if given, to the voters. Returns `Response::Pending` until they
    /// reply; the client then sends the request again with the same id.
    pub fn query(&self, now: Time, id: u64, command: Option<&AdminCommand>) -> Response {
        match self.update(now, |state| state.holder.query(now, id, command)) {
            QueryStatus::Pending => Response::Pending,
            QueryStatus::Unknown(reason) => Response::Unknown { reason },
            QueryStatus::Answered(response) => to_response(response),
        }
    }
}

fn voter_config(
    config: &Config,
    duty_config: &DutyConfig,
    identity: RunIdentity,
    state: PersistentState,
    has_lost_records: bool,
) -> VoterConfig {
    VoterConfig {
        fleet: config.fleet.as_str().to_string(),
        name: config.name.as_str().to_string(),
        addr: config.advertise,
        initial_voters: duty_config.voters.clone(),
        state,
        has_lost_records,
        // Includes `run`, so that a voter that lost its records draws a new identity even with a fixed seed.
        seed: identity.seed ^ u64::from(identity.run) << 32,
        times: duty_config.times,
        disabled: config.trial.disabled_lease_parts,
    }
}

fn holder_config(config: &Config, duty_config: &DutyConfig, identity: RunIdentity) -> HolderConfig {
    HolderConfig {
        fleet: config.fleet.as_str().to_string(),
        name: config.name.as_str().to_string(),
        voters: duty_config.voters.iter().map(|(_, addr)| *addr).collect(),
        duties: duty_config.duties.clone(),
        seed: identity.seed,
        incarnation: u64::from(identity.run),
        times: duty_config.times,
        disabled: config.trial.disabled_lease_parts,
    }
}

/// Converts a response of the voters into one of the control port.
fn to_response(response: lynxstair_leases::Response) -> Response {
    use lynxstair_leases::Response as VoterResponse;
    match response {
        VoterResponse::Done => Response::Done,
        VoterResponse::Refused { reason } => Response::Refused { reason },
        VoterResponse::Table { duties, voters, leader } => Response::Owners {
            duties: duties.into_iter().map(|(duty, lease)| duty_status(duty, lease)).collect(),
            voters: voters.into_iter().map(voter_status).collect(),
            leader,
        },
        _ => Response::Unknown { reason: "unexpected response from the voters".to_string() },
    }
}

fn duty_status(duty: String, lease: lynxstair_leases::Lease) -> DutyStatus {
    DutyStatus {
        duty,
        owner: lease.owner.map(|owner| owner.name),
        epoch: lease.epoch,
        since_unix_ms: lease.granted_at / 1_000_000,
        granted_by: lease.granted_by,
        reserved_for: lease.reserved_for,
        state_bytes: lease.state.len(),
    }
}

fn voter_status(voter: lynxstair_leases::VoterInfo) -> VoterStatus {
    VoterStatus { name: voter.name, id: voter.id.0, addr: voter.addr }
}
