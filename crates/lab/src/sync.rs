//! Locks that outlive a panic of their holder: what a run recorded until then still counts.

use std::sync::{Mutex, MutexGuard, PoisonError};

pub(crate) fn lock<T>(held: &Mutex<T>) -> MutexGuard<'_, T> {
    held.lock().unwrap_or_else(PoisonError::into_inner)
}
