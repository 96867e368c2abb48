use super::{size, Bands, Kind};

#[test]
fn band_thresholds_scale_with_the_mean_size() {
    let mut bands = Bands::default();
    (0..100).for_each(|_| bands.observe(size(900.0, 10.0)));
    let kinds = [100.0, 499.0, 501.0, 1499.0, 1501.0, 3999.0, 4001.0, 60_000.0].map(|size| bands.kind(size));
    use Kind::*;
    assert_eq!(kinds, [Plain, Plain, LongPrompt, LongPrompt, LongResponse, LongResponse, Both, Both]);
}

#[test]
fn requests_without_length_hints_are_plain() {
    let mut bands = Bands::default();
    bands.observe(size(0.0, 0.0));
    assert_eq!(bands.kind(0.0), Kind::Plain);
}

#[test]
fn load_units_match_the_paper() {
    assert_eq!(Kind::ALL.map(Kind::load_units), [1.0, 2.0, 2.0, 3.0]);
}
