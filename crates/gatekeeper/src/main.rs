//! The gatekeeper on sockets.
#![deny(unsafe_code)]

mod clients;
mod config;
mod conn;
mod counter;
mod desk;
mod discovery;
mod http;
mod program;
mod workers;

use std::process::ExitCode;

fn main() -> ExitCode {
    match program::Program::start().and_then(program::Program::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("lynxstair-gatekeeper: {why}");
            ExitCode::FAILURE
        }
    }
}
