//! A single holder: the expiry of its leases, its floor rate and its debt.

use std::time::Duration;

use crankpick_quota::{Grant, GrantSource, Holder, OwnerIncarnation, QuotaBounds, QuotaLimit};

const BOUNDS: QuotaBounds = QuotaBounds { window: Duration::from_secs(8), over: 0.1, slack: 0.0 };
const LIMIT: QuotaLimit = QuotaLimit { rate: 1_000.0, burst: 1_000.0 };

fn grant(source: u64, number: u64) -> Grant {
    Grant {
        source: GrantSource::home(source),
        token: 1,
        owner: OwnerIncarnation { token: 1, nonce: 1 },
        number,
        rate: 100.0,
        burst: 200.0,
        debt: 50.0,
        credit: 0.0,
        valid_for: Duration::from_secs(5),
    }
}

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[test]
fn a_lease_ends_and_leaves_a_floor() {
    let mut holder = Holder::new(at(0.0));
    holder.set_floor(at(0.0), &BOUNDS, LIMIT, 10);
    assert!(holder.apply_grant(at(1.0), at(0.9), grant(1, 1)));
    assert_eq!(holder.rate(at(5.8)), 100.0);
    // After a freeze the lease has expired and the bucket is truncated to the depth of the floor.
    assert!(holder.rate(at(5.95)) < 2.0);
    assert!(!holder.take(at(30.0), 100.0));
    assert!(holder.take(at(30.0), 3.0));
}

#[test]
fn debt_is_bounded_and_repaid() {
    let mut holder = Holder::new(at(0.0));
    assert!(holder.apply_grant(at(1.0), at(1.0), grant(1, 1)));
    assert!(!holder.take(at(4.0), 251.0));
    assert!(holder.take(at(4.0), 249.0));
    assert!(!holder.take(at(4.0), 2.0));
    assert_eq!(holder.demand(at(4.0), GrantSource::home(1)).level, -49.0);
    assert!(holder.take(at(4.6), 55.0));
}

#[test]
fn leases_of_two_homes_add_up_until_the_former_ends() {
    let mut holder = Holder::new(at(0.0));
    assert!(holder.apply_grant(at(1.0), at(1.0), grant(1, 7)));
    assert!(holder.apply_grant(at(3.0), at(3.0), grant(2, 1)));
    assert!(!holder.apply_grant(at(3.0), at(3.0), grant(2, 1)));
    assert_eq!(holder.rate(at(5.9)), 200.0);
    assert_eq!(holder.rate(at(6.1)), 100.0);
}
