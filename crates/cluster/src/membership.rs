//! The membership state machine with its datagrams and its records on disk.
//!
//! A member tells others of its new incarnation only once that is on disk: a restart must not bear the number of
//! an earlier life. While the disk fails, the record is retried and the member stays silent.

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

/// After so long a record that could not be written is tried again.
const WRITE_RETRY_INTERVAL: Span = Span::from_millis(500);

/// The end of a write that the state machine waits for.
type Completion = (Incarnation, Result<(), Error>);

#[derive(Default)]
struct DiskState {
    /// Why records can't be written, while they can't.
    error: Option<String>,
    retry: Option<(Time, Record)>,
}

pub(crate) struct MembershipService {
    membership: Mutex<Membership>,
    outputs: Outputs,
    writer: Writer<Option<Incarnation>>,
    /// What the file amounts to with the records on their way: the writer rewrites the file from it.
    records: Arc<Mutex<MembershipRecords>>,
    completions: Arc<Mutex<Vec<Completion>>>,
    disk: Mutex<DiskState>,
}

impl MembershipService {
    /// Opens the records, and starts the state machine and the writer's thread.
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
            move |waiting: Option<Incarnation>, result: Result<(), Error>| match (waiting, result) {
                (Some(incarnation), result) => {
                    lock(&completed).push((incarnation, result));
                    wake_timer.wake_now();
                }
                // Nobody waits for it, so nobody retries it: the next one that is waited for shows whether the disk
                // works again.
                (None, Err(e)) => error!(%e, "fleet: a record was not written"),
                (None, Ok(())) => {}
            };
        let writer =
            Writer::start(opened.log, Box::new(on_written), Box::new(move || lock(&rewritten).encode()))
                .map_err(|source| StartError::Thread { thread: "records", source })?;
        let (membership, disk) = (Mutex::new(membership), Mutex::default());
        Ok(MembershipService { membership, outputs, writer, records, completions, disk })
    }

    /// Has the state machine do something and carries out what it asks for. The lock is held for the state
    /// machine only.
    fn update(&self, now: Time, step: impl FnOnce(&mut Membership)) {
        let (actions, deadline) = {
            let mut membership = lock(&self.membership);
            step(&mut membership);
            (membership.take_actions(), membership.next_deadline())
        };
        for action in actions {
            self.carry_out(now, action);
        }
        self.outputs.wake_by(deadline);
    }

    fn carry_out(&self, now: Time, action: Action) {
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
        let waiting = match &record {
            Record::IncarnationStarted { incarnation } => Some(*incarnation),
            _ => None,
        };
        lock(&self.records).apply(record.clone());
        if !self.writer.append(waiting, encode(&record)) && waiting.is_some() {
            self.retry_later(now, record, "too many records wait for the disk".to_string());
        }
    }

    fn retry_later(&self, now: Time, record: Record, why: String) {
        error!(%why, "fleet: not on disk; this member tells nobody of itself until it is");
        let at = now + WRITE_RETRY_INTERVAL;
        let mut disk = lock(&self.disk);
        disk.error = Some(why);
        disk.retry = Some((at, record));
        self.outputs.wake_timer.wake_by(at);
    }

    fn handle_completions(&self, now: Time) {
        for (incarnation, result) in std::mem::take(&mut *lock(&self.completions)) {
            match result {
                Ok(()) => {
                    if lock(&self.disk).error.take().is_some() {
                        info!("fleet: records are written again");
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

    /// Why the last record could not be written; `None`: all are on disk.
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
            warn!(number, bytes, "fleet: a record that was not written whole is cut off");
        }
        Repair::Leftover => warn!("fleet: records that were being written anew are as before"),
    }
}
