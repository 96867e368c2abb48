//! Each kind of unsound settings is refused with its code, in one line that names the place and the remedy.

use std::path::Path;

use crankpick_settings::{Settings, SettingsCode, SettingsError};

const EXAMPLE: &str = include_str!("documents/example.conf");

fn refused(bytes: &[u8]) -> SettingsError {
    Settings::parse(Path::new("local.conf"), bytes).expect_err("they must be refused")
}

/// The refusal of the example with another value for a key.
fn refused_with(key: &str, value: &str) -> SettingsError {
    let changed: Vec<String> = EXAMPLE
        .lines()
        .map(|line| match line.split_once('=') {
            Some((name, _)) if name == key => format!("{key}={value}"),
            _ => line.to_owned(),
        })
        .collect();
    refused(changed.join("\n").as_bytes())
}

/// The line of a key in the example.
fn line_of(key: &str) -> Option<usize> {
    EXAMPLE.lines().position(|line| line.split('=').next() == Some(key)).map(|place| place + 1)
}

#[test]
fn a_file_that_is_not_there() {
    let error = Settings::read("/nowhere/local.conf").unwrap_err();
    assert_eq!((error.code, error.line), (SettingsCode::Unreadable, None));
}

#[test]
fn a_folder_in_place_of_a_file() {
    assert_eq!(Settings::read(env!("CARGO_MANIFEST_DIR")).unwrap_err().code, SettingsCode::Unreadable);
}

#[test]
fn a_file_without_bound() {
    assert_eq!(Settings::read("/dev/zero").unwrap_err().code, SettingsCode::TooLarge);
}

#[test]
fn lines_that_are_no_text() {
    let error = refused(b"node=n\nzone=\xff\n");
    assert_eq!((error.code, error.line), (SettingsCode::Malformed, Some(2)));
}

#[test]
fn an_escape_without_its_digits() {
    let error = refused(b"node=n\nzone=\\u00\n");
    assert_eq!((error.code, error.line), (SettingsCode::Malformed, Some(2)));
}

#[test]
fn keys_that_are_missing() {
    for key in ["node", "zone", "ip", "port_range"] {
        let error = refused_with(key, "");
        assert_eq!((error.code, error.line), (SettingsCode::Missing, line_of(key)), "{key}");
        let without: String = EXAMPLE.lines().filter(|line| !line.starts_with(&format!("{key}="))).fold(
            String::new(),
            |mut text, line| {
                text.push_str(line);
                text.push('\n');
                text
            },
        );
        let error = refused(without.as_bytes());
        assert_eq!((error.code, error.line), (SettingsCode::Missing, None), "{key}");
    }
}

#[test]
fn an_address_that_is_missing_for_what_the_role_serves() {
    for key in ["listen.front", "listen.ready", "listen.control"] {
        let error = refused_with(key, "");
        assert_eq!((error.code, error.line), (SettingsCode::Missing, line_of("serves")), "{key}");
        assert!(error.text.contains(key), "{error}");
    }
}

#[test]
fn values_that_are_no_numbers() {
    let keys = ["limits.cpu_share", "limits.memory_mb", "limits.disk_mb", "heartbeat_ms", "tolerate.nodes"];
    let bounds =
        EXAMPLE.lines().filter_map(|line| line.split('=').next()).filter(|key| key.starts_with("bounds."));
    for key in keys.into_iter().chain(bounds.filter(|key| *key != "bounds.revoked")) {
        for value in ["soon", "-1", "NaN", "inf", "1e300", "3s"] {
            let error = refused_with(key, value);
            assert_eq!((error.code, error.line), (SettingsCode::Number, line_of(key)), "{key}={value}");
        }
    }
}

#[test]
fn a_machine_that_has_nothing() {
    for key in ["limits.cpu_share", "limits.cpus", "limits.memory_mb", "limits.max_fds", "limits.link_mbps"] {
        assert_eq!(refused_with(key, "0").code, SettingsCode::Number, "{key}");
    }
}

#[test]
fn values_that_are_neither_true_nor_false() {
    for key in ["bootstrap", "counts_for_quorum", "bounds.revoked"] {
        let error = refused_with(key, "yes");
        assert_eq!((error.code, error.line), (SettingsCode::Flag, line_of(key)), "{key}");
    }
}

#[test]
fn values_that_are_no_addresses() {
    for value in ["here", "10.0.0", "10.0.0.1:80", "::1"] {
        assert_eq!(refused_with("ip", value).code, SettingsCode::Address, "{value}");
    }
    for key in ["listen.front", "listen.ready", "listen.control", "seeds"] {
        for value in ["10.0.0.1", "10.0.0.1:70000", "host:80", ":80"] {
            let error = refused_with(key, value);
            assert_eq!((error.code, error.line), (SettingsCode::Address, line_of(key)), "{key}={value}");
        }
    }
    assert_eq!(refused_with("seeds", "10.0.0.1:80,10.0.0.2").code, SettingsCode::Address);
}

#[test]
fn ranges_of_ports_that_are_none() {
    for value in ["7500", "7500,7400", "0,10", "7500,70000", "a,b", "7500,7515,7520"] {
        let error = refused_with("port_range", value);
        assert_eq!((error.code, error.line), (SettingsCode::Ports, line_of("port_range")), "{value}");
    }
}

#[test]
fn what_a_refusal_says() {
    insta::assert_snapshot!(refused_with("bounds.drain_ms", "soon"), @r#"local.conf:37: SET-106 bounds.drain_ms is not a number from 0 on: "soon"; give a number within the bounds"#);
}

#[test]
fn a_refusal_is_one_line() {
    for value in ["a\\nb", "\\r\\n", "\\u0000"] {
        assert_eq!(refused_with("ip", value).to_string().lines().count(), 1);
    }
}
