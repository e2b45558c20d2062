//! Runs the membership state machine: sends its datagrams and writes its records to disk.
//!
//! A member announces a new incarnation only after its record is on disk, so that no restart reuses an
//! incarnation number. A failed write of that record is retried, and the member is not announced until then.

use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};

use lynxstair::types::{Span, Time};
use lynxstair_membership::{Action, Incarnation, Membership, MembershipConfig, Name, Record, View};
use lynxstair_net::clock::Clock;
use lynxstair_record_log::{Error, RecordLog, Repair, Writer};
use tracing::{error, info, warn};

use crate::config::Config;
use crate::error::StartError;
use crate::logging;
use crate::membership_records::{MembershipRecords, encode};
use crate::node::RunIdentity;
use crate::outputs::Outputs;
use crate::sync::lock;
use crate::trial::write_fault;

/// Delay before a failed write is retried.
const WRITE_RETRY_INTERVAL: Span = Span::from_millis(500);

/// Incarnation and result of a finished write of its record.
type Completion = (Incarnation, Result<(), Error>);

#[derive(Default)]
struct DiskState {
    /// Error of the last write of an incarnation; `None` if it did not fail.
    error: Option<String>,
    /// Time of the next attempt and the record to write.
    retry: Option<(Time, Record)>,
}

/// Membership of this node.
pub(crate) struct MembershipService {
    membership: Mutex<Membership>,
    outputs: Outputs,
    writer: Writer<Option<Incarnation>>,
    /// Stored state including queued records; the writer compacts the file from it.
    records: Arc<Mutex<MembershipRecords>>,
    completions: Arc<Mutex<Vec<Completion>>>,
    disk: Mutex<DiskState>,
}

impl MembershipService {
    /// Opens the records and starts the state machine and the writer thread.
    pub fn start(
        config: &Config,
        clock: Clock,
        outputs: Outputs,
        identity: RunIdentity,
    ) -> Result<Self, StartError> {
        let owner = format!("{}/{}", config.fleet, config.name);
        let opened = RecordLog::open(&config.data, &owner, write_fault(config))
            .map_err(StartError::MembershipRecords)?;
        opened.repairs.iter().for_each(log_repair);
        let records = MembershipRecords::decode(&opened.records).map_err(|source| {
            StartError::UnknownMembershipRecord { directory: config.data.clone(), source }
        })?;
        let membership = Membership::new(clock.now(), membership_config(config, identity, &records));
        let records = Arc::new(Mutex::new(records));
        let completions = Arc::new(Mutex::new(Vec::new()));
        let (rewritten, completed, wake_timer) =
            (records.clone(), completions.clone(), outputs.wake_timer.clone());
        let on_written =
            move |awaited: Option<Incarnation>, result: Result<(), Error>| match (awaited, result) {
                (Some(incarnation), result) => {
                    lock(&completed).push((incarnation, result));
                    wake_timer.wake_now();
                }
                // Only incarnation records are retried.
                (None, Err(e)) => error!(%e, "fleet: membership record not written"),
                (None, Ok(())) => {}
            };
        let writer =
            Writer::start(opened.log, Box::new(on_written), Box::new(move || lock(&rewritten).encode()))
                .map_err(|source| StartError::Thread { thread: "membership records", source })?;
        let (membership, disk) = (Mutex::new(membership), Mutex::default());
        Ok(MembershipService { membership, outputs, writer, records, completions, disk })
    }

    /// Runs `step` on the state machine, then performs its actions without holding the lock.
    fn update(&self, now: Time, step: impl FnOnce(&mut Membership)) {
        let (actions, deadline) = {
            let mut membership = lock(&self.membership);
            step(&mut membership);
            (membership.take_actions(), membership.next_deadline())
        };
        for action in actions {
            self.perform(now, action);
        }
        self.outputs.wake_by(deadline);
    }

    fn perform(&self, now: Time, action: Action) {
        match action {
            Action::Send { to, datagram } => self.outputs.send(to, &datagram),
            Action::Write(record) => self.write(now, record),
            Action::Emit(event) => {
                logging::log_membership(&event);
                self.outputs.record_event(now, &event);
            }
        }
    }

    fn write(&self, now: Time, record: Record) {
        let awaited = match &record {
            Record::IncarnationStarted { incarnation } => Some(*incarnation),
            _ => None,
        };
        lock(&self.records).apply(record.clone());
        if !self.writer.append(awaited, encode(&record)) && awaited.is_some() {
            self.retry_later(now, record, "the write queue is full".to_string());
        }
    }

    fn retry_later(&self, now: Time, record: Record, reason: String) {
        error!(why = %reason, "fleet: incarnation not written; not announcing this member until it is");
        let at = now + WRITE_RETRY_INTERVAL;
        let mut disk = lock(&self.disk);
        disk.error = Some(reason);
        disk.retry = Some((at, record));
        self.outputs.wake_timer.wake_by(at);
    }

    fn handle_completions(&self, now: Time) {
        for (incarnation, result) in std::mem::take(&mut *lock(&self.completions)) {
            match result {
                Ok(()) => {
                    if lock(&self.disk).error.take().is_some() {
                        info!("fleet: membership records are written again");
                    }
                    self.update(now, |membership| membership.on_written(now, incarnation));
                }
                Err(e) => self.retry_later(now, Record::IncarnationStarted { incarnation }, e.to_string()),
            }
        }
        let due = lock(&self.disk).retry.take_if(|(at, _)| *at <= now);
        if let Some((_, record)) = due {
            self.write(now, record);
        }
        let next = lock(&self.disk).retry.as_ref().map(|(at, _)| *at);
        self.outputs.wake_by(next);
    }

    pub fn tick(&self, now: Time) {
        self.handle_completions(now);
        self.update(now, |membership| membership.tick(now));
    }

    pub fn receive(&self, now: Time, from: SocketAddrV4, datagram: &[u8]) {
        self.update(now, |membership| membership.receive(now, from, datagram));
    }

    pub fn leave(&self, now: Time) {
        self.update(now, |membership| membership.leave(now));
    }

    pub fn shut_out(&self, now: Time, name: &Name, reason: &str) {
        self.update(now, |membership| membership.shut_out(now, name, reason));
    }

    pub fn let_in(&self, now: Time, name: &Name) {
        self.update(now, |membership| membership.let_in(now, name));
    }

    pub fn view(&self, now: Time) -> View {
        lock(&self.membership).view(now)
    }

    /// Returns the error of the last incarnation write; `None` if it did not fail.
    pub fn disk_error(&self) -> Option<String> {
        lock(&self.disk).error.clone()
    }
}

fn membership_config(
    config: &Config,
    identity: RunIdentity,
    records: &MembershipRecords,
) -> MembershipConfig {
    MembershipConfig {
        fleet: config.fleet.clone(),
        name: config.name.clone(),
        zone: config.zone.clone(),
        addr: config.advertise,
        seeds: config.seeds.clone(),
        run: identity.run,
        seed: identity.seed,
        last_incarnation: records.last_incarnation,
        known_members: records.known_members.clone(),
        notices: records.notices(),
        times: config.times,
        disabled: config.trial.disabled_membership_parts,
    }
}

fn log_repair(repair: &Repair) {
    match repair {
        Repair::TornEnd { number, bytes } => {
            warn!(number, bytes, "fleet: truncated an incomplete membership record");
        }
        Repair::Leftover => warn!("fleet: discarded an unfinished rewrite of the membership records"),
    }
}
