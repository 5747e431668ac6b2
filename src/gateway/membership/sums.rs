//! Checksums by which two members find out in which entries they differ, without sending all of them.
//!
//! Members are divided into buckets by a hash of their ids. Each bucket has a checksum over the known
//! versions of its living members. Two members compare these checksums and send each other only the
//! buckets that differ, as in the anti-entropy of epidemic protocols (Demers et al.: "Epidemic
//! Algorithms for Replicated Database Maintenance", PODC 1987) with a hash tree of one level.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::descriptor::InstanceDescriptor;

/// Average number of members in a bucket. A bucket that differs is sent whole, although the receiver
/// knows most of its members.
const MEMBERS_PER_BUCKET: usize = 4;
/// Maximum number of buckets that another instance may ask for.
const MAX_BUCKETS: usize = 4_096;

/// Checksums over the living members, one per bucket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketChecksums(Vec<u32>);

impl BucketChecksums {
    /// The number of buckets that suits a number of members.
    pub fn bucket_count_for(members: usize) -> usize {
        (members / MEMBERS_PER_BUCKET).next_power_of_two()
    }

    /// Checksums over the descriptors of all living members, which include the instance's own.
    pub fn of<'a>(
        descriptors: impl Iterator<Item = &'a InstanceDescriptor>,
        bucket_count: usize,
    ) -> BucketChecksums {
        let mut checksums = BucketChecksums(vec![0; bucket_count.clamp(1, MAX_BUCKETS)]);
        for descriptor in descriptors {
            let id = &*descriptor.registration.id;
            let bucket = checksums.bucket_of(id);
            checksums.0[bucket] ^= xxh3_64_with_seed(id.as_bytes(), descriptor.version) as u32;
        }
        checksums
    }

    /// The number of buckets.
    pub fn bucket_count(&self) -> usize {
        self.0.len()
    }

    /// Whether the checksums differ in the bucket of an id.
    pub fn differ_in_bucket_of(&self, other: &BucketChecksums, id: &str) -> bool {
        let bucket = self.bucket_of(id);
        self.0.get(bucket) != other.0.get(bucket)
    }

    fn bucket_of(&self, id: &str) -> usize {
        (xxh3_64(id.as_bytes()) % self.0.len() as u64) as usize
    }
}
