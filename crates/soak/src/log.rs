//! What the processes' logs tell: broken invariants, and their counters.

use std::collections::BTreeMap;
use std::path::Path;

/// What a log line holds that tells of a broken invariant or of a crash; any case.
pub const PATTERNS: [&str; 2] = ["invariant", "panicked"];
/// No more lines of one process are reported.
const MOST_LINES: usize = 20;

/// The lines of a log that hold one of the patterns.
pub fn findings(log: &Path, patterns: &[String]) -> Vec<String> {
    let text = std::fs::read(log).unwrap_or_default();
    let text = String::from_utf8_lossy(&text);
    let patterns: Vec<String> = patterns.iter().map(|pattern| pattern.to_lowercase()).collect();
    let found = text.lines().filter(|line| {
        let line = line.to_lowercase();
        patterns.iter().any(|pattern| line.contains(pattern))
    });
    found.take(MOST_LINES).map(str::to_owned).collect()
}

/// Adds the counters of each run of a process to `sums`: the last line before each start counts.
pub fn add_counters(log: &Path, sums: &mut BTreeMap<String, u64>) {
    let text = std::fs::read(log).unwrap_or_default();
    let text = String::from_utf8_lossy(&text);
    let mut last = BTreeMap::new();
    for line in text.lines() {
        if line.contains(" started") {
            add(sums, std::mem::take(&mut last));
        } else if let Some((_, counts)) = line.split_once("counts: ") {
            last = read_counts(counts);
        }
    }
    add(sums, last);
}

fn read_counts(text: &str) -> BTreeMap<String, u64> {
    let words = text.split([' ', ',']).filter_map(|word| word.split_once('='));
    words.filter_map(|(name, number)| Some((name.to_owned(), number.parse().ok()?))).collect()
}

fn add(sums: &mut BTreeMap<String, u64>, counts: BTreeMap<String, u64>) {
    for (name, number) in counts {
        *sums.entry(name).or_default() += number;
    }
}
