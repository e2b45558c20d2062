//! The command line that the system's programs share.

use std::fmt;
use std::process::ExitCode;

use lynxstair_config::settings::{SETTINGS_VARIABLE, Settings};

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
pub(crate) enum Invocation {
    /// Serve, by these settings.
    Serve(Box<Settings>),
    /// End with this code; everything has been printed.
    Exit(ExitCode),
}

enum Command {
    Serve,
    Check,
}

/// What is wrong with a command line.
enum UsageError {
    /// The environment names no settings file.
    NoSettingsFile,
    /// `check` without a file.
    NoFileToCheck,
    UnknownCommand(String),
    SurplusArgument(String),
    Malformed(pico_args::Error),
}

impl fmt::Display for UsageError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            UsageError::NoSettingsFile => write!(f, "{SETTINGS_VARIABLE} names no settings file"),
            UsageError::NoFileToCheck => f.write_str("check: a file is wanted"),
            UsageError::UnknownCommand(name) => {
                write!(f, "{name}: no such command; --help tells which there are")
            }
            UsageError::SurplusArgument(argument) => write!(f, "{argument}: not understood"),
            UsageError::Malformed(source) => source.fmt(f),
        }
    }
}

impl Program {
    /// Reads the command line and the settings file, and prints what is asked for or wrong.
    pub(crate) fn parse_arguments(&self) -> Invocation {
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
            Err(error) => return self.usage_error(&error),
        };
        match (command, Settings::from_file(&file)) {
            (_, Err(error)) => self.usage_error(&error),
            (Command::Serve, Ok(settings)) => Invocation::Serve(Box::new(settings)),
            (Command::Check, Ok(_)) => {
                println!("{file}: good");
                Invocation::Exit(ExitCode::SUCCESS)
            }
        }
    }

    fn usage_error(&self, error: &dyn fmt::Display) -> Invocation {
        eprintln!("{}: {error}", self.name);
        Invocation::Exit(ExitCode::from(EXIT_USAGE))
    }
}

/// The command, and the settings file that it is for.
fn parse_command(mut arguments: pico_args::Arguments) -> Result<(Command, String), UsageError> {
    let command = match arguments.subcommand().map_err(UsageError::Malformed)? {
        None => {
            let file = std::env::var(SETTINGS_VARIABLE).map_err(|_| UsageError::NoSettingsFile)?;
            (Command::Serve, file)
        }
        Some(name) if name == "check" => {
            let file = arguments.free_from_str().map_err(|_| UsageError::NoFileToCheck)?;
            (Command::Check, file)
        }
        Some(name) => return Err(UsageError::UnknownCommand(name)),
    };
    match arguments.finish().first() {
        Some(surplus) => Err(UsageError::SurplusArgument(surplus.to_string_lossy().into_owned())),
        None => Ok(command),
    }
}
