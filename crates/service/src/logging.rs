//! Log lines of the system's programs: one JSON object a line on standard error.

use std::io::Write;

use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;
use logforth::record::Record;
use logforth::{Append, Diagnostic, Error, Layout};

/// Libraries log warnings, the system's own packages what an operator needs as well.
const FILTER: &str = "warn,lynxstair=info";

/// Standard error. A line that can't be written, on a full disk perhaps, is lost and ends nothing.
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

/// From here on log lines go to standard error, those of `lynxstair-net` too. A second call in one process (tests) changes
/// nothing.
pub(crate) fn init_json_logging() {
    let filter = RustLogFilterBuilder::from_spec(FILTER).build();
    let to = LossyStderr(JsonLayout::default());
    let _ = logforth::starter_log::builder().dispatch(|d| d.filter(filter).append(to)).try_apply();
    lynxstair_net::log::redirect(|line| log::warn!("{line}"));
}
