//! Calls that only one instance at a time may make: its lease, and what the platform is told under it.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;

use super::directory::Fault;
use super::policy::lease::Holder;
use super::policy::scaling::Order;
use super::policy::usage::{Counts, Schedule};

/// The terms of the duties.
#[derive(Debug, Clone, Copy)]
pub struct Terms {
    /// How long the lease lasts without renewal.
    pub lease_ms: u64,
    /// Which windows of usage are reported, if any are.
    pub usage: Option<Schedule>,
    /// Whether workers are ordered.
    pub orders_workers: bool,
}

impl Terms {
    /// No duties.
    pub const NONE: Terms = Terms { lease_ms: 0, usage: None, orders_workers: false };
}

/// What became of a write that is made only if nothing is there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Written<T> {
    /// It was made, at this revision.
    Now(u64),
    /// Something was there.
    Before(T),
}

/// A report of usage, as it is sent and stored: the same bytes each time.
pub type Report = Bytes;

/// Who makes a call of a duty, and by which right.
#[derive(Debug, Clone)]
pub struct Fence {
    /// The instance.
    pub holder: Arc<str>,
    /// Its fencing token.
    pub token: u64,
}

/// The calls of duties. A call without an answer may have been carried out, or be so later.
pub trait DutyCalls {
    /// The terms.
    fn terms(&self) -> Terms;

    /// Makes a lease in the directory that lasts so long; returns its name there.
    fn grant(&self, ttl_ms: u64) -> LocalBoxFuture<'_, Result<u64, Fault>>;

    /// Writes the holder's entry under a lease, if there is none.
    fn take<'a>(
        &'a self,
        holder: &'a str,
        nonce: u64,
        lease: u64,
    ) -> LocalBoxFuture<'a, Result<Written<Holder>, Fault>>;

    /// Reads the holder's entry.
    fn holder(&self) -> LocalBoxFuture<'_, Result<Option<Holder>, Fault>>;

    /// A report of a window, as it is sent.
    fn report(&self, window: u64, counts: &Counts) -> Report;

    /// Stores a report, if none of its window is stored.
    fn store_report(
        &self,
        window: u64,
        report: Report,
    ) -> LocalBoxFuture<'_, Result<Written<Report>, Fault>>;

    /// Sends a report.
    fn send_report(&self, fence: Fence, report: Report) -> LocalBoxFuture<'_, Result<(), Fault>>;

    /// Orders workers. Where none can be had, the answer is the same as to a token that is too low.
    fn order<'a>(&'a self, fence: Fence, order: &'a Order)
    -> LocalBoxFuture<'a, Result<(), Fault>>;
}
