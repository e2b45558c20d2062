//! The cluster node of a gatekeeper: starts all parts, dispatches datagrams and handles control requests.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use lynxstair::types::{Span, Time};
use lynxstair_leases::{AdminCommand, Epoch};
use lynxstair_membership::Name;
use lynxstair_net::clock::Clock;
use lynxstair_net::coroutine::spawn;
use lynxstair_net::wake_timer::WakeTimer;
use rand::TryRng;
use rand::rngs::SysRng;
use serde::Serialize;
use tracing::warn;
use tracing_appender::non_blocking::WorkerGuard;

use crate::config::Config;
use crate::control_port::ControlPort;
use crate::datagrams::DatagramSocket;
use crate::duties::Duties;
use crate::error::StartError;
use crate::exporter::Exporter;
use crate::history::History;
use crate::logging;
use crate::membership::MembershipService;
use crate::outputs::Outputs;
use crate::protocol::{Request, Response, UsageCounts};
use crate::trial::{end_with_parent, write_fault};
use crate::usage_log::UsageLog;

/// Directory of the usage log, in the data directory of the member.
const USAGE_DIRECTORY: &str = "uses";
const TIMER_RESOLUTION: Span = Span::from_millis(1);

/// Random numbers drawn when the process starts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunIdentity {
    /// Distinguishes this process from others of the same member.
    pub run: u32,
    /// Seed of the random choices of membership, leases and export; a configured seed takes precedence.
    pub seed: u64,
}

impl RunIdentity {
    /// Draws a new `run` at each start, even if the seed is configured.
    fn draw(configured_seed: Option<u64>) -> Result<Self, StartError> {
        let run = random()? as u32;
        let seed = configured_seed.map_or_else(random, Ok)?;
        Ok(RunIdentity { run, seed })
    }
}

fn random() -> Result<u64, StartError> {
    SysRng.try_next_u64().map_err(StartError::Randomness)
}

/// Cluster node of a gatekeeper.
pub struct ClusterNode {
    config: Config,
    clock: Clock,
    outputs: Outputs,
    membership: MembershipService,
    /// `None` if the fleet file names no voters.
    duties: Option<Duties>,
    /// `None` if the fleet file names no sink.
    usage_log: Option<Arc<UsageLog>>,
    control_port: Arc<ControlPort>,
    /// Flushes the log when dropped.
    _log: WorkerGuard,
}

impl ClusterNode {
    /// Opens sockets and files and starts the coroutines and threads. The coroutine runtime must be
    /// configured before the call.
    ///
    /// # Errors
    /// If a socket, a file or a thread can't be opened or started.
    pub fn start(config: Config) -> Result<Arc<Self>, StartError> {
        if let Some(parent) = config.trial.ends_with_parent {
            end_with_parent(parent)?;
        }
        let log = logging::start(config.log);
        let clock = Clock::start();
        let identity = RunIdentity::draw(config.seed)?;
        let outputs = open_outputs(&config, clock, identity)?;
        let control_port = ControlPort::listen(config.control, clock, outputs.wake_timer.clone())?;
        let membership = MembershipService::start(&config, clock, outputs.clone(), identity)?;
        if config.trial.disabled_membership_parts != Default::default() {
            warn!(
                broken = ?config.trial.disabled_membership_parts,
                "fleet: membership safeguards disabled for a trial"
            );
        }
        let start_duties =
            |duty_config| Duties::start(&config, duty_config, clock, outputs.clone(), identity);
        let duties = config.duties.as_ref().map(start_duties).transpose()?;
        let usage_log = config.sink.map(|_| open_usage_log(&config)).transpose()?;
        let node = Arc::new(ClusterNode {
            config,
            clock,
            outputs,
            membership,
            duties,
            usage_log,
            control_port,
            _log: log,
        });
        if let Some(sink) = node.config.sink {
            let pause = Duration::from_millis(node.config.trial.export_pause_ms);
            Exporter::start(node.clone(), sink, identity.seed, pause)
                .map_err(|source| StartError::Thread { thread: "export", source })?;
        }
        node.spawn_coroutines();
        Ok(node)
    }

    fn spawn_coroutines(self: &Arc<Self>) {
        let node = self.clone();
        spawn("cluster datagrams", move || {
            let deliver = |now, from, datagram: &[u8]| node.receive(now, from, datagram);
            node.outputs.socket.receive_all(node.clock, deliver);
        });
        let node = self.clone();
        spawn("cluster timer", move || node.run_timer());
        let node = self.clone();
        spawn("cluster control port", move || {
            let handler = node.clone();
            node.control_port.serve_all(&Arc::new(move |request| handler.handle_request(request)));
        });
    }

    /// Announces to the other members that this one leaves, without waiting for an acknowledgement.
    pub fn leave(&self) {
        let now = self.clock.now();
        self.membership.leave(now);
        if let Some(duties) = &self.duties {
            duties.leave(now);
        }
        self.outputs.wake_timer.wake_now();
    }

    /// Returns the log for the usage of succeeded requests; `None` if usage is not exported.
    pub fn usage_log(&self) -> Option<Arc<UsageLog>> {
        self.usage_log.clone()
    }

    /// Returns the epoch of the lease that this member holds on the duty now; `None` without a valid lease.
    pub(crate) fn leased_epoch(&self, duty: &str) -> Option<Epoch> {
        let now = self.clock.now();
        self.duties.as_ref().and_then(|duties| duties.leased_epoch(now, duty))
    }

    /// Handles the rejection of a write that was made under an older epoch than `highest_epoch`.
    pub(crate) fn on_fenced(&self, duty: &str, highest_epoch: Epoch) {
        if let Some(duties) = &self.duties {
            duties.on_fenced(self.clock.now(), duty, highest_epoch);
        }
    }

    /// Returns the members that are present in this member's view, then this member itself without an
    /// address.
    pub(crate) fn present_members(&self) -> Vec<(String, Option<SocketAddrV4>)> {
        let view = self.membership.view(self.clock.now());
        let others = view.members.iter().filter(|member| member.state.is_present());
        let others = others.map(|member| (member.name.as_str().to_string(), Some(member.addr)));
        others.chain([(self.config.name.as_str().to_string(), None)]).collect()
    }

    /// Returns the IP address that the datagram socket is bound to.
    pub(crate) fn bind_ip(&self) -> Ipv4Addr {
        *self.config.bind.ip()
    }

    /// Records an event in the history.
    pub(crate) fn record_event<E: Serialize>(&self, event: &E) {
        self.outputs.record_event(self.clock.now(), event);
    }

    /// Returns the address of a member; `None` if it is not present in this member's view.
    fn address_of(&self, now: Time, name: &Name) -> Option<SocketAddrV4> {
        if *name == self.config.name {
            return Some(self.config.advertise);
        }
        let view = self.membership.view(now);
        view.members.iter().find(|m| m.name == *name && m.state.is_present()).map(|m| m.addr)
    }

    fn receive(&self, now: Time, from: SocketAddrV4, datagram: &[u8]) {
        match &self.duties {
            Some(duties) if datagram.first() == Some(&lynxstair_leases::FIRST_BYTE) => {
                duties.receive(now, from, datagram);
            }
            _ => self.membership.receive(now, from, datagram),
        }
    }

    fn run_timer(&self) {
        loop {
            let now = self.clock.now();
            self.membership.tick(now);
            if let Some(duties) = &self.duties {
                duties.tick(now);
            }
            self.control_port.tick(now);
            self.outputs.wake_timer.wake_by(now + self.control_port.tick_interval());
            self.outputs.wake_timer.wait();
        }
    }

    /// Handles a request of an operator or of an exporter.
    pub(crate) fn handle_request(&self, request: Request) -> Response {
        let now = self.clock.now();
        match request {
            Request::Status => self.status(now),
            Request::Leave => {
                self.leave();
                Response::Done
            }
            Request::ShutOut { name, .. } if name == self.config.name => {
                refusal("a member can't shut out itself; send the request to another member, or use leave")
            }
            Request::ShutOut { name, reason } => {
                self.membership.shut_out(now, &name, &reason);
                Response::Done
            }
            Request::LetIn { name } => {
                self.membership.let_in(now, &name);
                Response::Done
            }
            Request::Usage { stream, stored_up_to } => match &self.usage_log {
                Some(usage_log) => usage_log.usage_response(stream.as_ref(), stored_up_to),
                None => refusal("this member keeps no usage log"),
            },
            request => match &self.duties {
                Some(duties) => self.handle_duty_request(now, duties, request),
                None => refusal("the fleet file names no voters, so no duty has an owner"),
            },
        }
    }

    fn status(&self, now: Time) -> Response {
        Response::Status {
            fleet: self.config.fleet.clone(),
            version: env!("CARGO_PKG_VERSION").to_string(),
            view: Box::new(self.membership.view(now)),
            disk_error: self.membership.disk_error(),
            datagrams_dropped: self.outputs.socket.dropped(),
            datagrams_unsent: self.outputs.socket.unsent(),
        }
    }

    fn handle_duty_request(&self, now: Time, duties: &Duties, request: Request) -> Response {
        match request {
            Request::LocalRoles => {
                let (voter, views) = duties.views(now);
                let usage = self.usage_log.as_ref().map_or(UsageCounts::default(), |log| log.counts());
                Response::LocalRoles { voter, duties: views, disk_error: duties.disk_error(), usage }
            }
            Request::Owners { id } => duties.query(now, id, None),
            Request::HandOver { id, duty, to } => {
                let to = to.as_str().to_string();
                duties.query(now, id, Some(&AdminCommand::HandOver { duty, to }))
            }
            Request::Depose { id, duty } => duties.query(now, id, Some(&AdminCommand::Depose { duty })),
            Request::ReplaceVoter { id, old, new } => {
                let Some(addr) = self.address_of(now, &new) else {
                    return refusal(&format!("{new} is not present in this member's view of the fleet"));
                };
                let (old, new) = (old.as_str().to_string(), new.as_str().to_string());
                duties.query(now, id, Some(&AdminCommand::ReplaceVoter { old, new, addr }))
            }
            _ => refusal("unsupported request"),
        }
    }
}

fn refusal(reason: &str) -> Response {
    Response::Refused { reason: reason.to_string() }
}

fn open_outputs(config: &Config, clock: Clock, identity: RunIdentity) -> Result<Outputs, StartError> {
    let socket = DatagramSocket::bind(config.bind)?;
    let wake_timer = WakeTimer::new(clock, TIMER_RESOLUTION).map_err(StartError::Timer)?;
    let history = History::open(config.history.as_deref(), clock, config.name.clone(), identity.run)?;
    Ok(Outputs { socket: Arc::new(socket), history: Arc::new(history), wake_timer: Arc::new(wake_timer) })
}

fn open_usage_log(config: &Config) -> Result<Arc<UsageLog>, StartError> {
    let directory = config.data.join(USAGE_DIRECTORY);
    Ok(UsageLog::start(&directory, config.name.as_str(), random()?, write_fault(config))?)
}
