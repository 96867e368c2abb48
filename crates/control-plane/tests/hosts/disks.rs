//! A disk that refuses every write from the first start on: its process serves, counts for nothing, says so, and takes its
//! place once the disk takes writes.

use crate::support::{in_the_end, Core, Machine};
use reqwest::StatusCode;

const FIRST: &str = r#"{"generation":1,"routes":[],"services":[]}"#;

fn warnings(core: &Core, at: usize) -> Vec<String> {
    let warnings = core.status(at).map(|status| status.field("warnings")).unwrap_or_default();
    let codes = warnings.as_array().into_iter().flatten();
    codes.filter_map(|code| code.as_str().map(str::to_owned)).collect()
}

#[test]
fn a_process_whose_disk_refuses_from_the_first_start_serves_and_comes_back() {
    let core = Core::start(&[Machine::Disk, Machine::Disk, Machine::RefusingDisk]);
    core.wait_for_members(0, 2);
    core.wait_for_members(2, 2);
    in_the_end("a word of the disk", || {
        let status = core.status(2)?;
        (status.field("disk_healthy") == false && warnings(&core, 2).contains(&"CTL-301".to_owned()))
            .then_some(())
    });
    assert_eq!(core.status(0).unwrap().field("disk_healthy"), true);
    assert_eq!(core.put_until_clear(2, "0", FIRST).status, StatusCode::OK);
    let read = in_the_end("a read", || core.get(2).filter(|answer| !answer.status.is_server_error()));
    assert!(read.status == StatusCode::OK || read.location.is_some(), "{read:?}");
    core.mend_disk(2);
    core.wait_for_members(0, 3);
    in_the_end("no word of the disk", || {
        (core.status(2)?.field("disk_healthy") == true && !warnings(&core, 2).contains(&"CTL-301".to_owned()))
            .then_some(())
    });
}
