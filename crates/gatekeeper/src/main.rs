//! The gatekeeper on sockets.
#![deny(unsafe_code)]

mod clients;
mod config;
mod counter;
mod discovery;
mod program;
mod workers;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;

/// An admission gateway for services sold by plan. Its configuration is the file that RELAY_CONFIG names.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// Take part in a fleet, as this file says. Without it nothing of that runs.
    #[arg(long, value_name = "FILE")]
    fleet: Option<PathBuf>,
}

fn main() -> ExitCode {
    let args = Args::parse();
    match program::Program::start(args.fleet.as_deref()).and_then(program::Program::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("lynxstair-gatekeeper: {why}");
            ExitCode::FAILURE
        }
    }
}
