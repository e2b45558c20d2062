//! Command-line arguments of `lynxstair fleet`.

use clap::Subcommand;

#[derive(clap::Args)]
pub struct Args {
    #[command(subcommand)]
    pub(super) command: Command,
}

#[derive(Subcommand)]
pub(super) enum Command {
    /// Shows each member as reported by each reachable member
    ///
    /// Exit code 0: all joined members agree; 1: members disagree, or a present member did not answer; 2: no
    /// member could be reached.
    Status {
        /// Fleet file or address of a member
        member: String,
        #[arg(long)]
        json: bool,
    },
    /// Prints changes of member states until interrupted
    ///
    /// Exit code 0; 2: no member could be reached at the start.
    Watch {
        /// Fleet file or address of a member
        member: String,
        #[arg(long)]
        json: bool,
        /// Ends after this time, in seconds
        #[arg(long, value_name = "SECONDS")]
        r#for: Option<f64>,
    },
    /// Makes a member leave the fleet; it continues to serve requests
    ///
    /// Exit code 0: accepted; 2: refused, or the member could not be reached.
    Leave {
        /// Fleet file or address of the member
        member: String,
    },
    /// Removes a member from the fleet until it is let in again
    ShutOut {
        /// Fleet file or address of any other member
        by: String,
        /// Name of the member to shut out
        name: String,
        /// Reason, sent to the member and shown in the status
        #[arg(long)]
        why: String,
    },
    /// Shows the owner of each duty, as confirmed by a majority of the voters
    ///
    /// Exit code 0: confirmed by a majority; 1: unknown; 2: refused, or no member could be reached.
    Owners {
        /// Fleet file or address of a member
        member: String,
        #[arg(long)]
        json: bool,
    },
    /// Transfers a duty from its owner to another member
    ///
    /// Exit code 0: done; 1: outcome unknown, retry with the same --id; 2: refused, or no member could be
    /// reached.
    HandOver {
        /// Fleet file or address of any member
        by: String,
        duty: String,
        to: String,
        /// Idempotency key of the command; a new one by default
        #[arg(long)]
        id: Option<u64>,
    },
    /// Revokes a duty from its owner, which need not be reachable. Exit codes as hand-over
    Depose {
        /// Fleet file or address of any member
        by: String,
        duty: String,
        #[arg(long)]
        id: Option<u64>,
    },
    /// Shows or replaces the voters, which store the owners of duties
    Voters {
        #[command(subcommand)]
        command: VotersCommand,
    },
    /// Allows a member that was shut out to join again
    LetIn {
        /// Fleet file or address of any other member
        by: String,
        name: String,
    },
}

#[derive(Subcommand)]
pub(super) enum VotersCommand {
    /// Lists the voters, with the state that each reports of itself. Exit codes as owners
    Show {
        /// Fleet file or address of a member
        member: String,
        #[arg(long)]
        json: bool,
    },
    /// Replaces a voter by another member without interrupting the fleet. Exit codes as hand-over
    Replace {
        /// Fleet file or address of any member
        by: String,
        old: String,
        new: String,
        #[arg(long)]
        id: Option<u64>,
    },
}
