//! The `lynxstair` command: queries and operates a fleet of gatekeepers, and runs fault-injection trials,
//! soak tests and simulations.
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
    /// Shows and changes the members, duty owners and voters of a fleet
    Fleet(fleet::Args),
    /// Runs fault-injection trials with several gatekeepers
    Trial(trial::Args),
    /// Runs controllers and proxies under overlapping signals, restarts and configuration changes
    Soak(soak::Args),
    /// Runs simulations on a virtual clock and prints their results
    Experiment(experiment::Args),
}

/// Exit codes: 0 if the check or command succeeded, 1 if a check failed or the outcome is unknown, 2 on an
/// error.
fn main() -> ExitCode {
    let result = match Args::parse().command {
        Command::Fleet(args) => fleet::run(args),
        Command::Trial(args) => trial::run(args),
        Command::Soak(args) => soak::run(&args),
        Command::Experiment(args) => experiment::run(args),
    };
    match result {
        Ok(code) => ExitCode::from(code),
        Err(e) => {
            eprintln!("lynxstair: {e:#}");
            ExitCode::from(2)
        }
    }
}
