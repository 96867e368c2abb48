//! Recorded bytes of what this repository's crates store and send.
//!
//! A process reads what an earlier build has stored, and what a process of another build sends. So the bytes are recorded
//! once, in files under `tests/fixtures` of each crate, and tests compare what this build writes with them.

use std::fs;
use std::path::{Path, PathBuf};

/// The variable that, if set, records what is written now in place of comparing it: after an intended change only.
pub const BLESS_VARIABLE: &str = "BLESS_FIXTURES";
/// How many bytes a line of a recorded hex file has.
const BYTES_PER_LINE: usize = 32;

/// The recorded files of one crate.
///
/// All methods panic, as assertions do, if a file can't be read or differs from what is written now.
#[derive(Clone, Debug)]
pub struct Fixtures {
    folder: PathBuf,
}

impl Fixtures {
    /// The fixtures of the crate in that folder: its `env!("CARGO_MANIFEST_DIR")`.
    pub fn of(manifest_dir: &str) -> Self {
        Fixtures { folder: Path::new(manifest_dir).join("tests/fixtures") }
    }

    /// The path of a file.
    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// Asserts that a file has exactly these bytes.
    pub fn assert_bytes(&self, name: &str, written: &[u8]) {
        self.record(name, || written.to_vec());
        let recorded = fs::read(self.path(name)).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(to_hex(written), to_hex(&recorded), "{name}: written in another form");
    }

    /// Asserts that a file has this text, and returns the recorded one. White space at the end doesn't count.
    pub fn assert_text(&self, name: &str, written: &str) -> String {
        self.record(name, || format!("{written}\n").into_bytes());
        let recorded = self.text(name).trim_end().to_owned();
        assert_eq!(written, recorded, "{name}: written in another form");
        recorded
    }

    /// The bytes of a file of hex digits, not compared with what is written now: for forms that aren't canonical.
    pub fn hex(&self, name: &str, written: &[u8]) -> Vec<u8> {
        let lines = || written.chunks(BYTES_PER_LINE).map(|line| to_hex(line) + "\n").collect::<String>();
        self.record(name, || lines().into_bytes());
        from_hex(&self.text(name))
    }

    /// Asserts that a file has these bytes as hex digits, and returns the recorded ones.
    pub fn assert_hex(&self, name: &str, written: &[u8]) -> Vec<u8> {
        let recorded = self.hex(name, written);
        assert_eq!(to_hex(written), to_hex(&recorded), "{name}: written in another form");
        recorded
    }

    /// Asserts that a file has a line for each of these names, in this order, with its bytes as hex digits behind it.
    /// Returns the recorded bytes.
    pub fn assert_hex_lines(&self, name: &str, written: &[(String, Vec<u8>)]) -> Vec<Vec<u8>> {
        let lines =
            || written.iter().map(|(key, bytes)| format!("{key} {}\n", to_hex(bytes))).collect::<String>();
        self.record(name, || lines().into_bytes());
        let text = self.text(name);
        let recorded: Vec<(&str, &str)> =
            text.lines().map(|line| line.split_once(' ').expect("a name and digits")).collect();
        let recorded_keys: Vec<&str> = recorded.iter().map(|(key, _)| *key).collect();
        let written_keys: Vec<&str> = written.iter().map(|(key, _)| key.as_str()).collect();
        assert_eq!(recorded_keys, written_keys, "{name}: other lines");
        for ((key, digits), (_, bytes)) in recorded.iter().zip(written) {
            assert_eq!(&to_hex(bytes), digits, "{name}: {key} is written in another form");
        }
        recorded.iter().map(|(_, digits)| from_hex(digits)).collect()
    }

    fn record(&self, name: &str, bytes: impl FnOnce() -> Vec<u8>) {
        if std::env::var_os(BLESS_VARIABLE).is_some() {
            fs::write(self.path(name), bytes()).unwrap_or_else(|error| panic!("{name}: {error}"));
        }
    }

    fn text(&self, name: &str) -> String {
        fs::read_to_string(self.path(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The bytes of hex digits; line breaks between them don't count.
fn from_hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(|byte| !byte.is_ascii_whitespace()).collect();
    assert!(digits.len().is_multiple_of(2), "half a byte");
    let byte = |pair: &[u8]| {
        let pair = std::str::from_utf8(pair).expect("hex digits");
        u8::from_str_radix(pair, 16).expect("hex digits")
    };
    digits.chunks(2).map(byte).collect()
}
