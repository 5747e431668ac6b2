//! Which software version a stream may go on at: a run keeps to the version that began it, in one
//! answer and over its caller's tries. See
//! [docs/design/stream-versions.md](../../../../docs/design/stream-versions.md).

mod binding;
mod history;
mod log;
mod lookup;
mod records;
mod sight;

pub use self::binding::Binding;
pub use self::history::{VERSION_TTL_MS, VersionHistory, VersionNote};
pub use self::log::{SEGMENT_TTL_MS, Segment, StreamLog, WRITE_INTERVAL_MS, WRITERS};
pub use self::lookup::{
    Found, LOOKUP_INTERVAL_MS, ListAge, Lookup, MAX_ASKED, MAX_LOOKUP_MS, Others, Proof,
    StreamAnswer, StreamQuery,
};
pub use self::records::{RECORD_TTL_MS, REPLICAS, StreamKey, StreamRecord, StreamRecords, ranked};
pub use self::sight::{DirectoryCall, Sight};
