//! The configuration in force at this gateway, and the newest received one that isn't in force yet.

use std::sync::Arc;

use crankpick_configuration::{ConfigurationError, RoutingTable};
use crankpick_gateway::Shared;
use crankpick_protocol::{decompress, ConfigurationUpdate, ConfigurationVersion, ProtocolError};
use slog::{info, warn, Logger};
use snafu::{ResultExt, Snafu};

/// Why a configuration from a home can't be put in force.
#[derive(Debug, Snafu)]
enum UnreadableError {
    /// It can't be decompressed.
    #[snafu(display("{source}"))]
    Compressed { source: ProtocolError },
    /// It isn't a valid configuration for this build.
    #[snafu(display("{source}"))]
    Invalid { source: ConfigurationError },
}

/// Puts configurations in force, in ascending order of their versions.
#[derive(Default)]
pub(super) struct ConfigurationSlot {
    in_force: Option<ConfigurationVersion>,
    pending: Option<ConfigurationUpdate>,
    /// Whether the newest received version can't be read, so that the one in force isn't the newest.
    unreadable: bool,
}

impl ConfigurationSlot {
    pub fn in_force(&self) -> Option<ConfigurationVersion> {
        self.in_force
    }

    /// Whether the newest received version is in force.
    pub fn newest_is_in_force(&self) -> bool {
        self.in_force.is_some() && self.pending.is_none() && !self.unreadable
    }

    /// Keeps the configuration if it is newer than the one that is pending.
    pub fn receive(&mut self, update: ConfigurationUpdate) {
        if self.pending.as_ref().is_none_or(|pending| pending.version < update.version) {
            self.pending = Some(update);
        }
    }

    /// Puts the pending configuration in force if it is newer and can be read.
    pub fn publish_pending(&mut self, shared: &Shared, log: &Logger) {
        let Some(pending) = self.pending.take() else { return };
        if Some(pending.version) <= self.in_force {
            return;
        }
        match compile(&pending.document) {
            Ok(table) => {
                info!(log, "configuration in force"; "generation" => pending.version.generation);
                shared.publish_routing(Arc::new(table));
                self.in_force = Some(pending.version);
                self.unreadable = false;
            }
            Err(cause) => {
                warn!(log, "a configuration can't be read"; "code" => "SYS-111", "cause" => %cause);
                self.unreadable = true;
            }
        }
    }
}

fn compile(document: &[u8]) -> Result<RoutingTable, UnreadableError> {
    let document = decompress(document).context(CompressedSnafu)?;
    let configuration = crankpick_configuration::read(&document).context(InvalidSnafu)?;
    Ok(RoutingTable::compile(&configuration))
}
