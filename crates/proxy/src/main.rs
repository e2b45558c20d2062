//! The pass: one gatekeeper of the system's road.
#![deny(unsafe_code)]

use std::process::ExitCode;

use lynxstair_config::command_line::{Asked, ask, log_json};
use lynxstair_config::settings::Settings;
use lynxstair_proxy::road;

const ABOUT: &str = "lynxstair-proxy: a gatekeeper of the road. It takes clients' requests to workers.

  lynxstair-proxy               serves, as the settings file says that LYNXSTAIR_BOOT names
  lynxstair-proxy check FILE    reads a settings file and says what is wrong with it
  lynxstair-proxy --help | --version

Exit codes: 0 ended when told to, or the file is good; 1 it can't serve; 2 the command line or the file is bad.";

fn main() -> ExitCode {
    let settings: Settings = match ask("lynxstair-proxy", ABOUT, env!("CARGO_PKG_VERSION")) {
        Asked::Serve(settings) => *settings,
        Asked::End(code) => return code,
    };
    log_json();
    match road::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("lynxstair-proxy: {why}");
            ExitCode::FAILURE
        }
    }
}
