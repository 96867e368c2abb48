//! Locks that outlive a panic of another task.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks; what a panicked task left is taken as it is.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
