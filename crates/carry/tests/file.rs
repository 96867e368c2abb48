//! The fleet's configuration file: valid ones are read, and each invalid one is rejected with file, line and
//! reason.

use std::path::PathBuf;

use crankpick_carry::file::{read, FleetFile};

const VALID: &str = r#"fleet = "wallet"
name = "n1"
state = "/var/lib/crankpick"
lease_us = 3_000_000
renew_us = 500_000

[[voters]]
name = "n1"
address = "127.0.0.1:7950"
[[voters]]
name = "n2"
address = "127.0.0.2:7950"
[[voters]]
name = "n3"
address = "127.0.0.3:7950"
"#;

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("crankpick-file-{}-{name}.toml", std::process::id()));
    std::fs::write(&path, text).expect("a writable temporary folder");
    path
}

fn parse(name: &str, text: &str, own: Option<&str>) -> Result<FleetFile, String> {
    let path = write_file(name, text);
    let result = read(&path, own);
    let _ = std::fs::remove_file(&path);
    result.map_err(|why| why.replace(&path.display().to_string(), "FILE"))
}

#[test]
fn a_sound_file_is_read_and_may_be_shared_by_all() {
    let file = parse("sound", VALID, None).expect("sound");
    assert_eq!(
        (file.plan.times.lease_us, file.plan.times.renew_us, file.wait_us),
        (3_000_000, 500_000, 1_000_000)
    );
    assert_eq!(file.listen, Some("127.0.0.1:7950".parse().expect("an address")));
    let shared = VALID.replace("name = \"n1\"\nstate", "state");
    let other = parse("shared", &shared, Some("n9")).expect("sound");
    assert_eq!((other.plan.name.as_str(), other.listen), ("n9", None), "no voter, so it listens nowhere");
    assert_eq!(
        parse("second", &shared, Some("n2")).expect("sound").listen.map(|at| at.ip().to_string()).as_deref(),
        Some("127.0.0.2")
    );
}

#[test]
fn each_unsound_file_is_refused_with_its_line_and_the_reason() {
    let without = |part: &str| VALID.replace(part, "");
    let with = |from: &str, to: &str| VALID.replacen(from, to, 1);
    let voters = VALID.find("[[voters]]").expect("there");
    let two = VALID[..VALID.rfind("[[voters]]").expect("there")].to_owned();
    let cases: Vec<(String, &str)> = vec![
        (VALID[..voters].to_owned(), "FILE:1: no voters"),
        (two, "FILE:11: 2 voters: an even number"),
        (
            with("name = \"n1\"\nstate", "name = \"n7\"\nlisten = \"127.0.0.7:1\"\nstate"),
            "FILE:3: listens, but \"n7\"",
        ),
        (
            with("renew_us = 500_000", "renew_us = 1_000_001"),
            "FILE:5: renew_us 1000001: a lease of 3000000 is shorter",
        ),
        (with("renew_us = 500_000", "renew_us = 0"), "FILE:5: renew_us 0"),
        (with("name = \"n3\"", "name = \"n2\""), "FILE:14: two voters named \"n2\""),
        (with("127.0.0.3:7950", "127.0.0.2:7950"), "FILE:15: address 127.0.0.2:7950 twice"),
        (with("lease_us", "leese_us"), "FILE:4: unknown field `leese_us`"),
        (with("3_000_000", "1_000"), "FILE:4: lease_us 1000: from 200000"),
        (with("3_000_000", "-1"), "FILE:4: "),
        (with("3_000_000", "\"3s\""), "FILE:4: "),
        (with("127.0.0.1:7950", "localhost"), "FILE:9: "),
        (without("state = \"/var/lib/crankpick\"\n"), "FILE:2: \"n1\" is a voter and has no folder"),
        (with("fleet = \"wallet\"", "fleet = \"\""), "FILE:1: fleet: 1 to 64"),
        (with("fleet = \"wallet\"\n", ""), "FILE:1: missing field `fleet`"),
        (with("name = \"n1\"\nstate", "name = \"a b\"\nstate"), "FILE:2: name \"a b\""),
        (with("name = \"n1\"\nstate", "state"), "FILE:1: no name"),
        (with("[[voters]]", "[[voters]"), "FILE:7: "),
        (with("name = \"n2\"", "name = \"n2\"\nport = 1"), "FILE:12: unknown field `port`"),
        (
            with("lease_us = 3_000_000", "lease_us = 3_000_000\nwait_us = 99_000_000"),
            "FILE:5: wait_us: 60000000 at most",
        ),
    ];
    for (number, (text, start)) in cases.iter().enumerate() {
        let why = parse(&format!("bad-{number}"), text, None).expect_err(start);
        assert!(why.starts_with(start), "{number}: {why} instead of {start}");
        assert!(!why.contains('\n'), "{why}");
    }
    let absent = read(&PathBuf::from("/nowhere/fleet.toml"), None).expect_err("absent");
    assert!(absent.starts_with("/nowhere/fleet.toml: "), "{absent}");
}

/// The sample in the repository is valid.
#[test]
fn the_sample_is_sound() {
    let sample = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../deploy/fleet.toml");
    read(&sample, Some("n1")).expect("sound");
}
