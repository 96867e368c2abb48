//! The operator's configuration: prost types read from JSON, checked, and compiled into routing tables.
//!
//! [`Document::read`] takes an order's body whole or refuses it with a numbered code ([`ConfigurationCode`]) and keeps
//! the bytes as sent; [`read`] gives the messages alone. [`RoutingTable::compile`] makes of them the immutable table
//! that serving threads share. [`Patch`] makes a configuration of the one before it. [`check`] looks over an operator's file and tells all that is wrong with it.

mod check;
mod code;
mod fingerprint;
mod lenient;
mod locate;
mod message;
mod patch;
mod read;
mod rule;
mod table;
mod validate;

pub use check::{check, check_bytes, Finding};
pub use code::{ConfigurationCode, ConfigurationError};
pub use fingerprint::fingerprint;
pub use message::{Configuration, Engine, Limits, Model, Route, Service, Split, Tenant};
pub use patch::Patch;
pub use read::{read, Document, MAX_DOCUMENT_BYTES};
pub use rule::{
    ClientLimits, EngineRule, QuotaUnit, RouteKind, RouteRule, ServiceRule, SplitShare, TenantRule,
    DEFAULT_PRIORITY,
};
pub use table::{normal_host, RoutingTable};
pub use validate::{MAX_KEYS_OF_TENANT, MAX_ROUTES, MAX_SERVICES, MAX_SPLIT, MAX_TENANTS, MAX_TEXT_BYTES};
