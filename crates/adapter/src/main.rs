//! `lynxstair-adapter`: hosts gatekeeper instances behind the bench's wire, on standard input and output.
//!
//! Batches of records come in as frames and are answered by one frame each. A frame that can't be read ends the process
//! with one line that says why.
#![forbid(unsafe_code)]

mod error;
mod frame;
mod host;
mod reply;

use std::io::{self, BufReader, Write};
use std::process::ExitCode;

use error::AdapterError;
use frame::read_frame;
use host::Host;

/// The buffer of the input, in bytes.
const INPUT_BUFFER: usize = 1 << 16;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lynxstair-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), AdapterError> {
    let mut input = BufReader::with_capacity(INPUT_BUFFER, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut frame = Vec::new();
    let mut host = Host::default();
    while read_frame(&mut input, &mut frame)? {
        let reply = host.handle_batch(&frame)?;
        output.write_all(&reply).and_then(|()| output.flush()).map_err(AdapterError::Output)?;
    }
    Ok(())
}
