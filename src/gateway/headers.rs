//! Removal of hop-by-hop headers.

use hyper::HeaderMap;
use hyper::header::{CONNECTION, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};

/// Removes the hop-by-hop headers, which apply to a single connection, including those that the
/// `Connection` header names.
pub fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let mut named: Vec<HeaderName> = Vec::new();
    for value in headers.get_all(CONNECTION) {
        let words = value.to_str().unwrap_or_default().split(',');
        named.extend(words.filter_map(|word| word.trim().parse().ok()));
    }
    let kept_alive = HeaderName::from_static("keep-alive");
    let of_proxies = HeaderName::from_static("proxy-connection");
    for name in [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, kept_alive, of_proxies] {
        headers.remove(name);
    }
    for name in named {
        headers.remove(name);
    }
    headers
}
