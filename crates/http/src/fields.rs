//! Header fields that concern one hop only.

use http::HeaderMap;

/// What belongs to the connection it came on and not to the request.
const HOP_BY_HOP: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The headers that go on: a hop's own stay behind, those that it names under `Connection` as well.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named = headers.get_all("connection").iter().filter_map(|value| value.to_str().ok());
    let named: Vec<&str> = named.flat_map(|value| value.split(',')).map(str::trim).collect();
    let mut kept = headers.clone();
    HOP_BY_HOP.iter().chain(&named).for_each(|name| drop(kept.remove(*name)));
    kept
}
