//! Rates leased from one owner to many holders: tenants' quotas and retry budgets. No I/O.
//!
//! The owner of a tenant leases its rate to homes through an [`Allocator`]. A home leases its share to
//! gateways through an [`Allocator`] of its own. A gateway spends its share through a [`Holder`], which is a
//! token bucket; requests that it can't serve at once wait in a [`WaitingQueue`]. [`QuotaBounds`] limits the sum over all gateways. A [`RetryBudget`] is local to a gateway.
//!
//! Rates are in units per second and amounts in units: tokens or requests, whichever a limit counts.

mod allocator;
mod bin_ring;
mod bounds;
mod bucket;
mod demand_estimate;
mod holder;
mod message;
mod reservation;
mod retry_budget;
mod share;
mod unmet_need;
mod waiting_queue;

pub use allocator::{Allocator, TOKENS_PER_EPOCH};
pub use bounds::{QuotaBounds, QuotaLimit, Total};
pub use holder::Holder;
pub use message::{Demand, Grant, GrantSource, HeldLease, HolderId, OwnerIncarnation};
pub use retry_budget::{RetryBudget, RetryBudgetSettings};
pub use waiting_queue::{Place, Settlement, Verdict, WaitingQueue};

/// The time since the start of the process, on its monotonic clock.
pub type Now = std::time::Duration;

/// How long a lease is valid after its last renewal.
pub const LEASE_DURATION: std::time::Duration = std::time::Duration::from_secs(5);
