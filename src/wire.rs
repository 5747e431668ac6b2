//! The messages between instances: MessagePack over HTTP.
//!
//! Fields are sent by position, so that new ones may only be added at the end, with a default.

use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::control::membership::Member;
use crate::error::{Kind, Result};
use crate::records::record::{Reply, Request};

/// The header that carries the key between instances.
pub const PEER_KEY: &str = "x-peer-key";

/// The header that names the request whose tokens are followed.
pub const FOLLOWED_KEY: &str = "x-followed-key";

/// Operations on a holder's records.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Batch {
    /// In the order in which they apply.
    pub requests: Vec<Request>,
}

/// The answers to a [`Batch`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Replies {
    /// One a request.
    pub replies: Vec<Reply>,
}

/// A new holder's question for older records.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AskHandover {
    /// The slots that it asks for.
    pub slots: Vec<u16>,
    /// The asker's table, which the receiver takes on first.
    pub table: Arc<crate::control::membership::Table>,
}

/// A question whether an instance can be reached, and the answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Witness {
    /// The instance in question.
    pub suspect: Member,
    /// In the answer: whether it was reached.
    pub reaches: bool,
}

/// A question about a run, and the answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Inquiry {
    /// Which run.
    pub nonce: u64,
    /// In the answer: what its owner says.
    pub state: RunState,
}

/// What an owner knows about a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunState {
    /// It is being served.
    Active,
    /// It was given up before anything was sent, and will never be.
    Abandoned,
    /// Nothing is known here; an earlier start of this instance may have run it.
    Unknown,
}

/// How far an instance is.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// Its name.
    pub id: Arc<str>,
    /// This start of it.
    pub incarnation: u64,
    /// The configuration in force there.
    pub revision: u64,
    /// The table in force there.
    pub epoch: u64,
    /// Whether it answers claims in that epoch.
    pub is_ready: bool,
    /// Bytes that it has sent for control.
    pub control_sent_bytes: u64,
    /// Bytes that it has received for control.
    pub control_received_bytes: u64,
    /// Bytes that it has sent and received to copy records.
    pub copy_bytes: u64,
}

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // Our own types hold no map with odd keys and no foreign serializer, so this can't fail.
    rmp_serde::to_vec(message).unwrap_or_default()
}

/// Decodes a message.
///
/// # Errors
///
/// If the bytes are not a message of this kind.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    rmp_serde::from_slice(bytes)
        .map_err(|error| Kind::Malformed { detail: error.to_string() }.into())
}
