//! Hop-by-hop header fields.

use http::HeaderMap;

/// Fields that belong to one connection rather than to the request.
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

/// The end-to-end headers: without hop-by-hop fields, including those named in `Connection`.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named = headers.get_all("connection").iter().filter_map(|value| value.to_str().ok());
    let named: Vec<&str> = named.flat_map(|value| value.split(',')).map(str::trim).collect();
    let mut kept = headers.clone();
    HOP_BY_HOP.iter().chain(&named).for_each(|name| drop(kept.remove(*name)));
    kept
}
