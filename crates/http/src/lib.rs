//! HTTP/1.1 socket code shared by the proxy and the gateway.

pub mod body;
pub mod fields;
pub mod framing;
pub mod stream;
pub mod write_timeout;
