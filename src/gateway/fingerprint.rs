//! What a request is, whatever its id, its headers and the instance that it comes to.

use std::sync::Arc;

use bytes::Bytes;
use hyper::Method;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// A hash of what a request asks and of who asks it: a request that is sent again has the same one.
///
/// It is cut from a cryptographic hash, since what is known of a fingerprint decides whether its
/// requests are served: nobody must be able to make a request that looks like another one's.
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
    /// Of a request to the host of a route. The service isn't part of it: a request that crashes one
    /// service's upstreams is no better known after an operator has moved its route.
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
        let mut hash = Sha256::new();
        for part in parts {
            // Without its length, the end of one part could pass for the beginning of the next.
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let mut first = [0; 8];
        first.copy_from_slice(&hash.finalize()[..8]);
        Fingerprint(u64::from_be_bytes(first))
    }

    /// Reads the form in which it is logged.
    pub fn read(text: &str) -> Option<Fingerprint> {
        u64::from_str_radix(text, 16).ok().map(Fingerprint)
    }
}
