//! Stand-ins of everything that siskinrock meets from outside.
//!
//! Each one listens on loopback, runs on a thread and a runtime of its own, and can be told over
//! HTTP (`POST /fault`) to die, pause, slow down, answer late, or apply a request and lose the
//! reply. They exist for tests, the demo and the bench, and are not shipped.
//!
//! ```no_run
//! let platform = siskinrock_standin::platform::start("127.0.0.1:0");
//! println!("the key-value service listens on {}", platform.addr);
//! platform.kill();
//! ```

pub mod caller;
pub mod chain;
pub mod engine;
pub mod fault;
pub mod host;
pub mod platform;
pub mod seats;
pub mod unframed;

/// A voyage brief: what a marine coordinator of Andaman files.
pub const VOYAGE: &str = include_str!("../data/voyage.txt");
/// A transcript in three languages: what an interviewer of Dakar files.
pub const INTERVIEW: &str = include_str!("../data/interview.txt");
