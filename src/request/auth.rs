//! API keys: stored as hashes, compared in constant time, never logged.

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// The SHA-256 of a key, in hex.
pub fn hash(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Whether a presented key's hash equals the stored one, compared in constant time.
pub fn matches(presented_hash: &str, stored: &str) -> bool {
    presented_hash.as_bytes().ct_eq(stored.as_bytes()).into()
}

/// The key in an `Authorization: Bearer` header.
pub fn bearer(header: Option<&str>) -> Option<&str> {
    header?.strip_prefix("Bearer ").map(str::trim)
}
