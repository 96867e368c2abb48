//! Owners and homes of tenants' quotas: who owns what under which epoch, and what the sum may be.

use std::net::SocketAddr;
use std::time::Duration;

use crankpick_configuration::RoutingTable;
use crankpick_control::{EntryId, Member, MemberId, View};
use crankpick_protocol::TenantDemand;
use crankpick_quota::{Demand, HolderId, QuotaBounds, LEASE_DURATION};
use crankpick_registry::ProcessId;

use super::{owner, Quotas};

const FRESH: Option<Duration> = Some(Duration::from_millis(10));
const CONFIGURATION: &str = r#"{"generation": 1, "routes": [], "services": [],
    "tenants": [{"name": "large", "api_keys": ["k"], "unit": "token_count", "rate_per_s": 1000, "burst": 1000}]}"#;

fn place(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7500))
}

fn view(epoch: u64, numbers: &[u8]) -> View {
    let member = |number: &u8| Member {
        id: MemberId(u64::from(*number)),
        address: place(*number),
        zone: "a".into(),
        durable: true,
    };
    View {
        epoch,
        members: numbers.iter().map(member).collect(),
        chain: numbers.iter().map(|number| MemberId(u64::from(*number))).collect(),
        start: EntryId::default(),
    }
}

fn quotas(number: u8) -> Quotas {
    let bounds = QuotaBounds { window: Duration::from_secs(8), over: 0.1, slack: 1_000.0 };
    let mut quotas = Quotas::new(ProcessId(u64::from(number)), place(number), bounds);
    let configuration = crankpick_configuration::read(CONFIGURATION.as_bytes()).unwrap();
    quotas.configure(&RoutingTable::compile(&configuration));
    quotas.view_changed(&view(1, &[1, 2, 3]));
    quotas
}

fn asked(rate: f64) -> Vec<TenantDemand> {
    let demand = Demand { rate, need: 0.0, level: 0.0, ..Demand::default() };
    vec![TenantDemand { tenant: "large".into(), demand }]
}

fn owner_of_large() -> u8 {
    let places = [place(1), place(2), place(3)];
    let owner = owner(&places, "large").unwrap();
    (1..=3).find(|number| place(*number) == owner).unwrap()
}

#[test]
fn only_the_owner_grants_and_only_in_its_epoch() {
    let now = Duration::from_secs(1);
    let owner = owner_of_large();
    for number in 1..=3 {
        let mut quotas = quotas(number);
        let grants = quotas.grant_as_owner(now, ProcessId(9), 1, asked(500.0), FRESH, &[]);
        assert_eq!(grants.len(), usize::from(number == owner));
        assert!(quotas.grant_as_owner(now, ProcessId(9), 0, asked(500.0), FRESH, &[]).is_empty());
        assert!(quotas.grant_as_owner(now, ProcessId(9), 2, asked(500.0), FRESH, &[]).is_empty());
    }
}

#[test]
fn an_owner_in_doubt_of_its_view_grants_nothing() {
    let now = Duration::from_secs(1);
    let mut quotas = quotas(owner_of_large());
    assert!(quotas.grant_as_owner(now, ProcessId(9), 1, asked(500.0), None, &[]).is_empty());
    let stale = Some(Duration::from_millis(1_001));
    assert!(quotas.grant_as_owner(now, ProcessId(9), 1, asked(500.0), stale, &[]).is_empty());
}

#[test]
fn an_owner_forgets_what_it_lent_unless_it_owned_in_the_view_before() {
    let now = Duration::from_secs(1);
    let number = owner_of_large();
    let mut quotas = quotas(number);
    quotas.grant_as_owner(now, ProcessId(9), 1, asked(500.0), FRESH, &[]);
    assert_eq!(quotas.owned_tenants(), 1);
    quotas.view_changed(&view(2, &[1, 2, 3]));
    assert_eq!(quotas.owned_tenants(), 1);
    quotas.view_changed(&view(4, &[1, 2, 3]));
    assert_eq!(quotas.owned_tenants(), 0);
}

#[test]
fn a_home_lends_what_its_owner_granted() {
    let now = Duration::from_secs(1);
    let number = owner_of_large();
    let mut quotas = quotas(number);
    let holder = HolderId(70);
    let nothing = quotas.report(now, holder, asked(500.0));
    assert_eq!(nothing[0].grant.rate, 0.0);
    let sent = quotas.demands(now).remove(0);
    assert_eq!(sent.to, place(number));
    let grants =
        quotas.grant_as_owner(now, ProcessId(u64::from(number)), sent.epoch, sent.demands, FRESH, &[]);
    let granted = grants[0].grant.rate;
    quotas.grants_received(now, sent.number, grants);
    let lent = quotas.report(now, holder, asked(500.0));
    assert!(lent[0].grant.rate >= 500.0, "{lent:?}");
    assert!(lent[0].grant.rate <= granted, "{lent:?} of {granted}");
}

#[test]
fn a_tenant_without_a_limit_is_nobodys() {
    let now = Duration::from_secs(1);
    let mut quotas = quotas(owner_of_large());
    let demand = Demand { rate: 1.0, need: 0.0, level: 0.0, ..Demand::default() };
    let unknown = vec![TenantDemand { tenant: "small".into(), demand }];
    assert!(quotas.report(now, HolderId(1), unknown.clone()).is_empty());
    assert!(quotas.grant_as_owner(now, ProcessId(9), 1, unknown, FRESH, &[]).is_empty());
}

#[test]
fn a_home_that_is_cut_off_lends_nothing_past_its_lease() {
    let begin = Duration::from_secs(1);
    let holder = HolderId(70);
    let mut home = quotas(owner_of_large());
    home.report(begin, holder, asked(500.0));
    let sent = home.demands(begin).remove(0);
    let grants = home.grant_as_owner(begin, ProcessId(9), sent.epoch, sent.demands, FRESH, &[]);
    home.grants_received(begin, sent.number, grants);
    let lent_until = begin + LEASE_DURATION;
    let mut now = begin;
    while now < lent_until + LEASE_DURATION {
        let demands = home.demands(now);
        let answered: usize = demands
            .into_iter()
            .map(|sent| home.grant_as_owner(now, ProcessId(9), sent.epoch, sent.demands, None, &[]).len())
            .sum();
        assert_eq!(answered, 0, "an owner that reaches no majority granted at {now:?}");
        let lent = home.report(now, holder, asked(500.0)).remove(0).grant;
        let lends = lent.rate > 0.0 || lent.credit > 0.0;
        assert!(!lends || now + lent.valid_for <= lent_until, "lent at {now:?}: {lent:?}");
        now += Duration::from_millis(250);
    }
}

/// What was not used while nobody asked is there for the first who asks, and no more than that.
#[test]
fn an_owner_that_nobody_asks_lets_its_pool_fill() {
    let mut quotas = quotas(owner_of_large());
    let others = [ProcessId(7), ProcessId(8)];
    for quarter in 4..60 {
        quotas.refresh_owned(Duration::from_millis(250) * quarter, FRESH, &others);
    }
    let needy = Demand { rate: 0.0, need: 900.0, ..Demand::default() };
    let asked = vec![TenantDemand { tenant: "large".into(), demand: needy }];
    let now = Duration::from_secs(15);
    let credit = |quotas: &mut Quotas, home: u64| {
        quotas.grant_as_owner(now, ProcessId(home), 1, asked.clone(), FRESH, &others)[0].grant.credit
    };
    assert!(credit(&mut quotas, 7) >= 900.0);
    let later = credit(&mut quotas, 8);
    assert!(later < 900.0, "{later}: burst and margin are spent once");
}

#[test]
fn an_owner_in_doubt_of_its_view_fills_nothing() {
    let mut quotas = quotas(owner_of_large());
    for quarter in 4..60 {
        quotas.refresh_owned(Duration::from_millis(250) * quarter, None, &[]);
    }
    assert_eq!(quotas.owned_tenants(), 0);
}
