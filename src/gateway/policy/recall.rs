//! Who asks engines which prompts they keep when nobody knows any more, and how long a caller that
//! goes on waits for it: pure steps for the moment after all instances were lost.
//!
//! Some hundred callers come back in the same second, and each prompt that is read anew takes an
//! engine a second, in which its other runs stand nearly still.

use crate::decide::Random;

/// How many instances ask each engine, on average; the others hear of it from them. All of 75 asking
/// 112 engines had their answers after half a second and more, when the prompts were being read
/// anew. With six, one engine in four hundred is asked by nobody.
const ASKERS: u64 = 6;

/// How long a caller that goes on waits until the place of its prompt is known: half of what reading
/// a prompt of some thousand tokens takes, and its allowed pause was over before.
pub const WAIT_MS: u64 = 500;

/// Whether an instance asks a certain engine, of so many instances that know of each other.
pub fn asks(instances: u32, random: &mut dyn Random) -> bool {
    random.below(u64::from(instances.max(1))) < ASKERS
}
