//! A control-plane process: the HTTP API, the disk, and the connections to peers and gateways.
//!
//! The processes that are candidates for membership form the core; they replicate the configuration along a chain. Other
//! processes redirect callers to a member.

mod api;
mod departure_record;
mod departure_store;
mod departure_sync;
mod disk;
mod disk_message;
mod disk_opening;
mod error;
mod event;
mod fault_tolerance;
mod host;
mod listener;
mod log_rewriting;
mod member_search;
mod operator_requests;
mod peer_connections;
mod peers;
mod pending_announcements;
mod quorum;
mod quotas;
mod random_ids;
mod redirect_api;
mod redirector;
mod sessions;
mod settings_watch;
mod start;
mod status;

pub use error::ControlPlaneError;
pub use start::{run, serve, Listeners};
