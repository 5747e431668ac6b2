//! Real processes in surroundings that are late, empty, full or gone: each lives, or ends with a status
//! and a line that names the cause.

mod clocks;
mod hostile;
mod log;
mod panics;
mod router_messages;
mod run;
mod signals;
mod start;
#[path = "../support/mod.rs"]
mod support;
