//! `lynxstair-controller`: one controller of the system.
#![deny(unsafe_code)]

use std::process::ExitCode;

use lynxstair_config::command_line::{Invocation, Program};
use lynxstair_config::logging::init_json_logging;
use lynxstair_controller::startup;

const PROGRAM: Program = Program {
    name: "lynxstair-controller",
    version: env!("CARGO_PKG_VERSION"),
    help: "lynxstair-controller: the control plane. It keeps the configuration, the worker instances, the quotas and the
directory.

  lynxstair-controller               serves, by the settings file that LYNXSTAIR_BOOT names
  lynxstair-controller check FILE    reads a settings file and says what is wrong with it
  lynxstair-controller --help | --version

Exit codes: 0 ended when told to, or the file is good; 1 it can't serve; 2 the command line or the file is bad.",
};

fn main() -> ExitCode {
    let settings = match PROGRAM.parse_arguments() {
        Invocation::Serve(settings) => *settings,
        Invocation::Exit(code) => return code,
    };
    init_json_logging();
    match startup::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error}", PROGRAM.name);
            ExitCode::FAILURE
        }
    }
}
