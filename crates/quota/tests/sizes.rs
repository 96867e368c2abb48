//! The sizes of messages and state at 2,700 tenants, 25 homes and 1,100 gateways, measured on the serialized
//! messages.

use std::time::Duration;

use crankpick_quota::{Allocator, GrantSource, Holder, HolderId, QuotaBounds, QuotaLimit, RetryBudget};

const TENANTS: usize = 2_700;
const HOMES: usize = 25;
const GATEWAYS: usize = 1_100;
const REPORTS_PER_S: usize = 4;

#[test]
fn messages_and_state_are_small() {
    let now = Duration::from_secs(100);
    let bounds = QuotaBounds { window: Duration::from_secs(8), over: 0.1, slack: 140_000.0 };
    let limit = QuotaLimit { rate: 274_019.0, burst: 274_019.0 };
    let mut owner = Allocator::new(now, GrantSource::OWNER, 7 << 20).with_nonce(0x1234_5678_9abc_def0);
    let mut holder = Holder::new(now);
    holder.take(now, 6_990.0);
    let mut sizes = (0, 0);
    let mut later = now;
    for _ in 0..4 {
        later += Duration::from_millis(250);
        owner.set_total(later, bounds.total(limit, later + Duration::from_secs(5)));
        let demand = holder.demand(later, GrantSource::OWNER);
        let grant = owner.report(later, HolderId(0x1234_5678_9abc_def0), demand);
        assert!(holder.apply_grant(later, later, grant));
        sizes = (rmp_serde::to_vec(&demand).unwrap().len(), rmp_serde::to_vec(&grant).unwrap().len());
    }
    let (demand, grant) = sizes;
    let pair = demand + grant;
    println!("a demand: {demand} B, a grant: {grant} B");
    println!("state: a holder {} B, a retry budget {} B", size_of::<Holder>(), size_of::<RetryBudget>());
    let per_home = GATEWAYS / HOMES;
    for active in [10, 100, 500] {
        let at_home = active * per_home * REPORTS_PER_S;
        let at_owner = active * HOMES * REPORTS_PER_S;
        println!(
            "{active} tenants active at each gateway: a home takes {at_home} demands/s ({} kB/s in its zone), \
             all owners {at_owner}/s ({} kB/s, {} kB/s each)",
            at_home * pair / 1000,
            at_owner * pair / 1000,
            at_owner * pair / 1000 / HOMES,
        );
    }
    println!("all {TENANTS} tenants' holders at a gateway: {} kB", TENANTS * size_of::<Holder>() / 1000);
    assert!(demand < 120 && grant < 120);
    assert!(size_of::<Holder>() < 1_000);
}
