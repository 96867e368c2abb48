//! Each kind of invalid settings is rejected with its code, in one line with the location and the remedy.

use std::path::Path;

use crankpick_settings::{Settings, SettingsCode, SettingsError};

const EXAMPLE: &str = include_str!("documents/example.conf");

fn rejected(bytes: &[u8]) -> SettingsError {
    Settings::parse(Path::new("local.conf"), bytes).expect_err("the settings must be rejected")
}

/// The error for the example with another value of a key.
fn rejected_with(key: &str, value: &str) -> SettingsError {
    let changed: Vec<String> = EXAMPLE
        .lines()
        .map(|line| match line.split_once('=') {
            Some((name, _)) if name == key => format!("{key}={value}"),
            _ => line.to_owned(),
        })
        .collect();
    rejected(changed.join("\n").as_bytes())
}

/// The line of a key in the example.
fn line_of(key: &str) -> Option<usize> {
    EXAMPLE.lines().position(|line| line.split('=').next() == Some(key)).map(|index| index + 1)
}

#[test]
fn missing_file() {
    let error = Settings::read("/nowhere/local.conf").unwrap_err();
    assert_eq!((error.code, error.line), (SettingsCode::Unreadable, None));
}

#[test]
fn directory_instead_of_a_file() {
    assert_eq!(Settings::read(env!("CARGO_MANIFEST_DIR")).unwrap_err().code, SettingsCode::Unreadable);
}

#[test]
fn endless_file() {
    assert_eq!(Settings::read("/dev/zero").unwrap_err().code, SettingsCode::TooLarge);
}

#[test]
fn invalid_utf8() {
    let error = rejected(b"node=n\nzone=\xff\n");
    assert_eq!((error.code, error.line), (SettingsCode::MalformedLine, Some(2)));
}

#[test]
fn incomplete_escape_sequence() {
    let error = rejected(b"node=n\nzone=\\u00\n");
    assert_eq!((error.code, error.line), (SettingsCode::MalformedLine, Some(2)));
}

#[test]
fn missing_keys() {
    for key in ["node", "zone", "ip", "port_range"] {
        let error = rejected_with(key, "");
        assert_eq!((error.code, error.line), (SettingsCode::MissingKey, line_of(key)), "{key}");
        let without: String = EXAMPLE.lines().filter(|line| !line.starts_with(&format!("{key}="))).fold(
            String::new(),
            |mut text, line| {
                text.push_str(line);
                text.push('\n');
                text
            },
        );
        let error = rejected(without.as_bytes());
        assert_eq!((error.code, error.line), (SettingsCode::MissingKey, None), "{key}");
    }
}

#[test]
fn missing_listen_address_for_a_served_role() {
    for key in ["listen.front", "listen.ready", "listen.control"] {
        let error = rejected_with(key, "");
        assert_eq!((error.code, error.line), (SettingsCode::MissingKey, line_of("serves")), "{key}");
        assert!(error.message.contains(key), "{error}");
    }
}

#[test]
fn invalid_numbers() {
    let keys = ["limits.cpu_share", "limits.memory_mb", "limits.disk_mb", "heartbeat_ms", "tolerate.nodes"];
    let bounds =
        EXAMPLE.lines().filter_map(|line| line.split('=').next()).filter(|key| key.starts_with("bounds."));
    for key in keys.into_iter().chain(bounds.filter(|key| *key != "bounds.revoked")) {
        for value in ["soon", "-1", "NaN", "inf", "1e300", "3s"] {
            let error = rejected_with(key, value);
            assert_eq!(
                (error.code, error.line),
                (SettingsCode::InvalidNumber, line_of(key)),
                "{key}={value}"
            );
        }
    }
}

#[test]
fn zero_resources() {
    for key in ["limits.cpu_share", "limits.cpus", "limits.memory_mb", "limits.max_fds", "limits.link_mbps"] {
        assert_eq!(rejected_with(key, "0").code, SettingsCode::InvalidNumber, "{key}");
    }
}

#[test]
fn invalid_booleans() {
    for key in ["bootstrap", "counts_for_quorum", "bounds.revoked"] {
        let error = rejected_with(key, "yes");
        assert_eq!((error.code, error.line), (SettingsCode::InvalidBoolean, line_of(key)), "{key}");
    }
}

#[test]
fn invalid_addresses() {
    for value in ["here", "10.0.0", "10.0.0.1:80", "::1"] {
        assert_eq!(rejected_with("ip", value).code, SettingsCode::InvalidAddress, "{value}");
    }
    for key in ["listen.front", "listen.ready", "listen.control", "seeds"] {
        for value in ["10.0.0.1", "10.0.0.1:70000", "host:80", ":80"] {
            let error = rejected_with(key, value);
            assert_eq!(
                (error.code, error.line),
                (SettingsCode::InvalidAddress, line_of(key)),
                "{key}={value}"
            );
        }
    }
    assert_eq!(rejected_with("seeds", "10.0.0.1:80,10.0.0.2").code, SettingsCode::InvalidAddress);
}

#[test]
fn invalid_port_ranges() {
    for value in ["7500", "7500,7400", "0,10", "7500,70000", "a,b", "7500,7515,7520"] {
        let error = rejected_with("port_range", value);
        assert_eq!(
            (error.code, error.line),
            (SettingsCode::InvalidPortRange, line_of("port_range")),
            "{value}"
        );
    }
}

#[test]
fn error_message() {
    insta::assert_snapshot!(rejected_with("bounds.drain_ms", "soon"), @r#"local.conf:37: SET-106 bounds.drain_ms is not a number from 0 on: "soon"; give a number within the bounds"#);
}

#[test]
fn error_is_one_line() {
    for value in ["a\\nb", "\\r\\n", "\\u0000"] {
        assert_eq!(rejected_with("ip", value).to_string().lines().count(), 1);
    }
}
