//! Admission of requests to a service whose engines are short of room: which request goes next,
//! which one is refused, and what a refused caller is told.
//!
//! Every instance ranks its own waiting requests among all that wait anywhere, and takes the place
//! of that rank. No instance asks another one. See
//! [docs/design/admission.md](../../../../docs/design/admission.md).

pub mod late;
pub mod order;
pub mod queue;
pub mod refusal;
pub mod returns;

pub use late::{EngineActivity, LateRequest, MAX_RECHECK_DELAY_MS};
