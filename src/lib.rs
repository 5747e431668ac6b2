//! A serving system for long model generations on engines that fail without warning.
//!
//! Every caller gets its complete answer exactly once, quick calls never wait behind slow ones, and
//! an accepted configuration is in force everywhere and never reverts. How, and what was weighed,
//! stands in [docs/DESIGN.md](../docs/DESIGN.md); the words in
//! [docs/GLOSSARY.md](../docs/GLOSSARY.md).
//!
//! # Running an instance
//!
//! ```no_run
//! use siskinrock::{log, router, settings};
//!
//! # async fn run() -> siskinrock::Result<()> {
//! let flags = ["--id", "ranong-1", "--domain", "ranong-hall", "--store", "http://10.0.0.2:2379"];
//! let keys = ["--peer-key", "0123456789abcdef", "--operator-key", "fedcba9876543210"];
//! let arguments = flags.iter().chain(&keys).map(Into::into).collect();
//! let settings = settings::Settings::read(arguments, &|name| std::env::var(name).ok())?;
//! let logger = log::to_stderr(settings.log);
//! let running = router::Router::start(settings, logger).await?;
//! running.wait_for_stop().await;
//! running.stop().await;
//! # Ok(())
//! # }
//! ```
//!
//! # Driving a decision
//!
//! A decision is a pure step, so that a test or a simulator can bring its own time, network and
//! random source:
//!
//! ```
//! use siskinrock::request::admission::{Action, Admission, Arrival, Event};
//! use siskinrock::decide::Decide;
//!
//! let mut admission = Admission::default();
//! let mut random = fastrand::Rng::with_seed(1);
//! let mut actions = Vec::new();
//! let limits = Event::Limits { service: "planning".into(), slots: 1, queue: 10 };
//! admission.step(limits, 0, &mut random, &mut actions);
//! let arrival = Arrival {
//!     id: 7,
//!     service: "planning".into(),
//!     organisation: "harbour-a".into(),
//!     weight: 1,
//!     organisation_queue: 5,
//!     deadline_ms: 60_000,
//! };
//! admission.step(Event::Arrive(arrival), 1, &mut random, &mut actions);
//! assert_eq!(actions, [Action::Admit { id: 7 }]);
//! ```
//!
//! # Reading a command
//!
//! ```
//! let error = siskinrock::operators::command::parse("drian upstream 10.0.1.7:8000").unwrap_err();
//! assert!(error.to_string().contains("did you mean \"drain\"?"));
//! ```

pub mod assembly;
pub mod binds;
pub mod clock;
pub mod control;
pub mod ctl;
pub mod decide;
pub mod driver;
pub mod error;
pub mod gateway;
pub mod limited;
pub mod log;
pub mod machine;
pub mod metrics;
pub mod node;
pub mod operators;
pub mod peer;
/// The users' platform, in a folder of its own beside the sources.
#[path = "../platform/mod.rs"]
pub mod platform;
pub mod records;
pub mod request;
pub mod router;
pub mod settings;
pub mod settings_file;
pub mod signals;
pub mod store;
pub mod supervisor;
pub mod target;
pub mod wire;

pub use error::{Category, Error, Result};
