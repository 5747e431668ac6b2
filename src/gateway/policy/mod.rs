//! Policy decisions of the gateway: pure functions and state machines, without I/O.
//!
//! Nothing here uses a socket, a clock, a task or a log, so tests can drive each decision with a
//! simulated time. [`super::traffic`], [`super::call`] and [`super::stream`] supply the inputs and
//! carry out the results; see [docs/DESIGN.md](../../../docs/DESIGN.md).

pub mod active;
pub mod admission;
pub mod advertised_rates;
pub mod answer_end;
pub mod answer_head;
pub mod answer_match;
pub mod arrivals;
pub mod body_limit;
pub mod bounds;
pub mod brief;
pub mod budget;
pub mod cache_lookup;
pub mod caller_limits;
pub mod caller_time;
pub mod closed_classes;
pub mod coincidence;
pub mod concurrency;
pub mod departures;
pub mod directory_return;
pub mod engine;
pub mod eras;
pub mod hedge;
pub mod identity;
pub mod isolation;
pub mod latency;
pub mod lease;
pub mod listed_address;
pub mod losses;
pub mod outages;
pub mod outcomes;
pub mod outliers;
pub mod pace;
pub mod paging;
pub mod placement;
pub mod poison_parts;
pub mod quarantine;
pub mod rate_limit;
pub mod rediscovered;
pub mod rejections;
pub mod relay;
pub mod request_memory;
pub mod room;
pub mod run_stop;
pub mod scaling;
pub mod search;
pub mod silence;
pub mod silent_engine;
pub mod speed;
pub mod spread;
pub mod standstill;
pub mod start;
pub mod stop;
pub mod stream_end;
pub mod stream_versions;
pub mod subset;
pub mod usage;
pub mod watchers;
pub mod yielding;
