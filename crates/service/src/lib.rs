//! What the system's programs do alike from start to end: command line, log format, signals, exit codes. A program's `main`
//! hands [`run_program`] what it serves with; that returns once [`Signals::run_until_shutdown`] has.
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

/// The whole of a program: reads the command line and the settings, serves, and turns the result into an exit code.
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

/// The FNV-1a hash of a text, from its usual offset or from another one; the same in every build.
pub fn fnv1a(offset: u64, text: &str) -> u64 {
    const PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(offset, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}

/// The usual offset of FNV-1a.
pub const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
