//! The decisions of a load-balancing proxy. `balance` decides, using the estimates that `judge` derives from
//! the state in `kept`; `interface` holds the types exchanged with the host, `inbox` receives the host's
//! events.

pub mod balance;
mod inbox;
pub mod interface;
mod judge;
mod kept;
pub mod retry;
