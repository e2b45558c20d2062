//! The command line of `lynxstair fleet`.

use clap::Subcommand;

#[derive(clap::Args)]
pub struct Args {
    #[command(subcommand)]
    pub(super) command: Command,
}

#[derive(Subcommand)]
pub(super) enum Command {
    /// Each member as seen by each member that could be asked.
    ///
    /// Exit code 0: all could be asked and see the same; 1: some could not, or see it otherwise; 2: nobody
    /// could be asked.
    Status {
        /// A fleet file, or the address of a member
        member: String,
        #[arg(long)]
        json: bool,
    },
    /// Tells what changes, until it is interrupted.
    ///
    /// Exit code 0; 2: nobody could be asked at first.
    Watch {
        /// A fleet file, or the address of a member
        member: String,
        #[arg(long)]
        json: bool,
        /// Ends after so many seconds
        #[arg(long, value_name = "SECONDS")]
        r#for: Option<f64>,
    },
    /// Has a member tell the others that it goes; it serves on.
    ///
    /// Exit code 0: it does; 2: it could not be asked.
    Leave {
        /// Its fleet file or address
        member: String,
    },
    /// Takes a member out until it is let in again
    ShutOut {
        /// A fleet file or address of any other member
        by: String,
        /// Who is taken out
        name: String,
        /// Told to it and to whoever asks
        #[arg(long)]
        why: String,
    },
    /// Who owns each duty and since when, as a majority of the voters has it.
    ///
    /// Exit code 0: a majority was reached; 1: unknown; 2: nobody could be asked.
    Owners {
        /// A fleet file, or the address of a member
        member: String,
        #[arg(long)]
        json: bool,
    },
    /// Has the owner of a duty give it up to another member.
    ///
    /// Exit code 0: done; 1: unknown, ask again by the same --id; 2: no, or nobody could be asked.
    HandOver {
        /// A fleet file or address of any member
        by: String,
        duty: String,
        to: String,
        /// Nothing happens twice by one id; missing: a new one
        #[arg(long)]
        id: Option<u64>,
    },
    /// Takes a duty from its owner, whether it can be reached or not. Exit codes as hand-over.
    Depose {
        /// A fleet file or address of any member
        by: String,
        duty: String,
        #[arg(long)]
        id: Option<u64>,
    },
    /// Those who keep the record of owners
    Voters {
        #[command(subcommand)]
        command: VotersCommand,
    },
    /// Lets a member in again
    LetIn {
        /// A fleet file or address of any other member
        by: String,
        name: String,
    },
}

#[derive(Subcommand)]
pub(super) enum VotersCommand {
    /// Who they are, and what each says of itself. Exit codes as owners
    Show {
        /// A fleet file, or the address of a member
        member: String,
        #[arg(long)]
        json: bool,
    },
    /// Puts a member in the place of a voter; the fleet goes on meanwhile. Exit codes as hand-over
    Replace {
        /// A fleet file or address of any member
        by: String,
        old: String,
        new: String,
        #[arg(long)]
        id: Option<u64>,
    },
}
