//! Log lines of the control side, on standard error as text or JSON, written by a thread of its own.

use lynxstair_membership::{Event, State};
use tracing::{info, warn};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

use crate::config::LogFormat;

/// Most lines that wait to be written; what is over is left out.
const MAX_WAITING: usize = 1_024;

/// Starts the log. Dropping the guard flushes and ends it.
pub(crate) fn start(format: LogFormat) -> WorkerGuard {
    let (lines, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_WAITING)
        .thread_name("log")
        .finish(std::io::stderr());
    let log = tracing_subscriber::fmt().with_writer(lines).with_target(false);
    // A program that has a log already keeps it.
    let _ = match format {
        LogFormat::Text => tracing::subscriber::set_global_default(log.with_ansi(false).finish()),
        LogFormat::Json => tracing::subscriber::set_global_default(log.json().flatten_event(true).finish()),
    };
    guard
}

/// Logs an event of membership.
pub(crate) fn log_membership(event: &Event) {
    match event {
        Event::IncarnationStarted { identity } => {
            info!(name = %identity.name, incarnation = identity.incarnation.0, addr = %identity.addr, "fleet: began");
        }
        Event::Phase { from, to, reason } => info!(?from, ?to, why = %reason, "fleet: phase"),
        Event::Member { name, addr, from, to, incarnation, reason, .. } => match to {
            State::Failed | State::ShutOut => {
                warn!(%name, %addr, ?from, ?to, incarnation = incarnation.0, why = ?reason, "fleet: member");
            }
            _ => info!(%name, %addr, ?from, ?to, incarnation = incarnation.0, why = ?reason, "fleet: member"),
        },
        Event::Paused { ms } => warn!(ms, "fleet: stood still"),
        Event::HealthDegraded { reason } => warn!(why = ?reason, "fleet: doubts itself, accuses nobody"),
        Event::HealthRecovered { ms } => info!(ms, "fleet: doubts itself no more"),
        Event::Link { to, state } => info!(%to, ?state, "fleet: link"),
        Event::JoinRefused { name, addr, reason } => warn!(%name, %addr, why = %reason, "fleet: turned away"),
    }
}

/// Logs an event of duties and their voters.
pub(crate) fn log_duties(event: &lynxstair_leases::Event) {
    use lynxstair_leases::{Event, Phase};
    match event {
        Event::VoterPhase { from, to, reason } if *to == Phase::Suspended => {
            warn!(?from, ?to, why = %reason, "fleet: voter");
        }
        Event::VoterPhase { from, to, reason } => info!(?from, ?to, why = %reason, "fleet: voter"),
        Event::Leadership { term, is_leader } => info!(term, leads = is_leader, "fleet: leads the voters"),
        Event::Granted { duty, owner, epoch, .. } => info!(%duty, %owner, epoch = epoch.0, "fleet: granted"),
        Event::Released { duty, owner, epoch } => info!(%duty, %owner, epoch = epoch.0, "fleet: released"),
        Event::Voters { names } => info!(names = %names.join(", "), "fleet: voters"),
        Event::OwnershipAcquired { duty, epoch } => info!(%duty, epoch = epoch.0, "fleet: owns"),
        Event::OwnershipLost { duty, epoch, reason } => {
            info!(%duty, epoch = epoch.0, why = %reason, "fleet: owns no more");
        }
    }
}
