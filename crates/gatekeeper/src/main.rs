//! `lynxstair-gatekeeper`: the gatekeeper on sockets.
//!
//! Modules name each other downward only:
//!
//! | layer | modules | what they know |
//! | --- | --- | --- |
//! | start and end | `startup` | ties everything below together |
//! | time | `gatekeeper` | all parts; has them do what is due |
//! | requests | `client_handler`, `forwarder` | decisions, clients, workers |
//! | clients | `client_listener`, `client_registry`, `client_connection`, `request_parser`, `open_ids` | their own state |
//! | workers | `worker_pool`, `worker_connection` | connections; whose attempt each carries |
//! | peers | `discovery`, `counter` | their own connections; whom they report to is handed in |
//! | ground | `config`, `error`, `lifecycle` | nothing of the others |
//!
//! Decisions are made in `lynxstair::policy`, behind `lynxstair-dispatch`; this package does the I/O.
#![deny(unsafe_code)]

mod client_connection;
mod client_handler;
mod client_listener;
mod client_registry;
mod config;
mod counter;
mod discovery;
mod error;
mod forwarder;
mod gatekeeper;
mod lifecycle;
mod open_ids;
mod request_parser;
mod startup;
mod worker_connection;
mod worker_pool;

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
    match startup::run(args.fleet.as_deref()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lynxstair-gatekeeper: {error}");
            ExitCode::FAILURE
        }
    }
}
