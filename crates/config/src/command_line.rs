//! The command line that the system's programs share.

use std::process::ExitCode;

use crate::settings::{SETTINGS_VARIABLE, Settings};

/// The command line or the settings file is bad.
const EXIT_USAGE: u8 = 2;

/// A program, as its command line describes it.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Its name.
    pub name: &'static str,
    /// The text of `--help`.
    pub help: &'static str,
    /// Its version.
    pub version: &'static str,
}

/// What the command line asks for.
pub enum Invocation {
    /// Serve, by these settings.
    Serve(Box<Settings>),
    /// End with this code; everything has been printed.
    Exit(ExitCode),
}

enum Command {
    Serve,
    Check,
}

impl Program {
    /// Reads the command line and the settings file, and prints what is asked for or wrong.
    pub fn parse_arguments(&self) -> Invocation {
        let mut arguments = pico_args::Arguments::from_env();
        if arguments.contains(["-h", "--help"]) {
            println!("{}", self.help);
            return Invocation::Exit(ExitCode::SUCCESS);
        }
        if arguments.contains(["-V", "--version"]) {
            println!("{} {}", self.name, self.version);
            return Invocation::Exit(ExitCode::SUCCESS);
        }
        let (command, file) = match parse_command(arguments) {
            Ok(command) => command,
            Err(why) => return self.usage_error(&why),
        };
        match (command, Settings::from_file(&file)) {
            (_, Err(error)) => self.usage_error(&error.to_string()),
            (Command::Serve, Ok(settings)) => Invocation::Serve(Box::new(settings)),
            (Command::Check, Ok(_)) => {
                println!("{file}: good");
                Invocation::Exit(ExitCode::SUCCESS)
            }
        }
    }

    fn usage_error(&self, why: &str) -> Invocation {
        eprintln!("{}: {why}", self.name);
        Invocation::Exit(ExitCode::from(EXIT_USAGE))
    }
}

/// The command, and the settings file that it is for. The error is what to print.
fn parse_command(mut arguments: pico_args::Arguments) -> Result<(Command, String), String> {
    let command = match arguments.subcommand().map_err(|e| e.to_string())? {
        None => {
            let file = std::env::var(SETTINGS_VARIABLE)
                .map_err(|_| format!("{SETTINGS_VARIABLE} names no settings file"))?;
            (Command::Serve, file)
        }
        Some(name) if name == "check" => {
            let file = arguments.free_from_str().map_err(|_| "check: a file is wanted".to_string())?;
            (Command::Check, file)
        }
        Some(name) => return Err(format!("{name}: no such command; --help tells which there are")),
    };
    match arguments.finish().first() {
        Some(surplus) => Err(format!("{}: not understood", surplus.to_string_lossy())),
        None => Ok(command),
    }
}
