//! The gateway as real processes on loopback, before fakes that speak the platform's protocol.

mod calls;
mod clock;
mod configuration;
mod connections;
mod decisions;
mod engine;
mod explain;
mod front;
mod layers;
mod leaving;
mod load;
mod loads;
mod lost_instances;
mod membership;
mod patience;
mod permits;
mod quarantine;
mod rate_limit;
mod rest;
mod silence;
mod stops;
mod store;
mod streams;
mod support;
mod suspicion;
mod watchers;
