//! Each code of configurations stands in the table of codes, and each of the table's is one of theirs.

use crankpick_configuration::ConfigurationCode;

const TABLE: &str = include_str!("../../../docs/codes.md");

/// The codes in the table's rows.
fn listed() -> Vec<&'static str> {
    let rows = TABLE.lines().filter_map(|line| line.strip_prefix("| "));
    rows.filter(|row| row.starts_with("CFG-")).filter_map(|row| row.split(" | ").next()).collect()
}

#[test]
fn the_table_lists_the_codes_in_their_order() {
    let codes: Vec<&str> = ConfigurationCode::ALL.iter().map(|code| code.as_str()).collect();
    assert_eq!(listed(), codes);
}

#[test]
fn numbers_rise() {
    assert!(ConfigurationCode::ALL.windows(2).all(|pair| pair[0].as_str() < pair[1].as_str()));
}

#[test]
fn the_table_names_the_remedies() {
    for code in ConfigurationCode::ALL {
        let row = TABLE.lines().find(|line| line.starts_with(&format!("| {code} |"))).unwrap();
        assert!(row.ends_with(&format!("| {} |", code.remedy())), "{row}");
    }
}
