//! What trials switch on in a process; never in service.

use std::io;
use std::sync::Arc;

use lynxstair_record_log::WriteFault;
use nix::sys::prctl::set_pdeathsig;
use nix::sys::signal::Signal;
use nix::unistd::getppid;

use crate::config::Config;
use crate::error::StartError;

/// Has the kernel kill this process when `parent`, which started it, ends: a killed trial leaves nothing running.
pub(crate) fn end_with_parent(parent: i32) -> Result<(), StartError> {
    set_pdeathsig(Signal::SIGKILL).map_err(StartError::ParentDeathSignal)?;
    // Where the parent ended before that call, another process is the parent by now.
    if getppid().as_raw() != parent {
        return Err(StartError::ParentEnded);
    }
    Ok(())
}

/// A disk that is full while the file of the trial's settings exists.
pub(crate) fn write_fault(config: &Config) -> Option<WriteFault> {
    let path = config.trial.disk_full_while.clone()?;
    Some(Arc::new(move || match path.exists() {
        true => Err(io::ErrorKind::StorageFull.into()),
        false => Ok(()),
    }))
}
