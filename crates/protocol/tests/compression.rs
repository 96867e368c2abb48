//! Packed configurations: whole again after it, much shorter, and bounded.

use crankpick_protocol::{
    compress, decompress, encode, FrameReader, GatewayReport, ProtocolError, MAX_DECOMPRESSED_BYTES,
};
use serde::Serialize;

fn document(routes: usize) -> Vec<u8> {
    let route = |number: usize| {
        format!(
            r#"{{"name":"r-{number:x}","host":"ficu95.example","prefix":"/lohu{}/","type":"streaming","timeout_ms":15000,"service":"huvo11a"}}"#,
            number * 7919 % 10_007
        )
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    format!(r#"{{"generation":7,"routes":[{}],"services":[]}}"#, routes.join(",")).into_bytes()
}

#[test]
fn what_is_packed_comes_out_whole_and_takes_a_fifth_at_most() {
    for routes in [0, 1, 350, 2_000, 20_000] {
        let document = document(routes);
        let packed = compress(&document);
        assert_eq!(*decompress(&packed).unwrap(), document[..]);
        assert!(routes < 350 || packed.len() * 5 < document.len(), "{} of {}", packed.len(), document.len());
    }
}

#[test]
fn what_was_never_packed_is_taken_as_it_is() {
    for plain in [&b""[..], b"{}", b" {}", b"x"] {
        let same = plain != b"x";
        assert_eq!(decompress(plain).is_ok(), same, "{plain:?}");
        if same {
            assert_eq!(*decompress(plain).unwrap(), *plain);
        }
    }
}

#[test]
fn what_broke_off_or_is_too_long_is_refused() {
    let packed = compress(&document(300));
    for cut in [2, 10, packed.len() / 2] {
        assert!(
            matches!(decompress(&packed[..cut]), Err(ProtocolError::Decompression { .. })),
            "cut at {cut}"
        );
    }
    let bomb = compress(&vec![b' '; MAX_DECOMPRESSED_BYTES + 1]);
    assert!(matches!(decompress(&bomb), Err(ProtocolError::Decompression { .. })));
    assert_eq!(
        decompress(&compress(&vec![b' '; MAX_DECOMPRESSED_BYTES])).unwrap().len(),
        MAX_DECOMPRESSED_BYTES
    );
}

/// A report as builds made it that knew nothing of packing.
#[derive(Serialize)]
struct EarlierReport {
    number: u64,
    configuration: Option<()>,
    cursor: Option<()>,
    demands: Vec<()>,
}

#[tokio::test]
async fn a_report_of_an_earlier_build_is_taken_and_takes_nothing_packed() {
    let earlier = EarlierReport { number: 3, configuration: None, cursor: None, demands: Vec::new() };
    let frame = encode(&earlier).unwrap();
    let report = FrameReader::new(&frame[..]).next::<GatewayReport>().await.unwrap().unwrap();
    assert_eq!((report.number, report.accepts_compressed), (3, false));
}
