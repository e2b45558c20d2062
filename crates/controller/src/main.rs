//! The hut: one core of the system.
#![deny(unsafe_code)]

mod agreement;
mod aside;
mod control;
mod directory;
mod disk;
mod feed;
mod hut;
mod inner;
mod lives;
mod orders;
mod peers;
mod store;

use std::process::ExitCode;

use lynxstair_config::command_line::{Asked, ask, log_json};
use lynxstair_config::settings::Settings;

const ABOUT: &str = "lynxstair-controller: a core of the system. It keeps the book, the register, the purse and the board.

  lynxstair-controller               serves, as the settings file says that LYNXSTAIR_BOOT names
  lynxstair-controller check FILE    reads a settings file and says what is wrong with it
  lynxstair-controller --help | --version

Exit codes: 0 ended when told to, or the file is good; 1 it can't serve; 2 the command line or the file is bad.";

fn main() -> ExitCode {
    let settings: Settings = match ask("lynxstair-controller", ABOUT, env!("CARGO_PKG_VERSION")) {
        Asked::Serve(settings) => *settings,
        Asked::End(code) => return code,
    };
    log_json();
    match hut::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("lynxstair-controller: {why}");
            ExitCode::FAILURE
        }
    }
}
