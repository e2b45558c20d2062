//! `lynxstair-controller`: one controller of the system.
#![deny(unsafe_code)]

use std::process::ExitCode;

use lynxstair_controller::startup;
use lynxstair_service::{Program, run_program};

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
    run_program(&PROGRAM, startup::run)
}
