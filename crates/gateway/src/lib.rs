//! The data plane: forwards client requests and streams to backends.
//!
//! [`serve`] accepts client connections from a listener. Its inputs are held in [`Shared`], which the
//! process's control client keeps up to date: the routing table and when it was last confirmed to be the
//! newest, the backends, the number of gateways, and the tenants' quota leases. Backends are selected by
//! the dispatcher.

mod admission;
mod attempt;
mod backend_pool;
mod backend_queue;
mod backend_response;
mod backend_stream;
mod body;
mod client;
mod connection;
mod connection_end;
mod connection_limit;
mod counters;
mod event;
mod exchange;
mod executions;
mod fleet_view;
mod forwarder;
mod freshness;
mod generated_body;
mod invariant;
mod keep_alive;
mod lifecycle;
mod lingering_close;
mod listener;
mod outgoing;
mod quotas;
mod refusal;
mod relay;
mod request;
mod response_body;
mod retry_budgets;
mod settings;
mod shared;

pub use connection_end::{ConnectionEnds, EndReason};
pub use counters::{Cause, Count};
pub use freshness::FreshnessBounds;
pub use listener::serve;
pub use quotas::TenantDemand;
pub use refusal::Refusal;
pub use settings::GatewaySettings;
pub use shared::Shared;

/// Time since process start, by the monotonic clock.
pub type Now = std::time::Duration;
