//! The datagrams exchanged between instances.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::super::fleet::{Departure, Upstream};
use super::super::loads::{Changes, Digest, LoadUpdate};
use super::super::policy::rejections::Rejection;
use super::super::policy::stream_versions::{StreamAnswer, StreamQuery, StreamRecord};
use super::super::policy::subset::Share;
use super::super::policy::usage::UsageUpdate;
use super::super::rate::{AdvertisedRate, Permit, Rate};
use super::descriptor::{InstanceDescriptor, Versions};
use super::rumors::Rumor;
use super::sums::BucketChecksums;

/// Version of the datagram layout; datagrams of any other version are rejected.
const LAYOUT: u8 = 10;

/// A datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the receiver for a [`Message::Ack`], to check that it is alive.
    Ping(Probe),
    /// Answers a ping.
    Ack(Probe),
    /// Asks the receiver to ping another instance and to forward the answer (`ping-req` in SWIM).
    PingOther(Probe, SocketAddr),
    /// Updates for all instances.
    Rumors(Vec<Rumor>),
    /// Checksums over the members that the sender knows, one per bucket; `true` if they reply to the
    /// receiver's own.
    #[serde(rename = "Sums")]
    Checksums(BucketChecksums, bool),
    /// Members that the receiver lacks or knows in another version. They are not gossiped further
    /// unless they are urgent, because other instances know them already.
    Members(Vec<Rumor>),
    /// The sender's load at upstreams, for its failure domain.
    Loads(LoadUpdate),
    /// The load of all instances of a failure domain at upstreams, for another domain.
    Digest(Digest),
    /// Changes to the list of upstreams, and the sender's configuration version.
    Changes(Changes),
    /// Asks an instance that holds all upstreams for changes to the list.
    AskChanges(ChangesQuery),
    /// Asks an instance that holds all upstreams for one of them, by its id.
    AskUpstream(Arc<str>),
    /// Answers [`Message::AskUpstream`].
    Upstream(Upstream),
    /// Asks the instance that owns an upstream's token bucket for a permit.
    AskPermit(PermitQuery),
    /// Answers [`Message::AskPermit`], with the number of the query.
    Permit(u64, Permit),
    /// Rate limits and departures that upstreams advertised in their responses.
    Signals(SignalUpdate),
    /// What the sender counted for the usage report.
    Usage(UsageUpdate),
    /// Software versions of streams, for the instances that hold their records.
    StreamRecords(Vec<StreamRecord>),
    /// Asks an instance for the version of a stream.
    AskStream(StreamQuery),
    /// Answers [`Message::AskStream`].
    StreamAnswer(StreamAnswer),
}

/// Rate limits and departures that upstreams advertised to instances in their responses.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignalUpdate {
    /// The rate limits that upstreams advertised.
    pub rates: Vec<AdvertisedRate>,
    /// Upstreams that advertised that they are leaving.
    pub departures: Vec<Departure>,
    /// Upstreams that were lost and answer again.
    pub recovered: Vec<Arc<str>>,
    /// Requests that brittle upstreams turned away just now.
    pub rejections: Vec<Rejection>,
    /// Whether the receiver forwards the entries that are new to it within its failure domain.
    pub must_forward: bool,
}

impl SignalUpdate {
    /// Whether there is nothing in it.
    pub fn is_empty(&self) -> bool {
        self.rates.is_empty()
            && self.departures.is_empty()
            && self.recovered.is_empty()
            && self.rejections.is_empty()
    }
}

/// Asks for a permit to send one request to an upstream that limits its rate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitQuery {
    /// Number of the query at its sender; the answer repeats it.
    pub number: u64,
    /// Id of the upstream.
    pub upstream: Arc<str>,
    /// The rate that the upstream accepts from all instances together, as far as the sender knows.
    pub rate: Rate,
}

/// Asks for changes to the list of upstreams, and whether there is a newer configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesQuery {
    /// Id of the sender.
    pub id: Arc<str>,
    /// The versions that the sender has.
    pub versions: Versions,
    /// The share of the large services that the sender holds.
    pub share: Share,
}

/// A ping or its answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Probe {
    /// What the sender publishes about itself.
    pub descriptor: InstanceDescriptor,
    /// The versions that the sender has.
    pub versions: Versions,
    /// Number of the ping; its answer repeats it.
    pub number: u64,
    /// Checksum over all members that the sender knows; two instances whose checksums differ compare
    /// their members.
    pub checksum: u64,
    /// Rumors about the receiver that it may have to refute.
    pub rumors: Vec<Rumor>,
}

/// Encodes a message; `None` if that is not possible.
pub fn encode(message: &Message) -> Option<Vec<u8>> {
    rmp_serde::to_vec(&(LAYOUT, message)).ok()
}

/// Decodes a message; `None` if it is malformed or has another layout version.
pub fn decode(bytes: &[u8]) -> Option<Message> {
    let (layout, message): (u8, Message) = rmp_serde::from_slice(bytes).ok()?;
    (layout == LAYOUT).then_some(message)
}
