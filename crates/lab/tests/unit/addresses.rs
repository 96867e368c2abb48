//! No address is given to two processes, although nobody listens on it yet.

use std::collections::BTreeSet;

use super::own_address;

/// So many draws from the system's free ports have many pairs alike.
const DRAWS: usize = 3_000;

/// Two rigs of one program got the same address for their first processes: neither came up.
#[tokio::test]
async fn rigs_on_one_ip_address_get_different_ports() {
    let mut addresses = BTreeSet::new();
    for draw in 0..DRAWS {
        // Runs with an even number share their IP addresses.
        let run = 2 * u8::try_from(draw % 100).unwrap();
        assert!(addresses.insert(own_address(run, 0).await.unwrap()), "after {draw} draws");
    }
}
