//! The gateway on sockets of this machine, one test for each rule that it keeps.

mod admission;
mod bounds;
mod connections;
mod currency;
mod passing;
mod retries;
mod shutdown;
mod stand_ins;
mod streams;
