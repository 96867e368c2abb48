//! A recorded trace of one home and two gateways: renewals, an unmet need, a lost owner and a lowered limit.

use std::time::Duration;

use crankpick_quota::{
    Allocator, Grant, GrantSource, Holder, HolderId, QuotaBounds, QuotaLimit, LEASE_DURATION,
};

const BOUNDS: QuotaBounds = QuotaBounds { window: Duration::from_secs(8), over: 0.1, slack: 140_000.0 };
const HOME: HolderId = HolderId(5);

struct Trace {
    now: Duration,
    limit: QuotaLimit,
    owner: Allocator,
    home: Allocator,
    gateways: [Holder; 2],
    lines: Vec<String>,
}

impl Trace {
    fn new() -> Self {
        let now = Duration::from_secs(1);
        Self {
            now,
            limit: QuotaLimit { rate: 36_000.0, burst: 36_000.0 },
            owner: Allocator::new(now, GrantSource::OWNER, 1),
            home: Allocator::new(now, GrantSource::home(5), 1),
            gateways: [Holder::new(now), Holder::new(now)],
            lines: Vec::new(),
        }
    }

    fn record_grant(&mut self, what: &str, grant: &Grant) {
        let line = format!(
            "{:>5} ms {what}: token {} number {} rate {:.0} burst {:.0} debt {:.0} credit {:.0} for {} ms",
            self.now.as_millis(),
            grant.token,
            grant.number,
            grant.rate,
            grant.burst,
            grant.debt,
            grant.credit,
            grant.valid_for.as_millis(),
        );
        self.lines.push(line);
    }

    fn renew(&mut self) {
        self.now += Duration::from_millis(250);
        self.owner.set_total(self.now, BOUNDS.total(self.limit, self.now + LEASE_DURATION));
        let grant = self.owner.report(self.now, HOME, self.home.demand(self.now));
        self.record_grant("owner to home", &grant);
        self.home.apply_grant(self.now, self.now, grant);
        for index in 0..self.gateways.len() {
            let demand = self.gateways[index].demand(self.now, GrantSource::home(5));
            let grant = self.home.report(self.now, HolderId(10 + index as u64), demand);
            self.record_grant(&format!("home to gateway {index}"), &grant);
            self.gateways[index].apply_grant(self.now, self.now, grant);
        }
    }

    fn take(&mut self, gateway: usize, amount: f64) {
        let taken = self.gateways[gateway].take(self.now, amount);
        self.lines.push(format!("{:>5} ms gateway {gateway} takes {amount}: {taken}", self.now.as_millis()));
    }
}

#[test]
fn a_trace_of_grants() {
    let mut trace = Trace::new();
    trace.renew();
    trace.renew();
    trace.take(0, 9_000.0);
    trace.take(1, 2_000.0);
    trace.renew();
    trace.renew();
    trace.take(0, 9_000.0);
    trace.lines.push("the owner is lost".to_owned());
    trace.owner = Allocator::new(trace.now, GrantSource::OWNER, 2);
    trace.owner.set_total(trace.now, BOUNDS.total(trace.limit, trace.now + LEASE_DURATION));
    trace.owner.rebuild(trace.now, [HOME, HolderId(6)]);
    trace.renew();
    trace.renew();
    trace.lines.push("the limit is lowered".to_owned());
    trace.limit = QuotaLimit { rate: 9_000.0, burst: 9_000.0 };
    trace.renew();
    trace.renew();
    trace.take(0, 9_000.0);
    insta::assert_snapshot!(trace.lines.join("\n"));
}

/// An owner that restarts with its old token and without state raises its token above those that holders
/// report.
#[test]
fn a_restarted_owner_raises_its_token_above_reported_leases() {
    let mut trace = Trace::new();
    (0..4).for_each(|_| trace.renew());
    trace.owner = Allocator::new(trace.now, GrantSource::OWNER, 1).with_nonce(9);
    trace.owner.set_total(trace.now, BOUNDS.total(trace.limit, trace.now + LEASE_DURATION));
    let sent_at = trace.now;
    let grant = trace.owner.report(trace.now, HOME, trace.home.demand(trace.now));
    assert_eq!(grant.token, 2);
    assert!(trace.home.apply_grant(trace.now, sent_at, grant));
}

/// Grants of a replaced owner are refused once a grant of its successor was accepted.
#[test]
fn a_replaced_owner_is_fenced() {
    let mut trace = Trace::new();
    trace.renew();
    let mut late = trace.owner.clone();
    let demand = trace.home.demand(trace.now);
    trace.owner = Allocator::new(trace.now, GrantSource::OWNER, 2);
    trace.renew();
    let grant = late.report(trace.now, HOME, demand);
    assert!(!trace.home.apply_grant(trace.now, trace.now, grant));
}
