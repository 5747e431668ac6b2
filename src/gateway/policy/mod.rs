//! The gateway's decisions: pure steps from what is known to what is done, and why.
//!
//! Nothing here knows a socket, a clock, a task or a log, so each decision can be driven by a test
//! that owns time. The shell ([`super::traffic`], [`super::call`], [`super::stream`]) turns what
//! arrives into their inputs and their outputs into calls; see [docs/DESIGN.md](../../../docs/DESIGN.md).

pub mod active;
pub mod admission;
pub mod budget;
pub mod coincidence;
pub mod departures;
pub mod engine;
pub mod found;
pub mod hedge;
pub mod latency;
pub mod lease;
pub mod losses;
pub mod named_rates;
pub mod outages;
pub mod placement;
pub mod quarantine;
pub mod rate_limit;
pub mod recall;
pub mod scaling;
pub mod silence;
pub mod sought;
pub mod spread;
pub mod stop;
pub mod subset;
pub mod usage;
pub mod watchers;
