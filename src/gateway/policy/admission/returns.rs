//! Refused requests whose callers were told when to come back.
//!
//! A caller that comes back when told goes before new requests of its class, at whichever instance
//! it arrives. One that repeats its request sooner gains nothing, and keeps the time it was told.
//! Instances tell each other what they refused with their loads. See
//! [docs/design/admission.md](../../../../docs/design/admission.md).

use std::collections::BTreeMap;

use super::super::super::fingerprint::Fingerprint;

/// Upper bound on the refusals remembered.
const MAX_REMEMBERED: usize = 4_096;
/// How long after the time that it was told a caller still counts as returned: most callers that
/// come back at all do so within their deadline, which is shorter.
const KEPT_MS: u64 = 30_000;
/// How long a refusal is told to peers: several rounds of messages, some of which may be lost.
const TOLD_MS: u64 = 2_000;
/// Upper bound on the refusals told at once, which keeps a message within its size.
const MAX_TOLD: usize = 128;
/// What a peer tells is known late by up to this time, or by the delay divided by
/// [`LATENESS_DIVISOR`] if that is shorter. Otherwise a caller that comes back exactly when told
/// would count as too early at other instances.
const MAX_LATENESS_MS: u64 = 500;
const LATENESS_DIVISOR: u64 = 4;

/// A refusal as told to other instances, whose clocks differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ToldReturn {
    /// The refused request.
    pub fingerprint: Fingerprint,
    /// Time since it was refused.
    pub refused_ago_ms: u64,
    /// The retry time that its caller was given.
    pub retry_after_ms: u64,
    /// Counts the retry times that the request was given, one after the other.
    pub round: u32,
    /// Whether the caller has come back.
    pub is_taken: bool,
}

/// The refusals that this instance knows of.
#[derive(Debug, Default)]
pub struct Returns {
    promises: BTreeMap<Fingerprint, Promise>,
}

#[derive(Debug, Clone, Copy)]
struct Promise {
    refused_ms: u64,
    return_at_ms: u64,
    round: u32,
    is_taken: bool,
    /// When something last happened to it here; what is only heard from peers isn't passed on.
    changed_ms: Option<u64>,
}

impl Promise {
    fn is_open(&self, now_ms: u64) -> bool {
        !self.is_taken && now_ms < self.return_at_ms
    }
}

impl Returns {
    /// Records that the caller of a refused request was told to come back at a time, and returns
    /// when it is to come back: a caller that repeats its request too soon keeps the earlier time,
    /// and should be told that one.
    pub fn note_refused(
        &mut self,
        fingerprint: Fingerprint,
        return_at_ms: u64,
        now_ms: u64,
    ) -> u64 {
        let known = self.promises.get(&fingerprint);
        if let Some(open) = known.filter(|promise| promise.is_open(now_ms)) {
            return open.return_at_ms;
        }
        let round = known.map_or(0, |promise| promise.round.saturating_add(1));
        let changed_ms = Some(now_ms);
        let promise =
            Promise { refused_ms: now_ms, return_at_ms, round, is_taken: false, changed_ms };
        self.insert(fingerprint, promise, now_ms);
        return_at_ms
    }

    /// Whether the caller of a request comes back as told. Only the first return counts.
    pub fn takes_up(&mut self, fingerprint: Fingerprint, now_ms: u64) -> bool {
        let Some(promise) = self.promises.get_mut(&fingerprint) else { return false };
        let is_due = now_ms >= promise.return_at_ms
            && now_ms <= promise.return_at_ms.saturating_add(KEPT_MS);
        if promise.is_taken || !is_due {
            return false;
        }
        promise.is_taken = true;
        promise.changed_ms = Some(now_ms);
        true
    }

    /// Returns what happened here recently, newest first, to be told to other instances.
    pub fn recent(&self, now_ms: u64) -> Vec<ToldReturn> {
        let is_recent = |changed_ms: &u64| changed_ms + TOLD_MS >= now_ms;
        let changed = self.promises.iter().filter_map(|(fingerprint, promise)| {
            let changed_ms = promise.changed_ms.filter(is_recent)?;
            Some((changed_ms, *fingerprint, promise))
        });
        let mut changed: Vec<_> = changed.collect();
        changed.sort_unstable_by_key(|(changed_ms, ..)| std::cmp::Reverse(*changed_ms));
        changed.truncate(MAX_TOLD);
        let told = |(_, fingerprint, promise): (u64, Fingerprint, &Promise)| ToldReturn {
            fingerprint,
            refused_ago_ms: now_ms.saturating_sub(promise.refused_ms),
            retry_after_ms: promise.return_at_ms.saturating_sub(promise.refused_ms),
            round: promise.round,
            is_taken: promise.is_taken,
        };
        changed.into_iter().map(told).collect()
    }

    /// Adds what another instance told. Telling it again changes nothing.
    pub fn merge(&mut self, told: &ToldReturn, now_ms: u64) {
        let lateness_ms = (told.retry_after_ms / LATENESS_DIVISOR).min(MAX_LATENESS_MS);
        let refused_ms = now_ms.saturating_sub(told.refused_ago_ms);
        let heard = Promise {
            refused_ms,
            return_at_ms: refused_ms.saturating_add(told.retry_after_ms - lateness_ms),
            round: told.round,
            is_taken: told.is_taken,
            changed_ms: None,
        };
        let Some(known) = self.promises.get_mut(&told.fingerprint) else {
            return self.insert(told.fingerprint, heard, now_ms);
        };
        if heard.round > known.round {
            *known = heard;
        } else if heard.round == known.round {
            known.is_taken |= heard.is_taken;
            known.return_at_ms = known.return_at_ms.min(heard.return_at_ms);
        }
    }

    /// Number of refusals remembered.
    pub fn len(&self) -> usize {
        self.promises.len()
    }

    /// Whether no refusal is remembered.
    pub fn is_empty(&self) -> bool {
        self.promises.is_empty()
    }

    fn insert(&mut self, fingerprint: Fingerprint, promise: Promise, now_ms: u64) {
        if self.promises.len() >= MAX_REMEMBERED {
            self.promises.retain(|_, known| known.return_at_ms.saturating_add(KEPT_MS) >= now_ms);
        }
        if self.promises.len() >= MAX_REMEMBERED {
            let oldest = self.promises.iter().min_by_key(|(_, known)| known.return_at_ms);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.promises.remove(&oldest);
            }
        }
        self.promises.insert(fingerprint, promise);
    }
}
