//! The `lynxstair-controller` program.
#![deny(unsafe_code)]

use std::process::ExitCode;

use lynxstair_controller::startup;
use lynxstair_service::{Program, run_program};

const PROGRAM: Program = Program {
    name: "lynxstair-controller",
    version: env!("CARGO_PKG_VERSION"),
    help: "lynxstair-controller: the control plane. It manages the configuration, the worker instances,
the quotas and the directory.

  lynxstair-controller               runs the controller with the settings file that LYNXSTAIR_BOOT names
  lynxstair-controller check FILE    checks a settings file and reports any error
  lynxstair-controller --help | --version

Exit codes: 0 normal exit or valid file; 1 failure to start; 2 invalid command line or settings file.",
};

fn main() -> ExitCode {
    run_program(&PROGRAM, startup::run)
}
