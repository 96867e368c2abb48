//! A fixture that differs fails its test.

use crankpick_test_support::{refusing_address, Fixtures};

fn fixtures() -> Fixtures {
    Fixtures::of(env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn bytes_as_recorded_are_returned() {
    assert_eq!(fixtures().assert_hex("bytes.hex", &[0x00, 0x7f, 0xff]), [0x00, 0x7f, 0xff]);
    let lines = [("one".to_owned(), vec![1]), ("none".to_owned(), Vec::new())];
    assert_eq!(fixtures().assert_hex_lines("lines.hex", &lines), [vec![1], Vec::new()]);
}

#[test]
#[should_panic(expected = "bytes.hex: written in another form")]
fn other_bytes_fail() {
    fixtures().assert_hex("bytes.hex", &[0x00, 0x7f, 0xfe]);
}

#[test]
#[should_panic(expected = "lines.hex: one is written in another form")]
fn a_line_with_other_bytes_fails() {
    let lines = [("one".to_owned(), vec![2]), ("none".to_owned(), Vec::new())];
    fixtures().assert_hex_lines("lines.hex", &lines);
}

#[test]
#[should_panic(expected = "lines.hex: other lines")]
fn a_missing_line_fails() {
    fixtures().assert_hex_lines("lines.hex", &[("one".to_owned(), vec![1])]);
}

#[test]
#[should_panic(expected = "absent.hex")]
fn a_missing_file_fails() {
    fixtures().assert_hex("absent.hex", &[]);
}

/// Else a backend of another test may get the port, and answer there in the name of its own queries.
#[test]
fn an_address_that_nobody_listens_at_is_given_to_nobody_else() {
    let address = refusing_address();
    assert!(std::net::TcpListener::bind(address).is_err(), "another test could listen at {address}");
    assert!(std::net::TcpStream::connect(address).is_err(), "somebody listens at {address}");
}
