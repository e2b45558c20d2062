//! The structured log of the control side, on standard error: text or JSON, written by a thread of its own.

use lynxstair_membership::{Event, State};
use tracing::{info, warn};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

use crate::config::LogForm;

/// So many lines may wait; what is over is left out.
const WAITING: usize = 1_024;

/// Begins the log. It ends when what is handed back is dropped.
pub(crate) fn begin(form: LogForm) -> WorkerGuard {
    let (lines, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(WAITING)
        .thread_name("log")
        .finish(std::io::stderr());
    let log = tracing_subscriber::fmt().with_writer(lines).with_target(false);
    // Where a program has a log already, that one is used.
    let _ = match form {
        LogForm::Text => tracing::subscriber::set_global_default(log.with_ansi(false).finish()),
        LogForm::Json => tracing::subscriber::set_global_default(log.json().flatten_event(true).finish()),
    };
    guard
}

/// One line for each event.
pub(crate) fn tell(event: &Event) {
    match event {
        Event::Began { ident } => {
            info!(name = %ident.name, incarnation = ident.incarnation.0, addr = %ident.addr, "fleet: began");
        }
        Event::Phase { from, to, why } => info!(?from, ?to, %why, "fleet: phase"),
        Event::Member { name, addr, from, to, incarnation, why, .. } => match to {
            State::Failed | State::ShutOut => {
                warn!(%name, %addr, ?from, ?to, incarnation = incarnation.0, ?why, "fleet: member");
            }
            _ => info!(%name, %addr, ?from, ?to, incarnation = incarnation.0, ?why, "fleet: member"),
        },
        Event::Stood { ms } => warn!(ms, "fleet: stood still"),
        Event::DoubtBegan { why } => warn!(?why, "fleet: doubts itself, accuses nobody"),
        Event::DoubtEnded { ms } => info!(ms, "fleet: doubts itself no more"),
        Event::Link { to, state } => info!(%to, ?state, "fleet: link"),
        Event::TurnedAway { name, addr, why } => warn!(%name, %addr, %why, "fleet: turned away"),
    }
}

/// The same of ownership.
pub(crate) fn tell_owners(event: &lynxstair_leases::Event) {
    use lynxstair_leases::{Event, Phase};
    match event {
        Event::VoterPhase { from, to, why } if *to == Phase::Aside => {
            warn!(?from, ?to, %why, "fleet: voter");
        }
        Event::VoterPhase { from, to, why } => info!(?from, ?to, %why, "fleet: voter"),
        Event::Leads { term, leads } => info!(term, leads, "fleet: leads the voters"),
        Event::Granted { duty, owner, epoch, .. } => info!(%duty, %owner, epoch = epoch.0, "fleet: granted"),
        Event::Released { duty, owner, epoch } => info!(%duty, %owner, epoch = epoch.0, "fleet: released"),
        Event::Voters { names } => info!(names = %names.join(", "), "fleet: voters"),
        Event::Owns { duty, epoch } => info!(%duty, epoch = epoch.0, "fleet: owns"),
        Event::OwnsNoMore { duty, epoch, why } => {
            info!(%duty, epoch = epoch.0, %why, "fleet: owns no more");
        }
    }
}
