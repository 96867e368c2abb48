//! The data plane: clients' requests and streams to backends.
//!
//! [`serve`] takes clients' connections from a listener. What it goes by stands in [`Shared`], which the
//! process's control client keeps up to date: the routing table and when it was last known to be the newest,
//! the backends, the number of gateways and the tenants' quotas. The choice of a backend is the dispatcher's.

mod admission;
mod answer;
mod answer_times;
mod attempt;
mod backend_pool;
mod body;
mod client;
mod connection;
mod connection_end;
mod counters;
mod courier;
mod currency;
mod event;
mod exchange;
mod fleet_view;
mod front_room;
mod invariant;
mod keep_alive;
mod lifecycle;
mod lingering_close;
mod listener;
mod opened;
mod outgoing;
mod outlet;
mod quotas;
mod refusal;
mod relay;
mod request;
mod retries;
mod settings;
mod shared;
mod wire;

pub use connection_end::{ConnectionEnds, EndReason};
pub use counters::{Cause, Count};
pub use currency::CurrencyBounds;
pub use listener::serve;
pub use quotas::TenantDemand;
pub use refusal::Refusal;
pub use settings::GatewaySettings;
pub use shared::Shared;

/// Time since the process began, by its steady clock.
pub type Now = std::time::Duration;
