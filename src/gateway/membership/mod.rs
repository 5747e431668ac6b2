//! Membership protocol: tracks which instances are alive. Its detection time and the load per
//! instance do not grow with the fleet.
//!
//! Instances form a ring that each of them computes from the ids alone. Every instance pings its next
//! few successors, so each one has as many observers. An instance that answers neither directly nor
//! through others is suspected. It can refute the suspicion by raising its own version; otherwise it
//! is declared dead after a timeout, which is shorter once two observers agree. Updates spread by
//! gossip as rumors, each sent a bounded number of times. What gossip misses is repaired by
//! anti-entropy: members compare checksums ([`BucketChecksums`]) with those they ping.
//!
//! The protocol follows SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style
//! Process Group Membership Protocol", DSN 2002). Two rules come from Lifeguard (Dadgar, Phillips,
//! Currey: "Lifeguard: Local Health Awareness for More Accurate Failure Detection", DSN 2018): an
//! instance whose own process ran late suspects itself first, and agreement between observers
//! shortens a suspicion. Observers on a ring come from Rapid (Suresh et al., USENIX ATC 2018). This
//! module performs no I/O, reads no clock and spawns no tasks. See
//! [docs/DESIGN.md](../../../docs/DESIGN.md).

mod descriptor;
mod members;
mod message;
mod rumors;
mod sums;

pub use self::descriptor::{InstanceDescriptor, Member, MemberState, Phase, Versions};
pub use self::members::{Membership, PROBE_INTERVAL_MS};
pub use self::message::{ChangesQuery, Message, PermitQuery, Probe, SignalUpdate, decode, encode};
pub use self::rumors::{GOSSIP_INTERVAL_MS, Rumor, RumorQueue};
pub use self::sums::BucketChecksums;
