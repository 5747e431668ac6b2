//! A randomized soak: real gateways as separate processes, faults from outside, and the promises
//! checked while it runs from what callers and upstreams see.

pub mod callers;
pub mod checks;
pub mod crowds;
pub mod faults;
pub mod history;
pub mod lost;
pub mod memory;
pub mod odd;
pub mod processes;
pub mod rounds;
pub mod signals;
pub mod surroundings;
pub mod tasks;
pub mod works;
pub mod world;
