//! Which software version a stream may go on at: a run keeps to the version that began it. See
//! [docs/design/stream-versions.md](../../../../docs/design/stream-versions.md).

mod binding;

pub use self::binding::Binding;
