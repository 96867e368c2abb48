//! Owners and homes of tenants' quotas: ownership by epoch, and bounds on what is granted.

use std::net::SocketAddr;
use std::time::Duration;

use crankpick_configuration::RoutingTable;
use crankpick_control::{EntryId, Member, MemberId, View};
use crankpick_protocol::{TenantDemand, TenantGrant};
use crankpick_quota::{Demand, HolderId, QuotaBounds, LEASE_DURATION};
use crankpick_registry::ProcessId;

use super::ownership::owner;
use super::{OwnerAnswer, Quotas, ReceivedDemands};

const FRESH: Option<Duration> = Some(Duration::from_millis(10));
const CONFIGURATION: &str = r#"{"generation": 1, "routes": [], "services": [],
    "tenants": [{"name": "large", "api_keys": ["k"], "unit": "token_count", "rate_per_s": 1000, "burst": 1000}]}"#;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7500))
}

fn view(epoch: u64, numbers: &[u8]) -> View {
    let member = |number: &u8| Member {
        id: MemberId(u64::from(*number)),
        address: address(*number),
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
    let mut quotas = Quotas::new(ProcessId(u64::from(number)), address(number), bounds);
    let configuration = crankpick_configuration::read(CONFIGURATION.as_bytes()).unwrap();
    quotas.configure(&RoutingTable::compile(&configuration));
    quotas.view_changed(&view(1, &[1, 2, 3]));
    quotas
}

fn demands_of(rate: f64) -> Vec<TenantDemand> {
    let demand = Demand { rate, need: 0.0, level: 0.0, ..Demand::default() };
    vec![TenantDemand { tenant: "large".into(), demand }]
}

/// An owner's answer to one home's demands.
fn answer(
    quotas: &mut Quotas,
    now: Duration,
    home: u64,
    epoch: u64,
    demands: Vec<TenantDemand>,
    freshness: Option<Duration>,
    other_homes: &[ProcessId],
) -> OwnerAnswer {
    let received = ReceivedDemands { home: ProcessId(home), epoch, demands, other_homes };
    quotas.grant_as_owner(now, received, freshness)
}

/// The grants in an owner's answer to one home.
fn granted(
    quotas: &mut Quotas,
    now: Duration,
    home: u64,
    epoch: u64,
    demands: Vec<TenantDemand>,
    freshness: Option<Duration>,
) -> Vec<TenantGrant> {
    match answer(quotas, now, home, epoch, demands, freshness, &[]) {
        OwnerAnswer::Granted(grants) => grants,
        OwnerAnswer::StaleEpoch | OwnerAnswer::Unconfirmed => Vec::new(),
    }
}

fn owner_of_large() -> u8 {
    let addresses = [address(1), address(2), address(3)];
    let owner = owner(&addresses, "large").unwrap();
    (1..=3).find(|number| address(*number) == owner).unwrap()
}

#[test]
fn only_the_owner_grants_and_only_in_its_epoch() {
    let now = Duration::from_secs(1);
    let owner = owner_of_large();
    for number in 1..=3 {
        let mut quotas = quotas(number);
        let grants = granted(&mut quotas, now, 9, 1, demands_of(500.0), FRESH);
        assert_eq!(grants.len(), usize::from(number == owner));
        assert!(granted(&mut quotas, now, 9, 0, demands_of(500.0), FRESH).is_empty());
        assert!(granted(&mut quotas, now, 9, 2, demands_of(500.0), FRESH).is_empty());
    }
}

#[test]
fn owner_with_an_unconfirmed_view_grants_nothing() {
    let now = Duration::from_secs(1);
    let mut quotas = quotas(owner_of_large());
    assert!(granted(&mut quotas, now, 9, 1, demands_of(500.0), None).is_empty());
    let stale = Some(Duration::from_millis(1_001));
    assert!(granted(&mut quotas, now, 9, 1, demands_of(500.0), stale).is_empty());
}

#[test]
fn owner_keeps_allocators_only_from_the_preceding_view() {
    let now = Duration::from_secs(1);
    let number = owner_of_large();
    let mut quotas = quotas(number);
    granted(&mut quotas, now, 9, 1, demands_of(500.0), FRESH);
    assert_eq!(quotas.owned_tenants(), 1);
    quotas.view_changed(&view(2, &[1, 2, 3]));
    assert_eq!(quotas.owned_tenants(), 1);
    quotas.view_changed(&view(4, &[1, 2, 3]));
    assert_eq!(quotas.owned_tenants(), 0);
}

#[test]
fn home_grants_from_what_its_owner_granted() {
    let now = Duration::from_secs(1);
    let number = owner_of_large();
    let mut quotas = quotas(number);
    let holder = HolderId(70);
    let nothing = quotas.report(now, holder, demands_of(500.0));
    assert_eq!(nothing[0].grant.rate, 0.0);
    let sent = quotas.demands(now, FRESH).remove(0);
    assert_eq!(sent.to, address(number));
    let grants = granted(&mut quotas, now, u64::from(number), sent.epoch, sent.demands, FRESH);
    let granted = grants[0].grant.rate;
    quotas.grants_received(now, sent.number, grants);
    let reported = quotas.report(now, holder, demands_of(500.0));
    assert!(reported[0].grant.rate >= 500.0, "{reported:?}");
    assert!(reported[0].grant.rate <= granted, "{reported:?} of {granted}");
}

#[test]
fn tenant_without_a_limit_has_no_quota() {
    let now = Duration::from_secs(1);
    let mut quotas = quotas(owner_of_large());
    let demand = Demand { rate: 1.0, need: 0.0, level: 0.0, ..Demand::default() };
    let unknown = vec![TenantDemand { tenant: "small".into(), demand }];
    assert!(quotas.report(now, HolderId(1), unknown.clone()).is_empty());
    assert!(granted(&mut quotas, now, 9, 1, unknown, FRESH).is_empty());
}

#[test]
fn isolated_home_grants_nothing_past_its_lease() {
    let begin = Duration::from_secs(1);
    let holder = HolderId(70);
    let mut home = quotas(owner_of_large());
    home.report(begin, holder, demands_of(500.0));
    let sent = home.demands(begin, FRESH).remove(0);
    let grants = granted(&mut home, begin, 9, sent.epoch, sent.demands, FRESH);
    home.grants_received(begin, sent.number, grants);
    let granted_until = begin + LEASE_DURATION;
    let mut now = begin;
    while now < granted_until + LEASE_DURATION {
        let demands = home.demands(now, FRESH);
        let answered: usize = demands
            .into_iter()
            .map(|sent| granted(&mut home, now, 9, sent.epoch, sent.demands, None).len())
            .sum();
        assert_eq!(answered, 0, "an owner that reaches no majority granted at {now:?}");
        let grant = home.report(now, holder, demands_of(500.0)).remove(0).grant;
        let grants_quota = grant.rate > 0.0 || grant.credit > 0.0;
        assert!(!grants_quota || now + grant.valid_for <= granted_until, "granted at {now:?}: {grant:?}");
        now += Duration::from_millis(250);
    }
}

/// Quota unused while there were no demands is available to the first home with a demand, but is granted only once.
#[test]
fn unused_quota_accrues_at_the_owner() {
    let mut quotas = quotas(owner_of_large());
    let others = [ProcessId(7), ProcessId(8)];
    for quarter in 4..60 {
        quotas.refresh_owned(Duration::from_millis(250) * quarter, FRESH, &others);
    }
    let needy = Demand { rate: 0.0, need: 900.0, ..Demand::default() };
    let received = vec![TenantDemand { tenant: "large".into(), demand: needy }];
    let now = Duration::from_secs(15);
    let credit =
        |quotas: &mut Quotas, home: u64| match answer(quotas, now, home, 1, received.clone(), FRESH, &others)
        {
            OwnerAnswer::Granted(grants) => grants[0].grant.credit,
            other => panic!("{other:?}"),
        };
    assert!(credit(&mut quotas, 7) >= 900.0);
    let later = credit(&mut quotas, 8);
    assert!(later < 900.0, "{later}: burst and margin are spent once");
}

#[test]
fn owner_with_an_unconfirmed_view_creates_no_allocators() {
    let mut quotas = quotas(owner_of_large());
    for quarter in 4..60 {
        quotas.refresh_owned(Duration::from_millis(250) * quarter, None, &[]);
    }
    assert_eq!(quotas.owned_tenants(), 0);
}

/// A home that has sent demands in epoch 1, and the number of these demands.
fn home_with_sent_demands(now: Duration) -> (Quotas, u64) {
    let mut home = quotas(9);
    home.report(now, HolderId(70), demands_of(500.0));
    let sent = home.demands(now, FRESH).remove(0);
    assert_eq!(sent.epoch, 1);
    (home, sent.number)
}

/// Whether a home sends any demands in a tick, periodic or urgent.
fn sends_demands(home: &mut Quotas, now: Duration) -> bool {
    let needy = Demand { rate: 500.0, need: 9_000.0, ..Demand::default() };
    home.report(now, HolderId(70), vec![TenantDemand { tenant: "large".into(), demand: needy }]);
    !home.demands(now, FRESH).is_empty() || !home.urgent_demands(now, FRESH).is_empty()
}

#[test]
fn refused_epoch_is_not_used_again() {
    let mut now = Duration::from_secs(1);
    let (mut home, number) = home_with_sent_demands(now);
    home.grants_received(now, number, Vec::new());
    assert_eq!(home.refused_epochs().refused_elsewhere, 1);
    // Longer than a lease, including a long pause of the process.
    for step in [0, 15, 250, 500, 900, 8_000, 8_250, 20_000] {
        assert!(!sends_demands(&mut home, now + Duration::from_millis(step)), "after {step} ms");
    }
    now += Duration::from_secs(21);
    home.view_changed(&view(2, &[1, 2, 3]));
    assert!(sends_demands(&mut home, now), "the next epoch is usable");
}

#[test]
fn late_or_duplicate_refusal_does_not_affect_later_epochs() {
    let now = Duration::from_secs(1);
    let (mut home, first) = home_with_sent_demands(now);
    home.view_changed(&view(2, &[1, 2, 3]));
    let second = home.demands(now, FRESH).remove(0);
    home.grants_received(now, first, Vec::new());
    home.grants_received(now, first, Vec::new());
    assert!(sends_demands(&mut home, now));
    home.grants_received(now, second.number, Vec::new());
    assert!(!sends_demands(&mut home, now));
    home.grants_received(now, first, Vec::new());
    assert!(!sends_demands(&mut home, now), "a refusal of an older epoch doesn't change the current one");
    home.view_changed(&view(4, &[1, 2, 3]));
    assert!(sends_demands(&mut home, now));
}

/// Numbers start over with each incarnation: an answer to an earlier incarnation's demands must be ignored.
#[test]
fn refusal_with_an_unknown_number_is_ignored() {
    let now = Duration::from_secs(1);
    let mut home = quotas(9);
    home.grants_received(now, 1, Vec::new());
    home.report(now, HolderId(70), demands_of(500.0));
    assert!(sends_demands(&mut home, now));
}

/// Guards against using a refused epoch again: a process that restarts after a refusal may find the old view on its disk.
#[test]
fn home_sends_no_demands_before_its_view_is_confirmed() {
    let now = Duration::from_secs(1);
    let mut home = quotas(9);
    home.report(now, HolderId(70), demands_of(500.0));
    assert!(home.demands(now, None).is_empty());
    assert!(home.urgent_demands(now, None).is_empty());
    assert!(!home.demands(now, Some(Duration::from_secs(30))).is_empty(), "once is enough");
}

/// Guards against two owners granting in different epochs: the later owner refuses older demands, and the former owner
/// stops granting once it observes the later epoch.
#[test]
fn owners_agree_on_the_later_epoch() {
    let now = Duration::from_secs(1);
    let number = owner_of_large();
    let (mut former, mut later) = (quotas(number), quotas(number));
    later.view_changed(&view(2, &[1, 2, 3]));
    assert_eq!(answer(&mut later, now, 9, 1, demands_of(500.0), FRESH, &[]), OwnerAnswer::StaleEpoch);
    assert_eq!(later.refused_epochs().refused_here, 1);
    assert_eq!(granted(&mut later, now, 9, 2, demands_of(500.0), FRESH).len(), 1);
    // The former owner still grants until it observes the later epoch.
    assert_eq!(granted(&mut former, now, 9, 1, demands_of(500.0), FRESH).len(), 1);
    assert_eq!(answer(&mut former, now, 9, 2, demands_of(500.0), FRESH, &[]), OwnerAnswer::Unconfirmed);
    assert_eq!(answer(&mut former, now, 9, 1, demands_of(500.0), FRESH, &[]), OwnerAnswer::Unconfirmed);
    former.refresh_owned(now + Duration::from_secs(9), FRESH, &[]);
    assert!(!sends_demands(&mut former, now + Duration::from_secs(9)));
    former.view_changed(&view(2, &[1, 2, 3]));
    assert_eq!(granted(&mut former, now, 9, 2, demands_of(500.0), FRESH).len(), 1);
}
