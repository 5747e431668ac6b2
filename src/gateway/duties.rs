//! Calls that perform the duties: tasks such as usage reports and worker orders that only one
//! instance at a time may perform. They manage the lease that elects this instance, and send
//! reports and orders to the platform under it.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;

use super::directory::Fault;
use super::policy::lease::Holder;
use super::policy::scaling::WorkerOrder;
use super::policy::usage::{Counts, Schedule};

/// Settings of the duties.
#[derive(Debug, Clone, Copy)]
pub struct DutySettings {
    /// How long the lease lasts without renewal.
    pub lease_ms: u64,
    /// Which windows of usage are reported; `None` if usage isn't reported.
    pub usage: Option<Schedule>,
    /// Whether workers are ordered from the platform.
    pub orders_workers: bool,
}

impl DutySettings {
    /// No duties.
    pub const NONE: DutySettings = DutySettings { lease_ms: 0, usage: None, orders_workers: false };
}

/// Outcome of a write that is made only if there is no entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CreateOutcome<T> {
    /// The entry was written, at this revision.
    Created(u64),
    /// An entry with this value already existed.
    Exists(T),
}

/// An encoded report of usage: the same bytes each time it is sent or stored.
pub type Report = Bytes;

/// Credentials for a call under the lease.
#[derive(Debug, Clone)]
pub struct Fence {
    /// The instance that holds the lease.
    pub holder: Arc<str>,
    /// Its fencing token.
    pub token: u64,
}

/// The calls of duties. A call without a response may have been executed, or may be executed later.
pub trait DutyCalls {
    /// Returns the settings of the duties.
    fn duty_settings(&self) -> DutySettings;

    /// Creates a lease in the directory that lasts `ttl_ms` without renewal; returns its id.
    fn grant(&self, ttl_ms: u64) -> LocalBoxFuture<'_, Result<u64, Fault>>;

    /// Writes the holder's entry under a lease, if there is none.
    fn acquire<'a>(
        &'a self,
        holder: &'a str,
        nonce: u64,
        lease: u64,
    ) -> LocalBoxFuture<'a, Result<CreateOutcome<Holder>, Fault>>;

    /// Reads the holder's entry.
    fn holder(&self) -> LocalBoxFuture<'_, Result<Option<Holder>, Fault>>;

    /// Encodes the report of a window.
    fn encode_report(&self, window: u64, counts: &Counts) -> Report;

    /// Stores a report, if none is stored for its window.
    fn store_report(
        &self,
        window: u64,
        report: Report,
    ) -> LocalBoxFuture<'_, Result<CreateOutcome<Report>, Fault>>;

    /// Sends a report to the platform.
    fn send_report(&self, fence: Fence, report: Report) -> LocalBoxFuture<'_, Result<(), Fault>>;

    /// Orders workers from the platform. A lack of capacity has the same response as a fencing
    /// token that is too low.
    fn send_order<'a>(
        &'a self,
        fence: Fence,
        order: &'a WorkerOrder,
    ) -> LocalBoxFuture<'a, Result<(), Fault>>;
}
