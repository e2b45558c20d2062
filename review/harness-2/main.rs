//! The cases of the second review that are scripts. `cases NAME FOLDER RECORD`; with `TROUBLE=0` in the
//! environment the same without the disruption. Exit code 1: the rule was broken, 0: it held, 2: the case
//! could not run.

mod behind;
mod directory;
mod grace;
mod home;
mod tenants;
mod upload;
mod world;

use std::process::ExitCode;

use world::World;

/// Result of a case: `Ok(true)` if the rule was broken.
pub type Outcome = Result<bool, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder, record] = &arguments[..] else { return ExitCode::from(2) };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let world = match World::new(folder, record) {
        Ok(world) => world,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    let log = world.record.clone();
    log.line(format!("case {name}, {} the disruption", if has_trouble { "with" } else { "without" }));
    let outcome = match name.as_str() {
        "upload" => upload::run(world, has_trouble),
        "grace" => grace::run(world, has_trouble),
        "tenants" => tenants::run(world, has_trouble),
        "home" => home::run(world, has_trouble),
        "directory" => directory::run(world, has_trouble),
        "behind" => behind::run(world, has_trouble),
        _ => Err("unknown case".to_string()),
    };
    log.line(match &outcome {
        Ok(true) => "RESULT: the rule was broken".to_string(),
        Ok(false) => "RESULT: the rule held".to_string(),
        Err(error) => format!("RESULT: the case could not run: {error}"),
    });
    match outcome {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
