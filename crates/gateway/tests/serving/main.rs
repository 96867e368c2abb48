//! The gateway on sockets of this machine, one test for each rule that it keeps.

mod admission;
mod bounds;
mod client_connections;
mod connections;
mod freshness;
mod passing;
mod retries;
mod send_endings;
mod shutdown;
mod stand_ins;
mod streams;
