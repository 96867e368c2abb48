//! The control plane's host: the operator's and the backends' API, the disk, and links to its peers and gateways.

mod api;
mod disk;
mod disk_opening;
mod entropy;
mod error;
mod event;
mod floods;
mod host;
mod links;
mod listener;
mod member_search;
mod operator;
mod peers;
mod quorum;
mod quotas;
mod redirect_api;
mod redirector;
mod resilience;
mod sessions;
mod settings_watch;
mod start;
mod status;

pub use error::ControlPlaneError;
pub use start::{run, serve, Listeners};
