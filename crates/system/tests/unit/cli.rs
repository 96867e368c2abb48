//! The hints of `check` for valid settings.

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
fn no_hint_for_a_member_with_a_disk_and_enough_seeds() {
    assert!(codes("data_dir=/data\ntolerate.nodes=1").is_empty());
}

#[test]
fn hint_for_required_fault_tolerance_without_a_disk() {
    assert_eq!(codes("tolerate.nodes=1"), ["SYS-108"]);
    assert!(codes("tolerate.nodes=0").is_empty());
}

#[test]
fn hint_for_fewer_seeds_than_required_members() {
    assert_eq!(codes("data_dir=/data\ntolerate.nodes=2"), ["SYS-109"]);
}
