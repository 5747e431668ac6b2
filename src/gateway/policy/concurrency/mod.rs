//! Admission of quick calls to a service whose workers report their load.
//!
//! A worker runs a call in each slot and queues the others, so a call that is sent to a full worker
//! is answered late, and one that meets a full queue is rejected. Instances therefore keep the
//! queues as short as the objective of the calls requires, and refuse what exceeds the capacity
//! when it arrives. Each instance decides alone, on a [`LoadEstimate`] that is as old as the reports.
//! See
//! [docs/design/quick-services.md](../../../../docs/design/quick-services.md).

mod arrivals;
mod decision;
mod estimate;

pub use self::decision::{Call, Concurrency, Decision, Ticket};
pub use self::estimate::{Conditions, LoadEstimate, Needed, Report, WorkerState, is_limited};
