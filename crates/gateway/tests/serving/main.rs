//! Tests of the gateway over local sockets, one for each documented rule.

mod admission;
mod bounds;
mod client_connections;
mod connections;
mod executions;
mod freshness;
mod passing;
mod retries;
mod send_endings;
mod shutdown;
mod streams;
mod support;
