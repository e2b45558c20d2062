//! Locking that outlives a panic elsewhere.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks, also where a thread panicked while it held the lock: every holder here leaves the data whole.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
