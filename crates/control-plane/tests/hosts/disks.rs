//! A disk that fails all writes from the first start on: its process serves requests but isn't a member, reports the
//! failure in its status, and becomes a member once the disk accepts writes.

use crate::support::{eventually, Cluster, Machine};
use reqwest::StatusCode;

const FIRST: &str = r#"{"generation":1,"routes":[],"services":[]}"#;

fn warnings(cluster: &Cluster, at: usize) -> Vec<String> {
    let warnings = cluster.status(at).map(|status| status.field("warnings")).unwrap_or_default();
    let codes = warnings.as_array().into_iter().flatten();
    codes.filter_map(|code| code.as_str().map(str::to_owned)).collect()
}

#[test]
fn process_with_a_failing_disk_serves_and_joins_after_the_repair() {
    let cluster = Cluster::start(&[Machine::Disk, Machine::Disk, Machine::FailingDisk]);
    cluster.wait_for_members(0, 2);
    cluster.wait_for_members(2, 2);
    eventually("a warning about the disk", || {
        let status = cluster.status(2)?;
        (status.field("disk_healthy") == false && warnings(&cluster, 2).contains(&"CTL-301".to_owned()))
            .then_some(())
    });
    assert_eq!(cluster.status(0).unwrap().field("disk_healthy"), true);
    assert_eq!(cluster.put_until_definite(2, "0", FIRST).status, StatusCode::OK);
    let read = eventually("a read", || cluster.get(2).filter(|answer| !answer.status.is_server_error()));
    assert!(read.status == StatusCode::OK || read.location.is_some(), "{read:?}");
    cluster.repair_disk(2);
    cluster.wait_for_members(0, 3);
    eventually("no warning about the disk", || {
        (cluster.status(2)?.field("disk_healthy") == true
            && !warnings(&cluster, 2).contains(&"CTL-301".to_owned()))
        .then_some(())
    });
}
