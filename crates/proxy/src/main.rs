//! The `lynxstair-proxy` program.
#![deny(unsafe_code)]

use std::process::ExitCode;

use lynxstair_proxy::startup;
use lynxstair_service::{Program, run_program};

const PROGRAM: Program = Program {
    name: "lynxstair-proxy",
    version: env!("CARGO_PKG_VERSION"),
    help: "lynxstair-proxy: the data plane. It admits client requests and forwards them to workers.

  lynxstair-proxy               runs the proxy with the settings file that LYNXSTAIR_BOOT names
  lynxstair-proxy check FILE    checks a settings file and reports any error
  lynxstair-proxy --help | --version

Exit codes: 0 normal exit or valid file; 1 failure to start; 2 invalid command line or settings file.",
};

fn main() -> ExitCode {
    run_program(&PROGRAM, startup::run)
}
