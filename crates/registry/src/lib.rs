//! Backends and gateways under leases, and the distribution of both to subscribers. No I/O.
//!
//! A [`Registry`] lives in each control-plane process. It takes heartbeats, floods what changed to its
//! peers as [`Announcement`]s, and answers subscribers with [`Changes`] since a [`Cursor`]. A gateway
//! merges these into a [`TableBuilder`] and publishes immutable [`BackendTable`]s. [`GatewayLeases`] and
//! [`GatewayCount`] do the same for the gateways themselves; a [`HomeSelector`] chooses which control-plane
//! process a gateway follows, its home.

mod announcement;
mod changes;
mod departure;
mod digest;
mod freeze;
mod gateway_count;
mod gateway_leases;
mod heartbeat;
mod home_selector;
mod peers;
mod record;
mod registry;
mod settings;
mod store;
mod table;

pub use announcement::{Announcement, Digest};
pub use changes::{Changes, Cursor};
pub use departure::{BackendDeparture, DepartureKind};
pub use gateway_count::{GatewayCount, GatewayTotal};
pub use gateway_leases::{GatewayId, GatewayLeases, GatewayRecord};
pub use heartbeat::{Heartbeat, HeartbeatError, HeartbeatState, LoadedModel};
pub use home_selector::{HomeAction, HomeCandidate, HomeSelector, HomeSelectorSettings, HomeStatus};
pub use record::{BackendRecord, BackendState};
pub use registry::{RegistrationOutcome, Registry};
pub use settings::RegistrySettings;
pub use table::{BackendTable, TableBuilder};

/// The time since the start of the process, by its monotonic clock.
pub type Now = std::time::Duration;

/// One incarnation of a control-plane process: drawn at random at each start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct ProcessId(pub u64);
