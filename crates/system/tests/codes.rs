//! The codes in `docs/codes.md` and in the sources of the fleet's crates are the same.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

const TABLE: &str = include_str!("../../../docs/codes.md");

/// The crates that the fleet's programs are made of.
const CRATES: [&str; 11] = [
    "configuration",
    "control",
    "control-plane",
    "dispatch",
    "gateway",
    "protocol",
    "quota",
    "registry",
    "settings",
    "storage",
    "system",
];

/// The length of a code such as `CTL-101`: three letters, a dash and three digits.
const LITERAL_BYTES: usize = 7;
/// The text in rows of retired codes.
const RETIRED: &str = "no longer used";

/// The codes in the first column of the table, without retired ones.
fn listed_codes() -> BTreeSet<String> {
    let rows = TABLE.lines().filter(|row| !row.contains(RETIRED));
    let cells = rows.filter_map(|row| row.strip_prefix("| ")?.split(" | ").next());
    cells.filter(|cell| is_literal(cell) || is_numbered(cell)).map(str::to_owned).collect()
}

/// Whether a text has the form of `CTL-101`.
fn is_literal(text: &str) -> bool {
    let bytes = text.as_bytes();
    bytes.len() == LITERAL_BYTES
        && bytes[..3].iter().all(u8::is_ascii_uppercase)
        && bytes[3] == b'-'
        && bytes[4..].iter().all(u8::is_ascii_digit)
}

/// Whether a text has the form of `4001` or `E3101`.
fn is_numbered(text: &str) -> bool {
    let digits = text.strip_prefix('E').unwrap_or(text);
    digits.len() == 4 && digits.bytes().all(|byte| byte.is_ascii_digit())
}

fn crate_directory(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..").join(name)
}

/// Collects all sources below a directory.
fn sources(directory: &Path, texts: &mut Vec<String>) {
    for entry in std::fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, texts);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            texts.push(std::fs::read_to_string(&path).unwrap());
        }
    }
}

/// The codes at the start of string literals.
fn literals(source: &str) -> impl Iterator<Item = &str> {
    let after_quotes = source.match_indices('"').map(|(at, _)| &source[at + 1..]);
    after_quotes.filter_map(|text| text.get(..LITERAL_BYTES)).filter(|text| is_literal(text))
}

/// The numeric codes in an error's `code` method: the four digits to the right of the arrow in each match arm.
fn numbers<'a>(source: &'a str, prefix: &'a str) -> impl Iterator<Item = String> + 'a {
    let arms = source.lines().filter_map(|line| line.trim().strip_suffix(',')?.split_once(" => "));
    let digits = arms.map(|(_, value)| value.replace('_', "")).filter(|value| is_numbered(value));
    digits.map(move |value| format!("{prefix}{value}"))
}

/// The codes in the sources of all crates of the fleet.
fn codes_in_sources() -> BTreeSet<String> {
    let mut codes = BTreeSet::new();
    for name in CRATES {
        let mut texts = Vec::new();
        sources(&crate_directory(name).join("src"), &mut texts);
        codes.extend(texts.iter().flat_map(|text| literals(text)).map(str::to_owned));
        let prefix = if name == "registry" { "E" } else { "" };
        if matches!(name, "gateway" | "registry") {
            codes.extend(texts.iter().flat_map(|text| numbers(text, prefix)));
        }
    }
    codes
}

#[test]
fn each_code_in_the_sources_is_listed() {
    let listed_codes = listed_codes();
    let missing: Vec<String> =
        codes_in_sources().into_iter().filter(|code| !listed_codes.contains(code)).collect();
    assert!(missing.is_empty(), "not in docs/codes.md: {missing:?}");
}

#[test]
fn each_listed_code_is_in_the_sources() {
    let codes_in_sources = codes_in_sources();
    let stale: Vec<String> =
        listed_codes().into_iter().filter(|code| !codes_in_sources.contains(code)).collect();
    assert!(stale.is_empty(), "only in docs/codes.md, and not marked {RETIRED:?}: {stale:?}");
}

#[test]
fn each_family_of_codes_is_found_in_the_sources() {
    let codes_in_sources = codes_in_sources();
    for code in ["CFG-101", "SET-101", "CTL-101", "CTL-301", "PRO-101", "SYS-101", "E3101", "4001", "5040"] {
        assert!(codes_in_sources.contains(code), "{code} is not found in the sources");
    }
}

#[test]
fn no_code_is_listed_twice() {
    for code in listed_codes() {
        let rows = TABLE.lines().filter(|line| line.starts_with(&format!("| {code} |"))).count();
        assert_eq!(rows, 1, "{code}");
    }
}
