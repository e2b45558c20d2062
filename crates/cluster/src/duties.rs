//! Duties held under a lease, on sockets: a voter with its records on disk, and this member's own claims.
//! It decides nothing of who owns what; `crates/leases` does.

use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};

use lynxstair::types::Time;
use lynxstair_leases::{
    Broken, Came, Do, DutySeen, Epoch, ForHolder, Holder, HolderStart, Image, Record, Start, Voter,
    VoterView, Wants,
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
    holder: Holder,
}

/// The end of a write, by its ticket.
type Completion = (u64, Result<(), String>);

/// This member's voter and lease holder.
pub(crate) struct Duties {
    state: Mutex<State>,
    outputs: Outputs,
    writer: Writer<u64>,
    /// What the file amounts to with the records on their way: the writer rewrites the file from it.
    image: Arc<Mutex<Image>>,
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
        let image = Image::read(&opened.records)
            .map_err(|reason| StartError::UnknownVoterRecord { directory, reason })?;
        for repair in &opened.repairs {
            warn!(?repair, "fleet: a voter's records were mended");
        }
        if config.trial.broken_ownership != Broken::default() {
            let broken = config.trial.broken_ownership;
            warn!(?broken, "fleet: parts are taken out for a trial; not for service");
        }
        let has_lost_records = opened.repairs.iter().any(|r| matches!(r, Repair::TornEnd { .. }));
        let now = clock.now();
        let state = State {
            voter: Voter::begin(
                now,
                voter_start(config, duty_config, identity, image.clone(), has_lost_records),
            ),
            holder: Holder::begin(now, holder_start(config, duty_config, identity)),
        };
        let image = Arc::new(Mutex::new(image));
        let completions = Arc::new(Mutex::new(Vec::new()));
        let (rewritten, completed, ticker) = (image.clone(), completions.clone(), outputs.ticker.clone());
        let on_written = move |ticket, result: Result<(), lynxstair_record_log::Error>| {
            lock(&completed).push((ticket, result.map_err(|e| e.to_string())));
            ticker.wake_now();
        };
        let rewrite = move || lock(&rewritten).records().iter().map(Record::written).collect();
        let writer = Writer::start(opened.log, Box::new(on_written), Box::new(rewrite))
            .map_err(|source| StartError::Thread { thread: "a voter's records", source })?;
        let (state, disk_error) = (Mutex::new(state), Mutex::default());
        Ok(Duties { state, outputs, writer, image, completions, disk_error })
    }

    /// Has the state machines do something and carries out what they ask for. The lock is held for the state
    /// machines only.
    fn update<T>(&self, now: Time, step: impl FnOnce(&mut State) -> T) -> T {
        let (value, actions, deadline) = {
            let mut state = lock(&self.state);
            let value = step(&mut state);
            let mut actions = state.voter.take();
            actions.extend(state.holder.take());
            let deadline = state.voter.next_due().into_iter().chain(state.holder.next_due()).min();
            (value, actions, deadline)
        };
        for action in actions {
            match action {
                Do::Send { to, datagram } => self.outputs.send(to, &datagram),
                Do::Write { ticket, record } => self.write(ticket, &record),
                Do::Tell(event) => {
                    logging::log_duties(&event);
                    self.outputs.record_event(now, &event);
                }
            }
        }
        self.outputs.wake_by(deadline);
        value
    }

    fn write(&self, ticket: u64, record: &Record) {
        if let Err(e) = lock(&self.image).take_in(record) {
            warn!(%e, "fleet: a voter's own record");
        }
        if !self.writer.append(ticket, record.written()) {
            let why = "too many records wait for the disk".to_string();
            lock(&self.completions).push((ticket, Err(why)));
            self.outputs.ticker.wake_now();
        }
    }

    pub fn tick(&self, now: Time) {
        for (ticket, result) in std::mem::take(&mut *lock(&self.completions)) {
            *lock(&self.disk_error) = result.as_ref().err().cloned();
            let result = result.as_ref().copied().map_err(String::as_str);
            self.update(now, |state| state.voter.written(now, ticket, result));
        }
        self.update(now, |state| {
            state.voter.tick(now);
            state.holder.tick(now);
        });
    }

    pub fn receive(&self, now: Time, from: SocketAddrV4, datagram: &[u8]) {
        self.update(now, |state| match state.voter.heard(now, from, datagram) {
            Ok(Some(ForHolder::Answer { number, answer })) => state.holder.heard(now, number, answer),
            Ok(Some(ForHolder::Hint { duty })) => state.holder.hinted(now, &duty),
            // The voter counts what it drops.
            Ok(None) | Err(_) => {}
        });
    }

    /// The epoch in which an effect of the duty may begin now; `None` without a lease.
    pub fn may_begin(&self, now: Time, duty: &str) -> Option<Epoch> {
        lock(&self.state).holder.may_begin(now, duty)
    }

    /// An effect was refused: a higher epoch was seen where it was to land.
    pub fn refused(&self, now: Time, duty: &str, highest_epoch: Epoch) {
        self.update(now, |state| state.holder.refused(now, duty, highest_epoch));
    }

    pub fn leave(&self, now: Time) {
        self.update(now, |state| state.holder.leave(now));
    }

    /// This member's voter and its claims.
    pub fn views(&self, now: Time) -> (VoterView, Vec<DutySeen>) {
        let state = lock(&self.state);
        (state.voter.view(now), state.holder.view(now))
    }

    /// Why the last record could not be written; `None`: all are on disk.
    pub fn disk_error(&self) -> Option<String> {
        lock(&self.disk_error).clone()
    }

    /// Asks the voters on behalf of an operator, who sends the request again while the response is pending.
    pub fn query(&self, now: Time, id: u64, command: Option<&Wants>) -> Response {
        match self.update(now, |state| state.holder.question(now, id, command)) {
            Came::Waits => Response::Pending,
            Came::Unknown(reason) => Response::Unknown { reason },
            Came::Answered(answer) => to_response(answer),
        }
    }
}

fn voter_start(
    config: &Config,
    duty_config: &DutyConfig,
    identity: RunIdentity,
    image: Image,
    has_lost_records: bool,
) -> Start {
    Start {
        fleet: config.fleet.as_str().to_string(),
        name: config.name.as_str().to_string(),
        addr: config.advertise,
        named: duty_config.voters.clone(),
        image,
        lost: has_lost_records,
        // An identity that is drawn again after the records were lost must be another one.
        seed: identity.seed ^ u64::from(identity.run) << 32,
        times: duty_config.times,
        broken: config.trial.broken_ownership,
    }
}

fn holder_start(config: &Config, duty_config: &DutyConfig, identity: RunIdentity) -> HolderStart {
    HolderStart {
        fleet: config.fleet.as_str().to_string(),
        name: config.name.as_str().to_string(),
        voters: duty_config.voters.iter().map(|(_, addr)| *addr).collect(),
        duties: duty_config.duties.clone(),
        seed: identity.seed,
        stand: u64::from(identity.run),
        times: duty_config.times,
        broken: config.trial.broken_ownership,
    }
}

/// What the voters answered, as an operator is told.
fn to_response(answer: lynxstair_leases::Answer) -> Response {
    use lynxstair_leases::Answer;
    match answer {
        Answer::Done => Response::Done,
        Answer::No { why } => Response::Refused { reason: why },
        Answer::Book { duties, voters, leader } => Response::Owners {
            duties: duties.into_iter().map(|(duty, held)| duty_status(duty, held)).collect(),
            voters: voters.into_iter().map(voter_status).collect(),
            leader,
        },
        _ => Response::Unknown { reason: "an answer to something else".to_string() },
    }
}

fn duty_status(duty: String, held: lynxstair_leases::Held) -> DutyStatus {
    DutyStatus {
        duty,
        owner: held.owner.map(|owner| owner.name),
        epoch: held.epoch,
        since_unix_ms: held.since / 1_000_000,
        granted_by: held.by,
        reserved_for: held.meant_for,
        state_bytes: held.state.len(),
    }
}

fn voter_status(voter: lynxstair_leases::VoterAt) -> VoterStatus {
    VoterStatus { name: voter.name, id: voter.id.0, addr: voter.addr }
}
