//! Fault injection for trials; off in production.

use std::io;
use std::sync::Arc;

use lynxstair_record_log::WriteFault;
use nix::sys::prctl::set_pdeathsig;
use nix::sys::signal::Signal;
use nix::unistd::getppid;

use crate::config::Config;
use crate::error::StartError;

/// Makes the kernel kill this process when `parent` ends, so that a killed trial leaves no process running.
pub(crate) fn end_with_parent(parent: i32) -> Result<(), StartError> {
    set_pdeathsig(Signal::SIGKILL).map_err(StartError::ParentDeathSignal)?;
    // If the parent ended before the call above, this process has another parent by now and gets no signal.
    if getppid().as_raw() != parent {
        return Err(StartError::ParentEnded);
    }
    Ok(())
}

/// Returns a fault that fails writes as on a full disk while the configured file exists.
pub(crate) fn write_fault(config: &Config) -> Option<WriteFault> {
    let path = config.trial.disk_full_while.clone()?;
    Some(Arc::new(move || match path.exists() {
        true => Err(io::ErrorKind::StorageFull.into()),
        false => Ok(()),
    }))
}
