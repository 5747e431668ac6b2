//! How two members find out in which they differ, without telling each other all that they know.
//!
//! Members fall into parts by a hash of their ids, and each part has a sum over the versions that are
//! known of its living members. Two members compare their sums and tell each other only the parts
//! that differ, as in the anti-entropy of epidemic protocols (Demers et al.: "Epidemic Algorithms for
//! Replicated Database Maintenance", PODC 1987) with one level of a hash tree.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::card::Card;

/// The members in a part, on average: what is told of a part that differs is mostly known.
const MEMBERS_IN_PART: usize = 4;
/// The most parts that another instance may ask for.
const MOST_PARTS: usize = 4_096;

/// The sums over the living members, part by part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sums(Vec<u32>);

impl Sums {
    /// How many parts suit a number of members.
    pub fn parts_for(members: usize) -> usize {
        (members / MEMBERS_IN_PART).next_power_of_two()
    }

    /// The sums over the cards of all living members, the instance's own included.
    pub fn over<'a>(cards: impl Iterator<Item = &'a Card>, parts: usize) -> Sums {
        let mut sums = Sums(vec![0; parts.clamp(1, MOST_PARTS)]);
        for card in cards {
            let id = &*card.registration.id;
            let part = sums.part_of(id);
            sums.0[part] ^= xxh3_64_with_seed(id.as_bytes(), card.version) as u32;
        }
        sums
    }

    /// The number of parts.
    pub fn parts(&self) -> usize {
        self.0.len()
    }

    /// Whether the sum over the part of an id differs from that of another member.
    pub fn differ_at(&self, other: &Sums, id: &str) -> bool {
        let part = self.part_of(id);
        self.0.get(part) != other.0.get(part)
    }

    fn part_of(&self, id: &str) -> usize {
        (xxh3_64(id.as_bytes()) % self.0.len() as u64) as usize
    }
}
