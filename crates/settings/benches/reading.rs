//! How long settings take to read, the first time and again: `cargo bench -p crankpick-settings`.

use std::hint::black_box;
use std::path::Path;
use std::time::Instant;

use crankpick_settings::Settings;

const EXAMPLE: &str = include_str!("../tests/documents/example.conf");
const ROUNDS: u32 = 1_000;

fn main() {
    let read =
        || Settings::parse(Path::new("local.conf"), black_box(EXAMPLE.as_bytes())).expect("they are sound");
    let begin = Instant::now();
    black_box(read());
    let first = begin.elapsed();
    let begin = Instant::now();
    for _ in 0..ROUNDS {
        black_box(read());
    }
    println!("settings: first reading {first:?}, each later {:?}", begin.elapsed() / ROUNDS);
}
