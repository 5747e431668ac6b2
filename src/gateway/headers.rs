//! Removal of hop-by-hop headers, and the headers between instances.

use hyper::ext::ReasonPhrase;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderName, HeaderValue, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::{HeaderMap, Method, Response, StatusCode};

use super::fleet::SoftwareVersion;
use super::policy::answer_head::{self, LineEnds, ReceivedHead, SoundHead, Spoilt};

/// In a request: another instance sent it for its caller.
const RELAYED: HeaderName = HeaderName::from_static("siskinrock-relayed");
/// In a response to such a request: the instance can't serve requests now, and this one has not run.
const NOT_TAKEN: HeaderName = HeaderName::from_static("siskinrock-not-taken");

/// In a relayed request and in its response: the software version that began the stream.
const STREAM_VERSION: HeaderName = HeaderName::from_static("siskinrock-stream-version");
/// The value of that header for a stream of an engine without a version, followed by none; that of a
/// named one is followed by its name.
const VERSION_PREFIX: &str = "=";

/// States the software version that began a stream, if it is known.
pub fn set_stream_version(headers: &mut HeaderMap, version: &SoftwareVersion) {
    let name = match version {
        SoftwareVersion::Unversioned => "",
        SoftwareVersion::Named(name) => name,
        SoftwareVersion::Unknown => return,
    };
    if let Ok(value) = HeaderValue::from_str(&format!("{VERSION_PREFIX}{name}")) {
        headers.insert(STREAM_VERSION, value);
    }
}

/// The software version that began a stream, as another instance states it.
pub fn stream_version(headers: &HeaderMap) -> Option<SoftwareVersion> {
    let stated = headers.get(STREAM_VERSION)?.to_str().ok()?.strip_prefix(VERSION_PREFIX)?;
    Some(match stated {
        "" => SoftwareVersion::Unversioned,
        name => SoftwareVersion::named(name),
    })
}

/// Marks a request as sent by an instance for its caller.
pub fn mark_relayed(headers: &mut HeaderMap) {
    headers.insert(RELAYED, HeaderValue::from_static("1"));
}

/// Whether a request has that mark.
pub fn is_relayed(headers: &HeaderMap) -> bool {
    headers.contains_key(RELAYED)
}

/// Removes that mark. Returns whether it was there.
pub fn take_relayed(headers: &mut HeaderMap) -> bool {
    headers.remove(RELAYED).is_some()
}

/// Marks a response: the instance can't serve requests now, and this one has not run.
pub fn mark_not_taken(headers: &mut HeaderMap) {
    headers.insert(NOT_TAKEN, HeaderValue::from_static("1"));
}

/// Whether a response has that mark.
pub fn is_not_taken(headers: &HeaderMap) -> bool {
    headers.contains_key(NOT_TAKEN)
}

/// Judges the head of the answer to a request with a method.
///
/// # Errors
///
/// Why it is not believed.
pub fn judge<B>(
    method: &Method,
    response: &Response<B>,
    line_ends: LineEnds,
) -> Result<SoundHead, Spoilt> {
    let reason = response.extensions().get::<ReasonPhrase>();
    judge_parts(method, response.status(), reason, response.headers(), line_ends)
}

/// Judges a head by its parts.
///
/// # Errors
///
/// Why it is not believed.
pub fn judge_parts(
    method: &Method,
    status: StatusCode,
    reason: Option<&ReasonPhrase>,
    headers: &HeaderMap,
    line_ends: LineEnds,
) -> Result<SoundHead, Spoilt> {
    answer_head::judge(ReceivedHead {
        status: status.as_u16(),
        reason: reason.map_or(b"", |reason| reason.as_bytes()),
        is_for_head: method == Method::HEAD,
        line_ends,
        fields: headers.iter().map(|(name, value)| (name.as_str(), value.as_bytes())),
    })
}

/// The headers of an upstream's answer as they go on: those of its connection are left out, and its
/// length is the one that was judged, or that of the body which goes on.
pub fn of_answer(headers: HeaderMap, head: SoundHead) -> HeaderMap {
    let mut headers = end_to_end(headers);
    headers.remove(CONTENT_LENGTH);
    if let Some(length) = head.length.filter(|_| head.has_no_body) {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    headers
}

/// Removes what applies to a single connection: the hop-by-hop headers, including those that the
/// `Connection` header names, and the marks of instances, which are their
/// own words.
pub fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let mut named: Vec<HeaderName> = Vec::new();
    for value in headers.get_all(CONNECTION) {
        let options = value.to_str().unwrap_or_default().split(',');
        named.extend(options.filter_map(|option| option.trim().parse().ok()));
    }
    let keep_alive = HeaderName::from_static("keep-alive");
    let proxy_connection = HeaderName::from_static("proxy-connection");
    let hop_by_hop =
        [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, keep_alive, proxy_connection];
    for name in hop_by_hop.into_iter().chain([NOT_TAKEN, STREAM_VERSION]) {
        headers.remove(name);
    }
    for name in named {
        headers.remove(name);
    }
    headers
}
