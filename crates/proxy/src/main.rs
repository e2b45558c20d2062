//! `lynxstair-proxy`: one proxy of the system.
#![deny(unsafe_code)]

use std::process::ExitCode;

use lynxstair_proxy::startup;
use lynxstair_service::{Program, run_program};

const PROGRAM: Program = Program {
    name: "lynxstair-proxy",
    version: env!("CARGO_PKG_VERSION"),
    help: "lynxstair-proxy: the data plane. It admits clients' requests and forwards them to workers.

  lynxstair-proxy               serves, by the settings file that LYNXSTAIR_BOOT names
  lynxstair-proxy check FILE    reads a settings file and says what is wrong with it
  lynxstair-proxy --help | --version

Exit codes: 0 ended when told to, or the file is good; 1 it can't serve; 2 the command line or the file is bad.",
};

fn main() -> ExitCode {
    run_program(&PROGRAM, startup::run)
}
