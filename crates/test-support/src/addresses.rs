//! Addresses on this machine.

use std::net::SocketAddr;

use socket2::{Domain, Socket, Type};

/// An address that refuses connections. Its port is bound, without listening, until the process ends, so that no other
/// test gets it.
///
/// # Panics
///
/// If no port can be bound.
pub fn refusing_address() -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any.into()).expect("a free port");
    let address = socket.local_addr().expect("bound").as_socket().expect("an address");
    std::mem::forget(socket);
    address
}
