use super::{Groups, Member};
use crate::hash::hash_id;
use crate::interface::BackendKey;
use crate::kinds::Kind;
use std::time::Duration;

fn members(count: u32) -> Vec<Member> {
    let member = |index: u32| Member {
        zone: ["a", "b", "c"][index as usize % 3].into(),
        hash: hash_id(&format!("i-{index}")),
        backend: BackendKey(index),
        same_zone: index.is_multiple_of(3),
    };
    (0..count).map(member).collect()
}

/// Requests per type, enough to partition a small number of backends.
const REQUESTS: u32 = 100;

fn partitioned(count: u32, traffic: [f64; 4]) -> Groups {
    let mut groups = Groups::default();
    for (kind, units) in Kind::ALL.into_iter().zip(traffic).filter(|(_, units)| *units > 0.0) {
        (0..REQUESTS).for_each(|_| groups.observe(Duration::ZERO, kind, units / f64::from(REQUESTS)));
    }
    groups.rebuild(Duration::from_secs(2), members(count), 0);
    groups
}

fn sizes(groups: &Groups) -> [usize; 4] {
    Kind::ALL.map(|kind| groups.group(kind).all.entries().len())
}

#[test]
fn groups_are_sized_by_load() {
    assert_eq!(sizes(&partitioned(12, [1.0, 1.0, 2.0, 2.0])), [2, 2, 4, 4]);
}

#[test]
fn every_backend_is_in_some_group() {
    let groups = partitioned(11, [5.0, 1.0, 2.0, 3.0]);
    let mut all: Vec<BackendKey> = Kind::ALL
        .iter()
        .flat_map(|kind| groups.group(*kind).all.entries().iter().map(|entry| entry.backend))
        .collect();
    all.sort();
    all.dedup();
    assert_eq!(all.len(), 11);
}

#[test]
fn types_share_backends_if_there_are_fewer_backends_than_types() {
    assert_eq!(sizes(&partitioned(2, [1.0, 1.0, 1.0, 1.0])), [1; 4]);
    assert_eq!(sizes(&partitioned(1, [1.0, 50.0, 1.0, 1.0])), [1; 4]);
}

#[test]
fn a_type_without_traffic_uses_all_backends() {
    assert_eq!(sizes(&partitioned(6, [1.0, 0.0, 1.0, 0.0])), [3, 6, 3, 6]);
}

#[test]
fn a_large_group_has_members_in_the_local_zone() {
    let groups = partitioned(12, [1.0, 0.0, 1.0, 0.0]);
    for kind in [Kind::Plain, Kind::LongResponse] {
        assert_eq!(groups.group(kind).same_zone.entries().len(), 2);
    }
}

#[test]
fn a_removed_backend_leaves_its_group_before_the_rebuild_interval_elapses() {
    let mut groups = partitioned(12, [1.0, 0.0, 1.0, 0.0]);
    let left = members(12).split_off(1);
    groups.rebuild(Duration::from_secs(3), left, 0);
    assert!(!groups.rebuild_due(Duration::from_secs(3)));
    assert_eq!(sizes(&groups)[0] + sizes(&groups)[2], 11);
}

#[test]
fn the_rebuild_interval_is_two_and_then_thirty_seconds() {
    let mut groups = Groups::default();
    assert!(!groups.rebuild_due(Duration::from_secs(100)));
    (0..3).for_each(|_| groups.observe(Duration::from_secs(100), Kind::Plain, 1.0));
    assert!(!groups.rebuild_due(Duration::from_millis(101_900)));
    assert!(groups.rebuild_due(Duration::from_secs(102)));
    groups.rebuild(Duration::from_secs(102), members(3), 0);
    assert!(!groups.rebuild_due(Duration::from_secs(131)));
    assert!(groups.rebuild_due(Duration::from_secs(132)));
}

/// Guards against partitions from too few requests: group boundaries that differ between gateways by several backends
/// give a key a different home backend at each gateway.
#[test]
fn few_requests_do_not_partition_many_backends() {
    let mut groups = Groups::default();
    let observe = |groups: &mut Groups, count: u32, seconds: u64| {
        for request in 0..count {
            let kind = if request % 3 == 0 { Kind::Both } else { Kind::Plain };
            groups.observe(Duration::from_secs(seconds), kind, kind.load_units());
        }
    };
    observe(&mut groups, 200, 0);
    groups.rebuild(Duration::from_secs(2), members(60), 0);
    assert_eq!(sizes(&groups), [60; 4]);
    assert_eq!(groups.home_group(Kind::Plain).all.entries().len(), 60);
    assert!(
        groups.rebuild_due(Duration::from_secs(4)),
        "a rebuild is due soon and keeps the recorded traffic"
    );
    observe(&mut groups, 600, 3);
    groups.rebuild(Duration::from_secs(4), members(60), 0);
    let [light, _, _, heavy] = sizes(&groups);
    assert_eq!(light + heavy, 60);
    assert_eq!(groups.home_group(Kind::Plain).all.entries().len(), light);
}

#[test]
fn groups_without_members_are_empty() {
    let groups = partitioned(0, [1.0, 1.0, 1.0, 1.0]);
    assert_eq!(sizes(&groups), [0; 4]);
}
