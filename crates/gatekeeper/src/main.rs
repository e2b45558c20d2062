//! `lynxstair-gatekeeper`: the gatekeeper program.
//!
//! Decisions on requests are made by `lynxstair::policy`, called through `lynxstair-dispatch`. This package
//! does the I/O.
//!
//! | layer | modules | responsibility |
//! | --- | --- | --- |
//! | process | `startup` | builds the components, handles signals |
//! | timer | `gatekeeper` | executes due work, shuts down |
//! | requests | `client_handler`, `forwarder` | serve clients, send attempts to workers |
//! | clients | `client_listener`, `client_registry` | accept and track connections |
//! | | `client_connection`, `request_parser`, `open_ids` | read requests, write replies |
//! | workers | `worker_pool`, `worker_connection` | connections to workers |
//! | peers | `discovery`, `counter` | clients of discovery and of the shared counter |
//! | base | `config`, `error`, `lifecycle` | configuration, errors, phases of the process |
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

/// Admission gateway for services sold by plan. Reads its configuration from the file named by RELAY_CONFIG.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// Join the fleet described in this file. Without it, no fleet node is started.
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
