//! Small fakes that speak the platform's published protocol: its store, model engines, plain
//! services, links that can be cut, and a proxy that harms connections. Everything listens on loopback.

pub mod caller;
pub mod cloud;
pub mod crowd;
pub mod endless;
pub mod engine;
pub mod footprint;
pub mod http;
pub mod links;
mod loopback;
pub mod output;
pub mod peer_links;
pub mod process;
pub mod proxy;
pub mod service;
pub mod signals;
pub mod site;
pub mod spoilt;
pub mod store;
