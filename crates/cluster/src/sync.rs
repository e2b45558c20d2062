//! Locking that ignores mutex poisoning.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also if it is poisoned: every critical section in this crate keeps the data consistent.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
