//! The datagrams between instances.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::super::loads::{Changes, Digest, LoadNews};
use super::card::{Card, Versions};
use super::rumors::Rumor;

/// The version of the datagrams' layout. Instances of another one are not understood.
const LAYOUT: u8 = 3;

/// A datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether its receiver lives.
    Ping(Probe),
    /// Answers a ping.
    Ack(Probe),
    /// Asks its receiver to ping another instance and to pass the answer on.
    PingOther(Probe, SocketAddr),
    /// News for all.
    Rumors(Vec<Rumor>),
    /// What the sender has running at upstreams, for its failure domain.
    Loads(LoadNews),
    /// What all instances of a failure domain have running, for another one.
    Digest(Digest),
    /// What changed in the list of upstreams, and that there is a newer configuration.
    Changes(Changes),
}

/// A ping or its answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Probe {
    /// Who sends it.
    pub card: Card,
    /// What the sender knows.
    pub versions: Versions,
    /// Which ping it is, or which one it answers.
    pub number: u64,
    /// A sum over all members that the sender knows: two with different sums tell each other more.
    pub known_sum: u64,
    /// Some of what the sender knows.
    pub rumors: Vec<Rumor>,
}

/// The bytes of a message, if it can be encoded.
pub fn encode(message: &Message) -> Option<Vec<u8>> {
    rmp_serde::to_vec(&(LAYOUT, message)).ok()
}

/// Reads a message; `None` for anything else, and for the layout of another version.
pub fn decode(bytes: &[u8]) -> Option<Message> {
    let (layout, message): (u8, Message) = rmp_serde::from_slice(bytes).ok()?;
    (layout == LAYOUT).then_some(message)
}
