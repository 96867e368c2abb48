//! Owners and homes of tenants' quotas: who owns what under which epoch, and what the sum may be.

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

/// What an owner answers to one home's demands.
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

/// What an owner grants to one home.
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
        let grants = granted(&mut quotas, now, 9, 1, asked(500.0), FRESH);
        assert_eq!(grants.len(), usize::from(number == owner));
        assert!(granted(&mut quotas, now, 9, 0, asked(500.0), FRESH).is_empty());
        assert!(granted(&mut quotas, now, 9, 2, asked(500.0), FRESH).is_empty());
    }
}

#[test]
fn an_owner_in_doubt_of_its_view_grants_nothing() {
    let now = Duration::from_secs(1);
    let mut quotas = quotas(owner_of_large());
    assert!(granted(&mut quotas, now, 9, 1, asked(500.0), None).is_empty());
    let stale = Some(Duration::from_millis(1_001));
    assert!(granted(&mut quotas, now, 9, 1, asked(500.0), stale).is_empty());
}

#[test]
fn an_owner_forgets_what_it_lent_unless_it_owned_in_the_view_before() {
    let now = Duration::from_secs(1);
    let number = owner_of_large();
    let mut quotas = quotas(number);
    granted(&mut quotas, now, 9, 1, asked(500.0), FRESH);
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
    let sent = quotas.demands(now, FRESH).remove(0);
    assert_eq!(sent.to, place(number));
    let grants = granted(&mut quotas, now, u64::from(number), sent.epoch, sent.demands, FRESH);
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
    assert!(granted(&mut quotas, now, 9, 1, unknown, FRESH).is_empty());
}

#[test]
fn a_home_that_is_cut_off_lends_nothing_past_its_lease() {
    let begin = Duration::from_secs(1);
    let holder = HolderId(70);
    let mut home = quotas(owner_of_large());
    home.report(begin, holder, asked(500.0));
    let sent = home.demands(begin, FRESH).remove(0);
    let grants = granted(&mut home, begin, 9, sent.epoch, sent.demands, FRESH);
    home.grants_received(begin, sent.number, grants);
    let lent_until = begin + LEASE_DURATION;
    let mut now = begin;
    while now < lent_until + LEASE_DURATION {
        let demands = home.demands(now, FRESH);
        let answered: usize = demands
            .into_iter()
            .map(|sent| granted(&mut home, now, 9, sent.epoch, sent.demands, None).len())
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
    let credit =
        |quotas: &mut Quotas, home: u64| match answer(quotas, now, home, 1, asked.clone(), FRESH, &others) {
            OwnerAnswer::Granted(grants) => grants[0].grant.credit,
            other => panic!("{other:?}"),
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

/// A home that asks in the first epoch, and the number of its demands.
fn home_that_asked(now: Duration) -> (Quotas, u64) {
    let mut home = quotas(9);
    home.report(now, HolderId(70), asked(500.0));
    let sent = home.demands(now, FRESH).remove(0);
    assert_eq!(sent.epoch, 1);
    (home, sent.number)
}

/// Whether a home asks anybody in a tick, in whatever way.
fn asks(home: &mut Quotas, now: Duration) -> bool {
    let needy = Demand { rate: 500.0, need: 9_000.0, ..Demand::default() };
    home.report(now, HolderId(70), vec![TenantDemand { tenant: "large".into(), demand: needy }]);
    !home.demands(now, FRESH).is_empty() || !home.urgent_demands(now, FRESH).is_empty()
}

#[test]
fn a_refused_epoch_is_not_used_again() {
    let mut now = Duration::from_secs(1);
    let (mut home, number) = home_that_asked(now);
    home.grants_received(now, number, Vec::new());
    assert_eq!(home.refused_epochs().refused_elsewhere, 1);
    // Longer than a lease, with a pause of the process in it.
    for step in [0, 15, 250, 500, 900, 8_000, 8_250, 20_000] {
        assert!(!asks(&mut home, now + Duration::from_millis(step)), "after {step} ms");
    }
    now += Duration::from_secs(21);
    home.view_changed(&view(2, &[1, 2, 3]));
    assert!(asks(&mut home, now), "the next epoch is another one");
}

#[test]
fn a_refusal_that_comes_late_or_twice_stops_no_later_epoch() {
    let now = Duration::from_secs(1);
    let (mut home, first) = home_that_asked(now);
    home.view_changed(&view(2, &[1, 2, 3]));
    let second = home.demands(now, FRESH).remove(0);
    home.grants_received(now, first, Vec::new());
    home.grants_received(now, first, Vec::new());
    assert!(asks(&mut home, now));
    home.grants_received(now, second.number, Vec::new());
    assert!(!asks(&mut home, now));
    home.grants_received(now, first, Vec::new());
    assert!(!asks(&mut home, now), "a refusal of an older epoch says nothing of this one");
    home.view_changed(&view(4, &[1, 2, 3]));
    assert!(asks(&mut home, now));
}

/// Numbers begin anew at each start: an answer to the demands of an earlier incarnation is none.
#[test]
fn a_refusal_of_nothing_that_was_sent_is_no_refusal() {
    let now = Duration::from_secs(1);
    let mut home = quotas(9);
    home.grants_received(now, 1, Vec::new());
    home.report(now, HolderId(70), asked(500.0));
    assert!(asks(&mut home, now));
}

/// A process that was refused and restarted may find the old view on its disk.
#[test]
fn a_home_asks_nobody_before_its_view_was_confirmed() {
    let now = Duration::from_secs(1);
    let mut home = quotas(9);
    home.report(now, HolderId(70), asked(500.0));
    assert!(home.demands(now, None).is_empty());
    assert!(home.urgent_demands(now, None).is_empty());
    assert!(!home.demands(now, Some(Duration::from_secs(30))).is_empty(), "once is enough");
}

/// The owner of the later epoch refuses, and so the former one learns that it is none; and the other way round.
#[test]
fn two_owners_that_hear_of_one_another_agree_on_the_later_epoch() {
    let now = Duration::from_secs(1);
    let number = owner_of_large();
    let (mut former, mut later) = (quotas(number), quotas(number));
    later.view_changed(&view(2, &[1, 2, 3]));
    assert_eq!(answer(&mut later, now, 9, 1, asked(500.0), FRESH, &[]), OwnerAnswer::StaleEpoch);
    assert_eq!(later.refused_epochs().refused_here, 1);
    assert_eq!(granted(&mut later, now, 9, 2, asked(500.0), FRESH).len(), 1);
    // The former one still grants, until it hears of the later epoch from anyone.
    assert_eq!(granted(&mut former, now, 9, 1, asked(500.0), FRESH).len(), 1);
    assert_eq!(answer(&mut former, now, 9, 2, asked(500.0), FRESH, &[]), OwnerAnswer::Unconfirmed);
    assert_eq!(answer(&mut former, now, 9, 1, asked(500.0), FRESH, &[]), OwnerAnswer::Unconfirmed);
    former.refresh_owned(now + Duration::from_secs(9), FRESH, &[]);
    assert!(!asks(&mut former, now + Duration::from_secs(9)));
    former.view_changed(&view(2, &[1, 2, 3]));
    assert_eq!(granted(&mut former, now, 9, 2, asked(500.0), FRESH).len(), 1);
}
