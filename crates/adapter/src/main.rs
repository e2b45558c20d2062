//! `lynxstair-adapter`: hosts gatekeeper instances for a simulator, on standard input and output.
//!
//! Each frame contains a batch of records and is answered by one frame. A malformed frame ends the process
//! with a one-line error message.
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

/// Size of the input buffer, in bytes.
const INPUT_BUFFER_LEN: usize = 1 << 16;

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
    let mut input = BufReader::with_capacity(INPUT_BUFFER_LEN, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut frame = Vec::new();
    let mut host = Host::default();
    while read_frame(&mut input, &mut frame)? {
        let reply = host.handle_batch(&frame)?;
        output.write_all(&reply).and_then(|()| output.flush()).map_err(AdapterError::Output)?;
    }
    Ok(())
}
