//! What `check` says beside "sound".

use std::path::Path;

use crankpick_settings::Settings;

use super::hints;

const SETTINGS: &str =
    "node=n\nrole=control-plane\nip=10.0.0.1\nzone=z\nport_range=7500,7515\nserves=control\n\
    listen.control=10.0.0.1:80\nseeds=10.0.0.1:80,10.0.0.2:80,10.0.0.3:80\ncounts_for_quorum=true\n";

fn codes(more: &str) -> Vec<String> {
    let text = format!("{SETTINGS}{more}\n");
    let settings = Settings::parse(Path::new("settings"), text.as_bytes()).unwrap();
    hints(&settings).into_iter().map(|hint| hint[..7].to_owned()).collect()
}

#[test]
fn a_member_with_a_disk_and_enough_seeds_needs_no_hint() {
    assert!(codes("data_dir=/data\ntolerate.nodes=1").is_empty());
}

#[test]
fn a_loss_to_be_borne_without_a_disk_is_hinted_at() {
    assert_eq!(codes("tolerate.nodes=1"), ["SYS-108"]);
    assert!(codes("tolerate.nodes=0").is_empty());
}

#[test]
fn fewer_seeds_than_members_needed_are_hinted_at() {
    assert_eq!(codes("data_dir=/data\ntolerate.nodes=2"), ["SYS-109"]);
}
