//! The choice of a backend for each request of a gateway. No I/O, no clock: the host hands in the time.

mod backend;
mod dispatcher;
mod interface;

pub use dispatcher::Dispatcher;
pub use interface::*;
