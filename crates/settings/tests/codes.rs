//! The codes in `docs/codes.md` and in the sources are the same.

use crankpick_settings::SettingsCode;

const TABLE: &str = include_str!("../../../docs/codes.md");

/// The codes in the rows of the table.
fn listed() -> Vec<&'static str> {
    let rows = TABLE.lines().filter_map(|line| line.strip_prefix("| "));
    rows.filter(|row| row.starts_with("SET-")).filter_map(|row| row.split(" | ").next()).collect()
}

#[test]
fn table_lists_the_codes_in_order() {
    let codes: Vec<&str> = SettingsCode::ALL.iter().map(|code| code.as_str()).collect();
    assert_eq!(listed(), codes);
}

#[test]
fn codes_are_ascending() {
    assert!(SettingsCode::ALL.windows(2).all(|pair| pair[0].as_str() < pair[1].as_str()));
}

#[test]
fn table_contains_the_remedies() {
    for code in SettingsCode::ALL {
        let row = TABLE.lines().find(|line| line.starts_with(&format!("| {code} |"))).unwrap();
        assert!(row.ends_with(&format!("| {} |", code.remedy())), "{row}");
    }
}
