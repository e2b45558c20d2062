//! Shared process life cycle of the system's programs: command line, log format, signals and exit codes.
//!
//! The `main` function of a program calls [`run_program`] with a function that serves until
//! [`Signals::run_until_shutdown`] returns.
#![forbid(unsafe_code)]

mod command_line;
mod error;
mod logging;
mod signals;

use std::process::ExitCode;

use lynxstair_config::settings::Settings;

pub use command_line::Program;
pub use error::StartError;
pub use signals::Signals;

use command_line::Invocation;

/// Runs a program: parses the command line, reads the settings, serves, and returns the exit code.
pub fn run_program(program: &Program, serve: impl FnOnce(Settings) -> Result<(), StartError>) -> ExitCode {
    let settings = match program.parse_arguments() {
        Invocation::Serve(settings) => *settings,
        Invocation::Exit(code) => return code,
    };
    logging::init_json_logging();
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error}", program.name);
            ExitCode::FAILURE
        }
    }
}

/// Returns the 64-bit FNV-1a hash of a text, starting from `offset`. The hash is the same in every build.
pub fn fnv1a(offset: u64, text: &str) -> u64 {
    const PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(offset, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}

/// Standard 64-bit offset basis of FNV-1a.
pub const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
