//! What the system's programs do alike when they begin: command line, settings file, logs.

use std::io::Write;
use std::process::ExitCode;

use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;
use logforth::record::Record;
use logforth::{Append, Diagnostic, Error, Layout};

use crate::settings::{Settings, VARIABLE};

/// What the command line asks for.
pub enum Asked {
    Serve(Box<Settings>),
    /// Nothing more: it was told what it asked, or what is wrong with it.
    End(ExitCode),
}

/// Reads the command line and the settings file.
pub fn ask(name: &str, about: &str, version: &str) -> Asked {
    let bad = |what: String| {
        eprintln!("{name}: {what}");
        Asked::End(ExitCode::from(2))
    };
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        println!("{about}");
        return Asked::End(ExitCode::SUCCESS);
    }
    if arguments.contains(["-V", "--version"]) {
        println!("{name} {version}");
        return Asked::End(ExitCode::SUCCESS);
    }
    let (file, is_check) = match arguments.subcommand() {
        Ok(None) => match std::env::var(VARIABLE) {
            Ok(file) => (file, false),
            Err(_) => return bad(format!("{VARIABLE} names no settings file")),
        },
        Ok(Some(word)) if word == "check" => match arguments.free_from_str::<String>() {
            Ok(file) => (file, true),
            Err(_) => return bad("check: a file is wanted".to_string()),
        },
        Ok(Some(word)) => return bad(format!("{word}: no such command; --help tells which there are")),
        Err(e) => return bad(e.to_string()),
    };
    if let Some(more) = arguments.finish().first() {
        return bad(format!("{}: not understood", more.to_string_lossy()));
    }
    match Settings::from_file(&file) {
        Err(what) => bad(what),
        Ok(_) if is_check => {
            println!("{file}: good");
            Asked::End(ExitCode::SUCCESS)
        }
        Ok(settings) => Asked::Serve(Box::new(settings)),
    }
}

/// Standard error. A line that can't be written, on a full disk perhaps, is lost and ends nothing.
#[derive(Debug)]
struct Lossy(JsonLayout);

impl Append for Lossy {
    fn append(&self, record: &Record, more: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut line = self.0.format(record, more)?;
        line.push(b'\n');
        let _ = std::io::stderr().write_all(&line);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

/// From here on log lines go to standard error, each a JSON object.
pub fn log_json() {
    // Libraries say only what is wrong.
    let filter = RustLogFilterBuilder::from_spec("warn,lynxstair=info").build();
    let to = Lossy(JsonLayout::default());
    // A second call in one process (tests) changes nothing.
    let _ = logforth::starter_log::builder().dispatch(|d| d.filter(filter).append(to)).try_apply();
}
