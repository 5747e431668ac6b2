//! Who lives: a membership protocol whose time and load per instance do not grow with the fleet.
//!
//! Each instance pings a few others, its successors on a ring that all compute alike, so that each
//! is observed by as many. What doesn't answer, neither directly nor through others, is suspected;
//! it may refute that by a higher version of itself, else it is dead when two observers agree or a
//! moment has passed. What is learned spreads as rumors, each sent a bounded number of times; what
//! rumors left out, members find by comparing [`Sums`] with those they ping.
//!
//! The protocol follows SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
//! Infection-style Process Group Membership Protocol", DSN 2002); an instance that was itself late
//! doubts itself first, and agreement shortens a suspicion, as in Lifeguard (Dadgar, Phillips,
//! Currey: "Lifeguard: Local Health Awareness for More Accurate Failure Detection", DSN 2018);
//! observers on a ring come from Rapid (Suresh et al., USENIX ATC 2018). Nothing here knows a
//! socket, a clock or a task. See [docs/DESIGN.md](../../../docs/DESIGN.md).

mod card;
mod members;
mod message;
mod rumors;
mod sums;

pub use self::card::{Card, Member, Phase, Standing, Versions};
pub use self::members::{Membership, PROBE_MS};
pub use self::message::{ChangesAsk, Message, PermitAsk, Probe, SignalNews, decode, encode};
pub use self::rumors::{GOSSIP_MS, Rumor, Rumors};
pub use self::sums::Sums;
