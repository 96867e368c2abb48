//! Rates leased from one owner to many holders: tenants' quotas and retry budgets. No I/O.
//!
//! The owner of a tenant leases its rate, in an [`Allocator`], to homes; a home leases what it got, in an
//! [`Allocator`] of its own, to gateways; a gateway spends it through a [`Holder`]. What the sum of all may
//! take follows from [`QuotaBounds`]. A [`RetryBudget`] needs nobody else.

mod allocator;
mod bounds;
mod bucket;
mod demand_estimate;
mod holder;
mod message;
mod reservation;
mod retry_budget;
mod urgency;

pub use allocator::{Allocator, TOKENS_OF_ONE_EPOCH};
pub use bounds::{QuotaBounds, QuotaLimit, Total};
pub use holder::Holder;
pub use message::{Claim, Demand, Grant, GrantSource, HolderId, Lineage};
pub use retry_budget::{RetryBudget, RetryBudgetSettings};

/// Time since the process began, by its steady clock.
pub type Now = std::time::Duration;

/// How long a lease runs after its last renewal.
pub const LEASE: std::time::Duration = std::time::Duration::from_secs(5);
