//! Cache lookups after all instances were lost at once: which instances ask an engine for the
//! prompts that it has cached, and how long a returning caller waits for the answers.
//!
//! Some hundred callers return in the same second. Each prompt that is read again takes an engine a
//! second, in which its other runs nearly stop.

use crate::decide::Random;

/// Average number of instances that ask each engine; the others receive the result from them. When
/// all of 75 instances asked 112 engines, answers took half a second and more, and the prompts were
/// already being read again. With six, one engine in four hundred is asked by nobody.
const ASKERS_PER_ENGINE: u64 = 6;

/// How long a returning caller waits until the cache location of its prompt is known: half the time
/// that reading a prompt of some thousand tokens takes. The caller's allowed pause is over in any
/// case.
pub const MAX_WAIT_MS: u64 = 500;

/// Whether this instance asks a given engine, where so many instances know of each other.
pub fn should_ask(instances: u32, random: &mut dyn Random) -> bool {
    random.below(u64::from(instances.max(1))) < ASKERS_PER_ENGINE
}
