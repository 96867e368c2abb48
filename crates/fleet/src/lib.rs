//! Coordination state of a fleet of proxies: sessions, duties that have a single owner, and the set of
//! backends that are out of service fleet-wide. The crate does no I/O and reads no clock: time, messages and
//! disk are arguments. `crankpick-carry` drives it with sockets and a disk; tests drive it with injected
//! faults in virtual time.

pub mod consensus;
pub mod leader;
pub mod lease;
pub mod log_creation;
pub mod messages;
pub mod node;
pub mod observation;
pub mod scheduler;
pub mod session;
pub mod state;
pub mod storage;
pub mod work;
