//! Log output of the system's programs: one JSON object a line on standard error.

use std::io::Write;

use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;
use logforth::record::Record;
use logforth::{Append, Diagnostic, Error, Layout};

/// Warnings from all packages, informational lines from the system's own packages only.
const FILTER: &str = "warn,lynxstair=info";

/// Appends to standard error. Write errors, for example on a full disk, are ignored and the line is lost.
#[derive(Debug)]
struct LossyStderr(JsonLayout);

impl Append for LossyStderr {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut line = self.0.format(record, diagnostics)?;
        line.push(b'\n');
        let _ = std::io::stderr().write_all(&line);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

/// Sends log lines, including those of `lynxstair-net`, to standard error. A second call in the same
/// process has no effect.
pub(crate) fn init_json_logging() {
    let filter = RustLogFilterBuilder::from_spec(FILTER).build();
    let stderr = LossyStderr(JsonLayout::default());
    let _ = logforth::starter_log::builder().dispatch(|d| d.filter(filter).append(stderr)).try_apply();
    lynxstair_net::log::redirect(|line| log::warn!("{line}"));
}
