//! Log of the cluster node, written to standard error as text or JSON by a separate thread.

use lynxstair_membership::{Event, State};
use tracing::{info, warn};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

use crate::config::LogFormat;

/// Most lines in the write queue; further ones are dropped.
const MAX_QUEUED_LINES: usize = 1_024;

/// Starts the log. Dropping the guard flushes and closes it.
pub(crate) fn start(format: LogFormat) -> WorkerGuard {
    let (lines, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .thread_name("log")
        .finish(std::io::stderr());
    let log = tracing_subscriber::fmt().with_writer(lines).with_target(false);
    // Fails if the program has installed a subscriber already, which then stays in use.
    let _ = match format {
        LogFormat::Text => tracing::subscriber::set_global_default(log.with_ansi(false).finish()),
        LogFormat::Json => tracing::subscriber::set_global_default(log.json().flatten_event(true).finish()),
    };
    guard
}

/// Logs a membership event.
pub(crate) fn log_membership(event: &Event) {
    match event {
        Event::IncarnationStarted { identity } => {
            info!(
                name = %identity.name,
                incarnation = identity.incarnation.0,
                addr = %identity.addr,
                "fleet: incarnation started"
            );
        }
        Event::Phase { from, to, reason } => info!(?from, ?to, why = %reason, "fleet: phase changed"),
        Event::Member { name, addr, from, to, incarnation, reason, .. } => match to {
            State::Failed | State::ShutOut => {
                warn!(%name, %addr, ?from, ?to, incarnation = incarnation.0, why = ?reason, "fleet: member");
            }
            _ => info!(%name, %addr, ?from, ?to, incarnation = incarnation.0, why = ?reason, "fleet: member"),
        },
        Event::Paused { ms } => warn!(ms, "fleet: process was paused"),
        Event::HealthDegraded { reason } => warn!(why = ?reason, "fleet: local health degraded"),
        Event::HealthRecovered { ms } => info!(ms, "fleet: local health recovered"),
        Event::Link { to, state } => info!(%to, ?state, "fleet: link state changed"),
        Event::JoinRefused { name, addr, reason } => warn!(%name, %addr, why = %reason, "fleet: join denied"),
    }
}

/// Logs an event of the voter or the lease holder.
pub(crate) fn log_duties(event: &lynxstair_leases::Event) {
    use lynxstair_leases::{Event, Phase};
    match event {
        Event::VoterPhase { from, to, reason } if *to == Phase::Suspended => {
            warn!(?from, ?to, why = %reason, "fleet: voter phase");
        }
        Event::VoterPhase { from, to, reason } => info!(?from, ?to, why = %reason, "fleet: voter phase"),
        Event::Leadership { term, is_leader } => info!(term, leads = is_leader, "fleet: voter leadership"),
        Event::Granted { duty, owner, epoch, .. } => info!(%duty, %owner, epoch = epoch.0, "fleet: granted"),
        Event::Released { duty, owner, epoch } => info!(%duty, %owner, epoch = epoch.0, "fleet: released"),
        Event::Voters { names } => info!(names = %names.join(", "), "fleet: voters changed"),
        Event::OwnershipAcquired { duty, epoch } => info!(%duty, epoch = epoch.0, "fleet: duty acquired"),
        Event::OwnershipLost { duty, epoch, reason } => {
            info!(%duty, epoch = epoch.0, why = %reason, "fleet: duty lost");
        }
    }
}
