//! The pass: one gatekeeper of the system's road.
#![deny(unsafe_code)]

use std::process::ExitCode;

use lynxstair_pass::road;
use lynxstair_trailbook::program::{Asked, ask, log_json};
use lynxstair_trailbook::settings::Settings;

const ABOUT: &str = "lynxstair-pass: a gatekeeper of the road. It takes clients' requests to workers.

  lynxstair-pass               serves, as the settings file says that LYNXSTAIR_BOOT names
  lynxstair-pass check FILE    reads a settings file and says what is wrong with it
  lynxstair-pass --help | --version

Exit codes: 0 ended when told to, or the file is good; 1 it can't serve; 2 the command line or the file is bad.";

fn main() -> ExitCode {
    let settings: Settings = match ask("lynxstair-pass", ABOUT, env!("CARGO_PKG_VERSION")) {
        Asked::Serve(settings) => *settings,
        Asked::End(code) => return code,
    };
    log_json();
    match road::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("lynxstair-pass: {why}");
            ExitCode::FAILURE
        }
    }
}
