//! The addresses that processes of the program listen on.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Mutex;

use tokio::net::TcpListener;

use super::told;
use crate::sync::lock;

/// The addresses that rigs of this program were given. The port of one whose process has not bound it yet is free: without
/// this, the system may give it to another rig on the same IP address.
static GIVEN: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());

/// An address that nobody else uses while this run lasts: one of loopback's own for each process, drawn from
/// this program's id, so that neither another run nor the near end of a connection takes its port.
pub(super) async fn own_address(run: u8, number: usize) -> Result<SocketAddr, String> {
    let [.., high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 1 + high % 120 + 120 * (run % 2), low, 2 + number as u8);
    loop {
        let listener = TcpListener::bind((ip, 0)).await.map_err(told)?;
        let address = listener.local_addr().map_err(told)?;
        if lock(&GIVEN).insert(address) {
            return Ok(address);
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/addresses.rs"]
mod tests;
