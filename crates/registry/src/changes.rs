//! What a subscriber is told: the records that changed since its cursor.

use serde::{Deserialize, Serialize};

use crate::record::BackendRecord;
use crate::ProcessId;

/// How far a subscriber has read, in which incarnation of a registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// The registry that gave the number.
    pub incarnation: ProcessId,
    /// The newest change that was told.
    pub number: u64,
}

/// The records that changed since a cursor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Where to read on.
    pub cursor: Cursor,
    /// Whether these are all records, not only those since the cursor.
    pub whole: bool,
    /// Whether the registry has been up, and undisturbed, for long enough to speak about absence.
    pub settled: bool,
    /// The records.
    pub records: Vec<BackendRecord>,
}

impl Changes {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && !self.whole
    }
}
