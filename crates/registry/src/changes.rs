//! The updates that a subscriber gets: the records that changed since its cursor.

use serde::{Deserialize, Serialize};

use crate::record::BackendRecord;
use crate::ProcessId;

/// How far a subscriber has read the changes of one incarnation of a registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// The incarnation of the registry that numbered the changes.
    pub incarnation: ProcessId,
    /// The number of the newest change that the subscriber has read.
    pub number: u64,
}

/// The records that changed since a cursor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// The cursor to send with the next request.
    pub cursor: Cursor,
    /// Whether these are all records, not only those since the cursor.
    #[serde(rename = "whole")]
    pub full: bool,
    /// Whether a backend that the registry does not know is absent. False while the registry has just
    /// started, was frozen, or is isolated.
    pub states_absence: bool,
    /// The records that changed.
    pub records: Vec<BackendRecord>,
}

impl Changes {
    /// Whether there is nothing to apply. A full update without records is not empty: it states absence.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && !self.full
    }
}
