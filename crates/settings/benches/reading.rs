//! Measures the first and the average later parsing time of settings: `cargo bench -p crankpick-settings`.

use std::hint::black_box;
use std::path::Path;
use std::time::Instant;

use crankpick_settings::Settings;

const EXAMPLE: &str = include_str!("../tests/documents/example.conf");
const ROUNDS: u32 = 1_000;

fn main() {
    let parse =
        || Settings::parse(Path::new("local.conf"), black_box(EXAMPLE.as_bytes())).expect("they are sound");
    let start = Instant::now();
    black_box(parse());
    let first = start.elapsed();
    let start = Instant::now();
    for _ in 0..ROUNDS {
        black_box(parse());
    }
    println!("settings: first reading {first:?}, each later {:?}", start.elapsed() / ROUNDS);
}
