//! Identifies a request by what it asks, whatever its id, its headers and the instance that
//! receives it.

use std::sync::Arc;

use bytes::Bytes;
use hyper::Method;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Keeps the fingerprints of parts apart from those of requests.
const PART_TAG: &[u8] = b"prompt part";

/// A hash of what a request asks and of who sends it; a request that is sent again has the same
/// fingerprint.
///
/// It is a truncated cryptographic hash, since the crash record of a fingerprint decides whether its
/// requests are served: nobody must be able to craft a request with the fingerprint of another one.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[display("{_0:016x}")]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Returns the fingerprint of a request to the host of a route. The service isn't part of it:
    /// after an operator has moved a route to another service, a request that crashed the upstreams
    /// of the first must still be recognised.
    pub fn of(
        method: &Method,
        host: &str,
        target: &str,
        organisation: Option<&Arc<str>>,
        body: &Bytes,
    ) -> Fingerprint {
        let organisation = organisation.map_or("", |name| name);
        let parts = [
            method.as_str().as_bytes(),
            host.as_bytes(),
            target.as_bytes(),
            organisation.as_bytes(),
            body,
        ];
        Fingerprint::of_hashed(&parts)
    }

    /// Returns the fingerprint of a part of prompts, by its name.
    pub fn of_part(part: &str) -> Fingerprint {
        Fingerprint::of_hashed(&[PART_TAG, part.as_bytes()])
    }

    fn of_hashed(parts: &[&[u8]]) -> Fingerprint {
        let mut hash = Sha256::new();
        for part in parts {
            // Without the length, two requests that split the same bytes into parts differently
            // would have the same hash.
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let mut first = [0; 8];
        first.copy_from_slice(&hash.finalize()[..8]);
        Fingerprint(u64::from_be_bytes(first))
    }

    /// Parses the form in which fingerprints are logged.
    pub fn parse(text: &str) -> Option<Fingerprint> {
        u64::from_str_radix(text, 16).ok().map(Fingerprint)
    }
}
