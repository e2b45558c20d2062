//! Duties held under a lease, on sockets: a voter with its records on disk, and this member's own claims.
//! It decides nothing of who owns what; `crates/leases` does.

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

/// The directory of the voter's records, inside the member's.
const VOTER_DIRECTORY: &str = "voter";

struct State {
    voter: Voter,
    holder: LeaseHolder,
}

/// Why a record is not on disk.
#[derive(Debug, thiserror::Error)]
enum WriteError {
    #[error(transparent)]
    Log(lynxstair_record_log::Error),
    #[error("too many records wait for the disk")]
    QueueFull,
}

/// The end of a write, by its ticket.
type Completion = (u64, Result<(), WriteError>);

/// This member's voter and lease holder.
pub(crate) struct Duties {
    state: Mutex<State>,
    outputs: Outputs,
    writer: Writer<u64>,
    /// What the file amounts to with the records on their way: the writer rewrites the file from it.
    persisted: Arc<Mutex<PersistentState>>,
    completions: Arc<Mutex<Vec<Completion>>>,
    disk_error: Mutex<Option<String>>,
}

impl Duties {
    /// Opens the voter's records, and starts both state machines and the writer's thread.
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
            warn!(?repair, "fleet: a voter's records were mended");
        }
        if config.trial.disabled_lease_parts != DisabledParts::default() {
            let broken = config.trial.disabled_lease_parts;
            warn!(?broken, "fleet: parts are taken out for a trial; not for service");
        }
        let has_lost_records = opened.repairs.iter().any(|r| matches!(r, Repair::TornEnd { .. }));
        let now = clock.now();
        let state = State {
            voter: Voter::new(
                now,
                voter_start(config, duty_config, identity, persisted.clone(), has_lost_records),
            ),
            holder: LeaseHolder::new(now, holder_start(config, duty_config, identity)),
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
            .map_err(|source| StartError::Thread { thread: "a voter's records", source })?;
        let (state, disk_error) = (Mutex::new(state), Mutex::default());
        Ok(Duties { state, outputs, writer, persisted, completions, disk_error })
    }

    /// Has the state machines do something and carries out what they ask for. The lock is held for the state
    /// machines only.
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
            warn!(%e, "fleet: a voter's own record");
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
            // The voter counts what it drops.
            Ok(None) | Err(_) => {}
        });
    }

    /// The epoch in which an effect of the duty may begin now; `None` without a lease.
    pub fn may_begin(&self, now: Time, duty: &str) -> Option<Epoch> {
        lock(&self.state).holder.leased_epoch(now, duty)
    }

    /// An effect was refused: a higher epoch was seen where it was to land.
    pub fn refused(&self, now: Time, duty: &str, highest_epoch: Epoch) {
        self.update(now, |state| state.holder.on_fenced(now, duty, highest_epoch));
    }

    pub fn leave(&self, now: Time) {
        self.update(now, |state| state.holder.leave(now));
    }

    /// This member's voter and its claims.
    pub fn views(&self, now: Time) -> (VoterView, Vec<DutyView>) {
        let state = lock(&self.state);
        (state.voter.view(now), state.holder.view(now))
    }

    /// Why the last record could not be written; `None`: all are on disk.
    pub fn disk_error(&self) -> Option<String> {
        lock(&self.disk_error).clone()
    }

    /// Asks the voters on behalf of an operator, who sends the request again while the response is pending.
    pub fn query(&self, now: Time, id: u64, command: Option<&AdminCommand>) -> Response {
        match self.update(now, |state| state.holder.query(now, id, command)) {
            QueryStatus::Pending => Response::Pending,
            QueryStatus::Unknown(reason) => Response::Unknown { reason },
            QueryStatus::Answered(response) => to_response(response),
        }
    }
}

fn voter_start(
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
        // An identity that is drawn again after the records were lost must be another one.
        seed: identity.seed ^ u64::from(identity.run) << 32,
        times: duty_config.times,
        disabled: config.trial.disabled_lease_parts,
    }
}

fn holder_start(config: &Config, duty_config: &DutyConfig, identity: RunIdentity) -> HolderConfig {
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

/// What the voters answered, as an operator is told.
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
        _ => Response::Unknown { reason: "an answer to something else".to_string() },
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
