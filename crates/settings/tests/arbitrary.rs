//! Arbitrary bytes are either parsed or rejected with a one-line error, without a panic.

use std::path::Path;

use crankpick_settings::Settings;
use quickcheck::quickcheck;

const EXAMPLE: &str = include_str!("documents/example.conf");

fn parses_or_fails_cleanly(bytes: &[u8]) -> bool {
    match Settings::parse(Path::new("local.conf"), bytes) {
        Ok(_) => true,
        Err(error) => error.to_string().lines().count() == 1,
    }
}

quickcheck! {
    fn arbitrary_bytes(bytes: Vec<u8>) -> bool {
        parses_or_fails_cleanly(&bytes)
    }

    fn arbitrary_text(text: String) -> bool {
        parses_or_fails_cleanly(text.as_bytes())
    }

    fn example_with_replaced_bytes(replacements: Vec<(usize, u8)>) -> bool {
        let mut bytes = EXAMPLE.as_bytes().to_vec();
        for (position, byte) in replacements {
            let position = position % bytes.len();
            bytes[position] = byte;
        }
        parses_or_fails_cleanly(&bytes)
    }

    fn example_with_inserted_text(position: usize, text: String) -> bool {
        let mut bytes = EXAMPLE.as_bytes().to_vec();
        let position = position % bytes.len();
        bytes.splice(position..position, text.bytes());
        parses_or_fails_cleanly(&bytes)
    }
}
