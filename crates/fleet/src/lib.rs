//! Coordination state of a fleet of proxies: sessions, duties that have a single owner, and the set of
//! backends that are out of service fleet-wide. The crate does no I/O and reads no clock: time, messages and
//! disk are arguments. `crankpick-carry` drives it with sockets and a disk; tests drive it with injected
//! faults in virtual time.

pub mod agree;
pub mod found;
pub mod kept;
pub mod lead;
pub mod lease;
pub mod node;
pub mod order;
pub mod session;
pub mod sight;
pub mod state;
pub mod words;
pub mod work;
