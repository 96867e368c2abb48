//! Arbitrary bytes are read or refused; nothing else happens.

use std::path::Path;

use crankpick_settings::Settings;
use quickcheck::quickcheck;

const EXAMPLE: &str = include_str!("documents/example.conf");

fn parse(bytes: &[u8]) -> bool {
    match Settings::parse(Path::new("local.conf"), bytes) {
        Ok(_) => true,
        Err(error) => error.to_string().lines().count() == 1,
    }
}

quickcheck! {
    fn bytes_without_meaning(bytes: Vec<u8>) -> bool {
        parse(&bytes)
    }

    fn text_without_meaning(text: String) -> bool {
        parse(text.as_bytes())
    }

    fn the_example_with_bytes_exchanged(places: Vec<(usize, u8)>) -> bool {
        let mut bytes = EXAMPLE.as_bytes().to_vec();
        for (place, byte) in places {
            let place = place % bytes.len();
            bytes[place] = byte;
        }
        parse(&bytes)
    }

    fn the_example_with_text_put_in(place: usize, text: String) -> bool {
        let mut bytes = EXAMPLE.as_bytes().to_vec();
        let place = place % bytes.len();
        bytes.splice(place..place, text.bytes());
        parse(&bytes)
    }
}
