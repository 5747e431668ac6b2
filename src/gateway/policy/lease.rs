//! The lease that elects one instance to perform the duties: tasks such as usage reports and worker
//! orders that only one instance at a time may perform. Pure state machine without I/O.
//!
//! The lease is an entry in the directory that is written only if it doesn't exist, and that the
//! directory removes when it is not renewed in time. The revision of that write is the holder's
//! fencing token: each revision is unique, and each later holder has a higher one. A holder
//! computes when its lease ends from the time before it sent its request, on a clock that also
//! advances during a system suspend, and stops before the directory removes the entry. If the
//! response to the write was lost, the entry is read back. See
//! [docs/design/duties.md](../../../docs/design/duties.md).

use std::sync::Arc;

/// A holder stops when 1/`MARGIN_DIVISOR` of the lease is left: a call that it sends is in flight
/// for a while, and the directory's clock differs from its own.
const MARGIN_DIVISOR: u64 = 6;
/// Renewals within one lease: a lost renewal is followed by two more.
const RENEWALS_PER_LEASE: u64 = 3;
/// How much longer each next instance in rank waits for those ahead of it to take a free lease.
const DELAY_PER_RANK_MS: u64 = 300;

/// The holder of the lease, as recorded in the directory's entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The instance that holds the lease.
    pub id: Arc<str>,
    /// Random number that identifies this one write.
    pub nonce: u64,
    /// Fencing token: the directory's revision of the write.
    pub token: u64,
}

/// The next step to take about the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Write the entry if there is none.
    Acquire {
        /// Nonce of the write.
        nonce: u64,
    },
    /// Read the entry, since it is unknown whether it was written.
    ReadBack,
    /// Renew the directory's lease on the entry.
    Renew {
        /// Id of the directory's lease.
        lease: u64,
    },
}

/// An attempt to write the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AcquireAttempt {
    /// Its nonce.
    pub nonce: u64,
    /// Id of the directory's lease on the entry.
    pub lease: u64,
    /// Time before the attempt's first request was sent.
    pub requested_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Held {
    nonce: u64,
    lease: u64,
    token: u64,
    expires_ms: u64,
    renew_at_ms: u64,
}

/// Lease state of one instance.
#[derive(Debug, Clone)]
pub struct DutyLease {
    ttl_ms: u64,
    held: Option<Held>,
    unconfirmed: Option<AcquireAttempt>,
    /// Since when the lease has been free, as far as known; `None` if it is held.
    free_since_ms: Option<u64>,
}

impl DutyLease {
    /// Creates the state of a lease that lasts `ttl_ms` without renewal and that nobody is known to
    /// hold.
    pub fn new(ttl_ms: u64) -> DutyLease {
        DutyLease { ttl_ms, held: None, unconfirmed: None, free_since_ms: Some(0) }
    }

    /// Returns how long the lease lasts without renewal.
    pub fn ttl_ms(&self) -> u64 {
        self.ttl_ms
    }

    /// Returns the fencing token if this instance certainly holds the lease. To be checked right
    /// before each action under the lease.
    pub fn token(&self, now_ms: u64) -> Option<u64> {
        let margin_ms = self.ttl_ms / MARGIN_DIVISOR;
        let held = self.held.filter(|held| now_ms + margin_ms < held.expires_ms)?;
        Some(held.token)
    }

    /// Returns the next step of an instance that has `ahead` other candidates before it in rank.
    pub fn next_action(&mut self, ahead: usize, nonce: u64, now_ms: u64) -> Option<Action> {
        if self.held.is_some_and(|held| held.expires_ms <= now_ms) {
            self.held = None;
            self.free_since_ms = Some(now_ms);
        }
        if let Some(held) = self.held {
            return (held.renew_at_ms <= now_ms).then_some(Action::Renew { lease: held.lease });
        }
        if self.unconfirmed.is_some() {
            return Some(Action::ReadBack);
        }
        let free_ms = now_ms.saturating_sub(self.free_since_ms?);
        (free_ms >= ahead as u64 * DELAY_PER_RANK_MS).then_some(Action::Acquire { nonce })
    }

    /// Records the holder that the directory reports.
    pub fn note_holder(&mut self, holder: Option<&Holder>, now_ms: u64) {
        match holder {
            Some(_) => self.free_since_ms = None,
            None => {
                self.free_since_ms.get_or_insert(now_ms);
            }
        }
    }

    /// Records that the entry was written, at the revision that is now the fencing token.
    pub fn note_acquired(&mut self, attempt: AcquireAttempt, token: u64) {
        let expires_ms = attempt.requested_ms + self.ttl_ms;
        let renew_at_ms = attempt.requested_ms + self.ttl_ms / RENEWALS_PER_LEASE;
        let AcquireAttempt { nonce, lease, .. } = attempt;
        self.held = Some(Held { nonce, lease, token, expires_ms, renew_at_ms });
        self.unconfirmed = None;
        self.free_since_ms = None;
    }

    /// Records that it is unknown whether the entry was written.
    pub fn note_outcome_unknown(&mut self, unconfirmed: AcquireAttempt) {
        self.unconfirmed = Some(unconfirmed);
    }

    /// Records the entry as it was read back. An entry written by this instance counts only until
    /// its lease ends; a write that is executed later has no holder, and ends with its lease.
    pub fn note_read(&mut self, entry: Option<&Holder>, now_ms: u64) {
        let unconfirmed = self.unconfirmed.take();
        self.note_holder(entry, now_ms);
        if let (Some(entry), Some(unconfirmed)) = (entry, unconfirmed)
            && entry.nonce == unconfirmed.nonce
        {
            self.note_acquired(unconfirmed, entry.token);
        }
    }

    /// Records that a renewal sent at `requested_ms` was granted.
    pub fn note_renewed(&mut self, requested_ms: u64) {
        let ttl_ms = self.ttl_ms;
        if let Some(held) = &mut self.held {
            held.expires_ms = held.expires_ms.max(requested_ms + ttl_ms);
            held.renew_at_ms = requested_ms + ttl_ms / RENEWALS_PER_LEASE;
        }
    }

    /// Records that the directory came back from an older copy, which may have lost the entry or
    /// hold that of an earlier holder. A holder stops until it has read its own entry back.
    pub fn note_restored(&mut self) {
        if let Some(Held { nonce, lease, expires_ms, .. }) = self.held.take() {
            let requested_ms = expires_ms.saturating_sub(self.ttl_ms);
            self.unconfirmed = Some(AcquireAttempt { nonce, lease, requested_ms });
        }
    }

    /// Records that the lease has ended, as reported by the directory or by a service that checks
    /// fencing tokens.
    pub fn note_ended(&mut self, now_ms: u64) {
        self.held = None;
        self.free_since_ms = Some(now_ms);
    }
}
