//! The `lynxstair` command. `lynxstair fleet` asks the members of a fleet; `lynxstair trial` plays trials;
//! `lynxstair experiment` measures on the virtual clock.
#![forbid(unsafe_code)]

mod ask;
mod experiment;
mod fleet;
mod owners;
mod soak;
mod trial;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Operates a fleet of lynxstair gatekeepers.
#[derive(Parser)]
#[command(version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Who is there, as each member sees it
    Fleet(fleet::Args),
    /// Several processes with faults between them
    Trial(trial::Args),
    /// The system's own programs under signals, restarts and changes that overlap
    Soak(soak::Args),
    /// The project's own code on a virtual clock, at sizes that sockets don't reach
    Experiment(experiment::Args),
}

/// What the exit codes mean: 0 all is well, 1 something is not, 2 it could not be found out.
fn main() -> ExitCode {
    let done = match Args::parse().command {
        Command::Fleet(args) => fleet::run(args),
        Command::Trial(args) => trial::run(args),
        Command::Soak(args) => soak::run(&args),
        Command::Experiment(args) => experiment::run(args),
    };
    match done {
        Ok(code) => ExitCode::from(code),
        Err(e) => {
            eprintln!("lynxstair: {e:#}");
            ExitCode::from(2)
        }
    }
}
