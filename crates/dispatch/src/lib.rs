//! Backend selection for a gateway's requests. Performs no I/O and reads no clock; the caller passes in the time.

mod admission;
mod attempts;
mod backend;
mod choose;
mod dispatcher;
mod fit;
mod groups;
mod hash;
mod health;
mod interface;
mod kinds;
mod latency;
mod prefix;
mod rotation;
mod service;
mod weights;

pub use dispatcher::Dispatcher;
pub use interface::*;
pub use weights::Weights;
