//! Forwarding by routes: an instance that stands before model engines and plain services.
//!
//! Callers bring any method, path and body; the configuration's routes say which service takes
//! them, how often they may be tried and for how long. A stream outlives its engine inside one
//! answer, a call that may not be repeated is sent again only if it certainly did not run.
//!
//! The parts, in the order of a request: [`connection`] accepts it, [`front`] reads it, [`route`] finds where it goes,
//! [`policy::placement`] picks the upstream, [`call`] or [`stream`] carries it over a channel of
//! [`channel`]. Beside them [`control`] keeps the configuration and the list of upstreams new,
//! over a [`directory`] and with its [`peers`]. How requests look on the wire is the business of a
//! [`dialect`]. See [docs/PLATFORM.md](../../docs/PLATFORM.md).

pub mod ablation;
pub mod answer;
pub mod body;
pub mod call;
pub mod caller;
pub mod callers;
pub mod channel;
pub mod connection;
pub mod control;
pub mod crash;
pub mod dialect;
pub mod directory;
mod drain;
pub mod duties;
pub mod event_queue;
pub mod events;
pub mod failure;
pub mod fingerprint;
pub mod fleet;
pub mod footprint;
pub mod front;
pub mod headers;
pub mod instance;
pub mod intake;
pub mod job;
pub mod loads;
pub mod membership;
pub mod message_bytes;
pub mod metrics;
pub mod native;
pub mod open;
pub mod operator;
pub mod policy;
pub mod questions;
pub mod rate;
pub mod route;
pub mod server;
pub mod settings;
pub mod shared_check;
pub mod stream;
pub mod tasks;
pub mod traffic;
pub mod via_peer;
pub mod view;
mod whole_answer;
pub mod worker;
