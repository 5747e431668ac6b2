//! The lease that makes one instance the holder of duties that only one may have: pure steps.
//!
//! The lease is an entry of the directory that is written only if there is none, and that the
//! directory removes when it is not renewed in time. The revision of that write is the holder's fencing
//! token: the directory makes each one once, and each later holder's is higher. A holder counts its
//! time from before it asked, on a clock that counts a suspension, and stops earlier than the directory
//! does; a write whose answer was lost is read back. See [docs/design/duties.md](../../../docs/design/duties.md).

use std::sync::Arc;

/// The part of the lease before whose end a holder stops: a call that it sends is then on its way for a
/// time, and the directory's clock is not its own.
const MARGIN_PART: u64 = 6;
/// How often a lease is renewed while it lasts: one lost renewal is followed by two more.
const RENEWALS: u64 = 3;
/// How much longer each next instance in rank waits for those before it to take a free lease.
const NEXT_MS: u64 = 300;

/// Who holds the lease, as the directory's entry says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The instance.
    pub id: Arc<str>,
    /// Drawn by it for this one write.
    pub nonce: u64,
    /// The directory's revision of the write.
    pub token: u64,
}

/// What is to be done about the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Write the entry, if there is none, with this nonce.
    Take {
        /// The nonce.
        nonce: u64,
    },
    /// Read the entry: whether it was written is not known.
    ReadBack,
    /// Renew the directory's lease on it.
    Renew {
        /// That lease.
        lease: u64,
    },
}

/// A write of the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Try {
    /// Its nonce.
    pub nonce: u64,
    /// The directory's lease on it.
    pub lease: u64,
    /// When it was asked for.
    pub asked_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Held {
    lease: u64,
    token: u64,
    until_ms: u64,
    renew_ms: u64,
}

/// The lease as one instance knows it.
#[derive(Debug, Clone)]
pub struct DutyLease {
    ttl_ms: u64,
    held: Option<Held>,
    unsure: Option<Try>,
    /// Since when nobody holds it, as far as known.
    free_since_ms: Option<u64>,
}

impl DutyLease {
    /// A lease that lasts so long without renewal, and that nobody is known to hold.
    pub fn new(ttl_ms: u64) -> DutyLease {
        DutyLease { ttl_ms, held: None, unsure: None, free_since_ms: Some(0) }
    }

    /// How long it lasts without renewal.
    pub fn ttl_ms(&self) -> u64 {
        self.ttl_ms
    }

    /// The fencing token, if this instance holds the lease for certain. To be asked right before
    /// anything is done by it.
    pub fn token(&self, now_ms: u64) -> Option<u64> {
        let margin_ms = self.ttl_ms / MARGIN_PART;
        let held = self.held.filter(|held| now_ms + margin_ms < held.until_ms)?;
        Some(held.token)
    }

    /// What is to be done now, by an instance that comes after `before` others that may hold the lease.
    pub fn next(&mut self, before: usize, nonce: u64, now_ms: u64) -> Option<Action> {
        if self.held.is_some_and(|held| held.until_ms <= now_ms) {
            self.held = None;
            self.free_since_ms = Some(now_ms);
        }
        if let Some(held) = self.held {
            return (held.renew_ms <= now_ms).then_some(Action::Renew { lease: held.lease });
        }
        if self.unsure.is_some() {
            return Some(Action::ReadBack);
        }
        let free_ms = now_ms.saturating_sub(self.free_since_ms?);
        (free_ms >= before as u64 * NEXT_MS).then_some(Action::Take { nonce })
    }

    /// Notes who holds it, as the directory tells.
    pub fn note_holder(&mut self, holder: Option<&Holder>, now_ms: u64) {
        match holder {
            Some(_) => self.free_since_ms = None,
            None => {
                self.free_since_ms.get_or_insert(now_ms);
            }
        }
    }

    /// Notes that the entry was written, at the revision that is now the token.
    pub fn note_taken(&mut self, taken: Try, token: u64) {
        let until_ms = taken.asked_ms + self.ttl_ms;
        let renew_ms = taken.asked_ms + self.ttl_ms / RENEWALS;
        self.held = Some(Held { lease: taken.lease, token, until_ms, renew_ms });
        self.unsure = None;
        self.free_since_ms = None;
    }

    /// Notes that it is not known whether the entry was written.
    pub fn note_unsure(&mut self, unsure: Try) {
        self.unsure = Some(unsure);
    }

    /// Takes in the entry as it was read. An entry of this instance's own counts only while its lease
    /// lasts; a write that comes about later is nobody's, and ends with its lease.
    pub fn note_read(&mut self, entry: Option<&Holder>, now_ms: u64) {
        let unsure = self.unsure.take();
        self.note_holder(entry, now_ms);
        if let (Some(entry), Some(unsure)) = (entry, unsure)
            && entry.nonce == unsure.nonce
        {
            self.note_taken(unsure, entry.token);
        }
    }

    /// Notes that a renewal that was asked for at a time was granted.
    pub fn note_renewed(&mut self, asked_ms: u64) {
        let ttl_ms = self.ttl_ms;
        if let Some(held) = &mut self.held {
            held.until_ms = held.until_ms.max(asked_ms + ttl_ms);
            held.renew_ms = asked_ms + ttl_ms / RENEWALS;
        }
    }

    /// Notes that it has ended, as the directory or whoever checks tokens says.
    pub fn note_ended(&mut self, now_ms: u64) {
        self.held = None;
        self.free_since_ms = Some(now_ms);
    }
}
