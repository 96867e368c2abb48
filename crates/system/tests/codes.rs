//! Each code that the fleet's crates write stands in the table of codes, and each of the table's is one of theirs.

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

/// Three letters, a dash and three digits.
const LITERAL_BYTES: usize = 7;
/// How a row says that its code is given no more.
const RETIRED: &str = "no longer used";

/// The first cells of the table's rows that name codes; rows of retired ones aside.
fn listed() -> BTreeSet<String> {
    let rows = TABLE.lines().filter(|row| !row.contains(RETIRED));
    let cells = rows.filter_map(|row| row.strip_prefix("| ")?.split(" | ").next());
    cells.filter(|cell| is_literal(cell) || is_numbered(cell)).map(str::to_owned).collect()
}

/// As `CTL-101`.
fn is_literal(text: &str) -> bool {
    let bytes = text.as_bytes();
    bytes.len() == LITERAL_BYTES
        && bytes[..3].iter().all(u8::is_ascii_uppercase)
        && bytes[3] == b'-'
        && bytes[4..].iter().all(u8::is_ascii_digit)
}

/// As `4001` or `E3101`.
fn is_numbered(text: &str) -> bool {
    let digits = text.strip_prefix('E').unwrap_or(text);
    digits.len() == 4 && digits.bytes().all(|byte| byte.is_ascii_digit())
}

fn crate_folder(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..").join(name)
}

/// All sources below a folder.
fn sources(folder: &Path, texts: &mut Vec<String>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, texts);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            texts.push(std::fs::read_to_string(&path).unwrap());
        }
    }
}

/// The codes with which string literals begin.
fn literals(source: &str) -> impl Iterator<Item = &str> {
    let after_quotes = source.match_indices('"').map(|(at, _)| &source[at + 1..]);
    after_quotes.filter_map(|text| text.get(..LITERAL_BYTES)).filter(|text| is_literal(text))
}

/// The numbers that an error's `code` gives: the four digits behind the arrow of each of its arms.
fn numbers<'a>(source: &'a str, prefix: &'a str) -> impl Iterator<Item = String> + 'a {
    let arms = source.lines().filter_map(|line| line.trim().strip_suffix(',')?.split_once(" => "));
    let digits = arms.map(|(_, value)| value.replace('_', "")).filter(|value| is_numbered(value));
    digits.map(move |value| format!("{prefix}{value}"))
}

/// The codes of all the fleet's sources.
fn written() -> BTreeSet<String> {
    let mut codes = BTreeSet::new();
    for name in CRATES {
        let mut texts = Vec::new();
        sources(&crate_folder(name).join("src"), &mut texts);
        codes.extend(texts.iter().flat_map(|text| literals(text)).map(str::to_owned));
        let prefix = if name == "registry" { "E" } else { "" };
        if matches!(name, "gateway" | "registry") {
            codes.extend(texts.iter().flat_map(|text| numbers(text, prefix)));
        }
    }
    codes
}

#[test]
fn each_code_that_is_written_stands_in_the_table() {
    let listed = listed();
    let missing: Vec<String> = written().into_iter().filter(|code| !listed.contains(code)).collect();
    assert!(missing.is_empty(), "not in docs/codes.md: {missing:?}");
}

#[test]
fn each_code_of_the_table_is_written_somewhere() {
    let written = written();
    let stale: Vec<String> = listed().into_iter().filter(|code| !written.contains(code)).collect();
    assert!(stale.is_empty(), "in docs/codes.md alone, and not marked {RETIRED:?}: {stale:?}");
}

#[test]
fn each_family_of_codes_is_found() {
    let written = written();
    for code in ["CFG-101", "SET-101", "CTL-101", "CTL-301", "PRO-101", "SYS-101", "E3101", "4001", "5040"] {
        assert!(written.contains(code), "{code} is not found in the sources");
    }
}

#[test]
fn no_code_stands_twice() {
    for code in listed() {
        let rows = TABLE.lines().filter(|line| line.starts_with(&format!("| {code} |"))).count();
        assert_eq!(rows, 1, "{code}");
    }
}
