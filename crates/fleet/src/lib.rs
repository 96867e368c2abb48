//! What a fleet of proxies decides together: who is there, who owns which duty, which backends are out for
//! all. No I/O and no clock of its own: time, words and disk are arguments. Called by `crankpick-carry`,
//! which brings sockets and disk, and by tests that bring faults in virtual time.

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
