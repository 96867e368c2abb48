//! The records of the departures' log.
//!
//! Variants are stored by name, fields by position: neither may change, or files of earlier versions can't be read.

use crankpick_control::RecordError;
use crankpick_registry::BackendDeparture;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::disk::StoredRecord;
use crate::disk_message::WriteResult;
use crate::error::{ControlPlaneError, RecordSnafu};
use crate::event::Event;

/// One record of the departures' log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DepartureRecord {
    /// A backend has departed.
    Departed(BackendDeparture),
    /// As a member of the view with this epoch, the process has stored every departure that it acknowledged, and before
    /// that it read those of enough other members.
    Complete {
        /// The epoch of the view.
        epoch: u64,
    },
}

impl StoredRecord for DepartureRecord {
    fn encode(&self) -> Result<Vec<u8>, ControlPlaneError> {
        rmp_serde::to_vec(self).map_err(|source| RecordError::Encode { source }).context(RecordSnafu)
    }

    fn decode(bytes: &[u8]) -> Result<Self, ControlPlaneError> {
        rmp_serde::from_slice(bytes).map_err(|source| RecordError::Decode { source }).context(RecordSnafu)
    }

    fn write_finished(result: WriteResult) -> Event {
        Event::DepartureWriteFinished(result)
    }
}

/// What the departures' log held at the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredDepartures {
    /// The departures, oldest first. A backend that drained and signed off has two.
    pub departures: Vec<BackendDeparture>,
    /// The highest epoch for which the log is complete; `None` if it never was.
    pub complete_epoch: Option<u64>,
}

impl StoredDepartures {
    /// Collects the records of a log.
    pub fn from_records(records: Vec<DepartureRecord>) -> StoredDepartures {
        let mut stored = StoredDepartures::default();
        for record in records {
            match record {
                DepartureRecord::Departed(departure) => stored.departures.push(departure),
                DepartureRecord::Complete { epoch } => {
                    stored.complete_epoch = stored.complete_epoch.max(Some(epoch));
                }
            }
        }
        stored
    }
}

#[cfg(test)]
#[path = "../tests/unit/departure_record.rs"]
mod tests;
