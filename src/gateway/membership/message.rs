//! The datagrams between instances.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::super::fleet::{Departure, Upstream};
use super::super::loads::{Changes, Digest, LoadNews};
use super::super::policy::subset::Share;
use super::super::policy::usage::UsageNews;
use super::super::rate::{AdvertisedRate, Permit, Rate};
use super::card::{Card, Versions};
use super::rumors::Rumor;
use super::sums::Sums;

/// The version of the datagrams' layout. Instances of another one are not understood.
const LAYOUT: u8 = 4;

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
    /// Sums over what the sender knows of members, part by part; it was asked for them if `true`.
    Sums(Sums, bool),
    /// Members that the receiver lacks or knows otherwise. No news: others know them already.
    Members(Vec<Rumor>),
    /// What the sender has running at upstreams, for its failure domain.
    Loads(LoadNews),
    /// What all instances of a failure domain have running, for another one.
    Digest(Digest),
    /// What changed in the list of upstreams, and that there is a newer configuration.
    Changes(Changes),
    /// Asks its receiver, who holds all upstreams, what changed.
    AskChanges(ChangesAsk),
    /// Asks its receiver, who holds all upstreams, for one of them.
    AskUpstream(Arc<str>),
    /// Answers that.
    Upstream(Upstream),
    /// Asks its receiver, who owns an upstream's token bucket, for a permit.
    AskPermit(PermitAsk),
    /// Answers that, by its number.
    Permit(u64, Permit),
    /// What upstreams said in their answers.
    Signals(SignalNews),
    /// What the sender counted for the report of usage.
    Usage(UsageNews),
}

/// What upstreams said to instances in their answers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignalNews {
    /// The rates that they take.
    pub rates: Vec<AdvertisedRate>,
    /// Those that leave.
    pub departures: Vec<Departure>,
    /// Whether its receiver passes on to its failure domain what is news to it.
    pub is_passed_on: bool,
}

impl SignalNews {
    /// Whether it says nothing.
    pub fn is_empty(&self) -> bool {
        self.rates.is_empty() && self.departures.is_empty()
    }
}

/// A request for a permit to send one request to an upstream that limits its rate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitAsk {
    /// Which request of its sender it is.
    pub number: u64,
    /// The upstream.
    pub upstream: Arc<str>,
    /// The rate that the upstream takes from all instances, as far as the sender knows.
    pub rate: Rate,
}

/// A question of what changed in the list of upstreams, and whether there is a newer configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesAsk {
    /// Who asks.
    pub id: Arc<str>,
    /// What it knows.
    pub versions: Versions,
    /// The share of the large services that it holds.
    pub share: Share,
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
