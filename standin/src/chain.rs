//! Tokens that prove their own order.
//!
//! Every token names its sampler (the first two hex digits) and hashes the token before it, so
//! that a missing, repeated or foreign token breaks the chain for any reader of the answer alone.

use xxhash_rust::xxh3::xxh3_64;

/// Why a list of tokens is not one unbroken answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Broken {
    /// The index of the first token that doesn't follow from the one before it.
    pub index: usize,
}

/// The token that the sampler `salt` generates at `index` after `previous`.
pub fn next(previous: &str, index: usize, salt: u8) -> String {
    let seed = format!("{previous}|{index}|{salt}");
    let digest = xxh3_64(seed.as_bytes()) & 0xff_ffff;
    format!(" {salt:02x}{digest:06x}")
}

/// The link that the first token of an answer to `prompt` follows.
pub fn root(prompt: &str) -> String {
    format!("{:016x}", xxh3_64(prompt.as_bytes()))
}

/// The sampler of a stream that goes on after `previous`: never the one that generated it, so that every
/// hand-over shows.
pub fn sampler_after(previous: Option<&str>) -> u8 {
    let before = previous.and_then(salt_of);
    loop {
        let salt = fastrand::u8(..);
        if Some(salt) != before {
            return salt;
        }
    }
}

/// The sampler that a token names.
fn salt_of(token: &str) -> Option<u8> {
    token.get(1..3).and_then(|hex| u8::from_str_radix(hex, 16).ok())
}

/// Checks that each of `tokens` was generated right after the one before it.
///
/// # Errors
///
/// [`Broken`] names the first token that doesn't follow.
pub fn verify(prompt: &str, tokens: &[String]) -> Result<(), Broken> {
    let mut previous = root(prompt);
    for (index, token) in tokens.iter().enumerate() {
        let follows = salt_of(token).is_some_and(|salt| next(&previous, index, salt) == *token);
        if !follows {
            return Err(Broken { index });
        }
        previous.clone_from(token);
    }
    Ok(())
}

/// How many samplers took part: one more than the hand-overs between engines.
pub fn samplers(tokens: &[String]) -> usize {
    let mut runs = 0;
    let mut last = None;
    for token in tokens {
        let salt = token.get(1..3);
        if salt != last {
            runs += 1;
            last = salt;
        }
    }
    runs
}
