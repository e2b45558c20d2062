//! Command line of the system's programs.

use std::fmt;
use std::process::ExitCode;

use lynxstair_config::settings::{SETTINGS_VARIABLE, Settings};

/// Exit code for an invalid command line or settings file.
const EXIT_USAGE: u8 = 2;

/// Name and texts of a program, for its command line.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Name of the program.
    pub name: &'static str,
    /// Output of `--help`.
    pub help: &'static str,
    /// Version that `--version` prints.
    pub version: &'static str,
}

/// Action that the command line requests.
pub(crate) enum Invocation {
    /// Serve with these settings.
    Serve(Box<Settings>),
    /// Exit with this code; all output has been printed.
    Exit(ExitCode),
}

enum Command {
    Serve,
    Check,
}

/// Error in a command line.
enum UsageError {
    /// The environment variable for the settings file is missing or not valid Unicode.
    NoSettingsFile,
    /// `check` was called without a file.
    NoFileToCheck,
    UnknownCommand(String),
    UnexpectedArgument(String),
    Malformed(pico_args::Error),
}

impl fmt::Display for UsageError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            UsageError::NoSettingsFile => write!(f, "{SETTINGS_VARIABLE} must name the settings file"),
            UsageError::NoFileToCheck => f.write_str("check: expected a settings file"),
            UsageError::UnknownCommand(name) => {
                write!(f, "{name}: unknown command; see --help")
            }
            UsageError::UnexpectedArgument(argument) => write!(f, "{argument}: unexpected argument"),
            UsageError::Malformed(source) => source.fmt(f),
        }
    }
}

impl Program {
    /// Parses the command line and reads the settings file. Prints the requested output or the error.
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
                println!("{file}: valid");
                Invocation::Exit(ExitCode::SUCCESS)
            }
        }
    }

    fn usage_error(&self, error: &dyn fmt::Display) -> Invocation {
        eprintln!("{}: {error}", self.name);
        Invocation::Exit(ExitCode::from(EXIT_USAGE))
    }
}

/// Returns the command and the path of its settings file.
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
        Some(argument) => Err(UsageError::UnexpectedArgument(argument.to_string_lossy().into_owned())),
        None => Ok(command),
    }
}
