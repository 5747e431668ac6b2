//! Removal of hop-by-hop headers.

use hyper::HeaderMap;
use hyper::header::{CONNECTION, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};

/// Removes the hop-by-hop headers, which apply to a single connection, including those that the
/// `Connection` header names.
pub fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let mut named: Vec<HeaderName> = Vec::new();
    for value in headers.get_all(CONNECTION) {
        let options = value.to_str().unwrap_or_default().split(',');
        named.extend(options.filter_map(|option| option.trim().parse().ok()));
    }
    let keep_alive = HeaderName::from_static("keep-alive");
    let proxy_connection = HeaderName::from_static("proxy-connection");
    for name in [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, keep_alive, proxy_connection]
    {
        headers.remove(name);
    }
    for name in named {
        headers.remove(name);
    }
    headers
}
