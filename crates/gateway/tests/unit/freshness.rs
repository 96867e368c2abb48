use super::*;

const REFUSE_WITHIN: Duration = Duration::from_millis(2_000);
const ACCEPT_WITHIN: Duration = Duration::from_millis(5_000);

fn at(milliseconds: u64) -> Now {
    Duration::from_millis(milliseconds)
}

fn freshness(accept_keys_within: Option<Duration>) -> Freshness {
    Freshness::new(FreshnessBounds { refuse_within: REFUSE_WITHIN, accept_keys_within })
}

#[test]
fn unconfirmed_configuration_refuses_nothing() {
    assert!(!freshness(None).may_refuse(at(0)));
    assert!(!freshness(None).may_refuse(at(60_000)));
}

#[test]
fn refuses_until_configuration_bound_elapses() {
    let mut freshness = freshness(None);
    freshness.confirm(at(1_000));
    assert!(freshness.may_refuse(at(3_000)));
    assert!(!freshness.may_refuse(at(3_001)));
    freshness.confirm(at(2_900));
    assert!(freshness.may_refuse(at(4_900)));
}

#[test]
fn older_confirmation_is_ignored() {
    let mut freshness = freshness(None);
    freshness.confirm(at(5_000));
    freshness.confirm(at(1_000));
    assert!(freshness.may_refuse(at(7_000)));
}

#[test]
fn keys_are_accepted_within_revocation_bound() {
    let mut bounded = freshness(Some(ACCEPT_WITHIN));
    assert!(!bounded.may_accept_keys(at(0)));
    bounded.confirm(at(1_000));
    assert!(bounded.may_accept_keys(at(6_000)));
    assert!(!bounded.may_accept_keys(at(6_001)));
    assert!(freshness(None).may_accept_keys(at(60_000)));
}
