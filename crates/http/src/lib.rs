//! What the proxy and the gateway share of HTTP/1.1 on sockets.

pub mod body;
pub mod fields;
pub mod framing;
pub mod stall;
pub mod stream;
