//! Grants that a home makes between the reports of its gateways, for waiting requests: no such grant is
//! without a credit.

use std::collections::BTreeMap;
use std::time::Duration;

use crankpick_quota::{
    Allocator, Demand, Grant, GrantSource, HeldLease, HolderId, OwnerIncarnation, QuotaBounds, QuotaLimit,
    LEASE_DURATION,
};

const BOUNDS: QuotaBounds = QuotaBounds { window: Duration::from_secs(8), over: 0.1, slack: 140_000.0 };
const LIMIT: QuotaLimit = QuotaLimit { rate: 36_000.0, burst: 36_000.0 };
const MILLISECOND: Duration = Duration::from_millis(1);
/// The need of each waiting gateway, in units.
const NEED: f64 = 6_000.0;

/// A home that has just received its first grant, with an empty pool.
fn home(now: Duration) -> Allocator {
    let mut home = Allocator::new(now, GrantSource::home(5), 1);
    let total = BOUNDS.total(LIMIT, now + LEASE_DURATION);
    let grant = Grant {
        source: GrantSource::OWNER,
        token: 1,
        owner: OwnerIncarnation { token: 1, nonce: 9 },
        number: 1,
        rate: total.rate,
        burst: total.burst,
        debt: total.debt,
        credit: 0.0,
        valid_for: LEASE_DURATION,
    };
    assert!(home.apply_grant(now, now, grant));
    home
}

fn held(grant: &Grant) -> HeldLease {
    let Grant { token, number, rate, burst, debt, valid_for, .. } = *grant;
    HeldLease { token, number, rate, burst, debt, remaining: valid_for }
}

/// All gateways of a home restart at the same time while its pool is empty. The home may make grants at each
/// of its events, and must not make any without a sufficient credit.
#[test]
fn a_need_that_cannot_be_paid_yet_causes_no_grants() {
    let mut now = Duration::from_secs(1);
    let mut home = home(now);
    let gateways: Vec<HolderId> = (0..15).map(HolderId).collect();
    let mut paid: Vec<HolderId> = Vec::new();
    let mut leases: BTreeMap<HolderId, Grant> = BTreeMap::new();
    let mut grants = 0;
    for step in 0..1_000 {
        if step % 100 == 0 {
            for gateway in &gateways {
                let need = if paid.contains(gateway) { 0.0 } else { NEED };
                let held_lease = leases.get(gateway).map(held);
                let demand = Demand { rate: 300.0, need, held_lease, ..Demand::default() };
                let grant = home.report(now, *gateway, demand);
                leases.insert(*gateway, grant);
                if grant.credit >= NEED {
                    paid.push(*gateway);
                }
            }
        }
        for (gateway, grant) in home.grant_pending(now) {
            grants += 1;
            assert!(grant.credit >= NEED, "{gateway:?} got {grant:?} at {now:?}");
            paid.push(gateway);
        }
        now += MILLISECOND;
    }
    assert!(
        !paid.is_empty(),
        "the pool has filled, but no need was paid: level {}, {} holders",
        home.pool_level(),
        home.holders()
    );
    assert!(grants <= gateways.len(), "{grants} grants in a second");
}

/// A need is paid as soon as the pool covers it, not only with the next report.
#[test]
fn a_need_is_paid_as_soon_as_the_pool_has_it() {
    let mut now = Duration::from_secs(1);
    let mut home = home(now);
    let gateway = HolderId(1);
    home.report(now, gateway, Demand { rate: 0.0, need: NEED, ..Demand::default() });
    let paid = loop {
        if let Some((_, grant)) = home.grant_pending(now).pop() {
            break grant;
        }
        assert!(
            home.pool_level() < NEED,
            "the pool has {} units, but the need is not paid at {now:?}",
            home.pool_level()
        );
        home.report(now, gateway, Demand { rate: 0.0, need: NEED, ..Demand::default() });
        now += MILLISECOND;
        assert!(now < Duration::from_secs(2), "the pool does not fill: {}", home.pool_level());
    };
    assert!(paid.credit >= NEED, "{paid:?}");
}
