//! Positions in the directory's history that never go back, although its revisions may.
//!
//! A directory that comes back from an older copy loses its latest changes and gives their revisions
//! out again. Each time it begins a new era, whose number it names in its answers. A position
//! combines both, so that every position of an era comes after all positions of the eras before it,
//! and whoever compares positions needs to know nothing of eras.
//!
//! What an instance knew before stands until something newer says otherwise. A list of a new era may
//! be older than that, so [`reconcile`] decides entry by entry.

use super::super::fleet::Upstream;

/// Bits of a position that hold the revision. Positions stay below 2^53, so that formats which store
/// numbers as floating point keep them.
const REVISION_BITS: u32 = 40;
const MAX_REVISION: u64 = (1 << REVISION_BITS) - 1;
const MAX_ERA: u64 = (1 << 13) - 1;

/// How long an entry that had been removed is doubted when a list of a new era names it. Whoever
/// removed it does so again within some seconds; an upstream that had only lapsed does not.
pub const DOUBT_MS: u64 = 5_000;

/// The era that a directory names, if it can be one: a number in digits that positions can hold.
pub fn named(text: &str) -> Option<u64> {
    text.trim().parse().ok().filter(|era| *era <= MAX_ERA)
}

/// The position of a revision in an era.
pub fn position(era: u64, revision: u64) -> u64 {
    (era.min(MAX_ERA) << REVISION_BITS) | revision.min(MAX_REVISION)
}

/// The era of a position.
pub fn era_of(position: u64) -> u64 {
    position >> REVISION_BITS
}

/// The revision of a position within its era.
pub fn revision_of(position: u64) -> u64 {
    position & MAX_REVISION
}

/// What is known of an upstream when a list names it.
#[derive(Debug, Clone, Copy)]
pub enum Known<'a> {
    /// It is listed.
    Listed(&'a Upstream),
    /// Its entry was removed at a position; it had been created at another one.
    Gone {
        /// Position of the removal.
        at: u64,
        /// Position at which the entry was created.
        created: u64,
    },
}

/// What to make of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reconciled {
    /// It holds as it stands here.
    Believed(Upstream),
    /// It was removed since. If the removal isn't written again for [`DOUBT_MS`], it holds.
    Doubted(Upstream),
}

/// What to make of an entry that a list names, which was read at a position. An entry with a
/// position of its own ([`Upstream::stated_at`]) was seen to change there; one without is only as
/// new as the list, which knows all changes of its era and may lack the latest ones of an earlier
/// era.
pub fn reconcile(known: Option<Known<'_>>, mut listed: Upstream, position: u64) -> Reconciled {
    match known {
        Some(Known::Listed(before)) if before.is_same_life(&listed) => {
            if !is_newer_word(before, &listed, position) {
                listed.is_leaving = before.is_leaving;
                listed.stated_at = before.stated_at;
            } else if listed.stated_at == 0 {
                listed.stated_at = position;
            }
            if is_same_entry(before.listed_at, listed.listed_at) {
                listed.listed_at = before.listed_at;
            }
            return Reconciled::Believed(listed);
        }
        Some(Known::Gone { at, created })
            if listed.stated_at <= at
                && era_of(at) < era_of(position)
                && is_same_entry(created, listed.listed_at) =>
        {
            return Reconciled::Doubted(listed);
        }
        _ => {}
    }
    if listed.is_leaving && listed.stated_at == 0 {
        listed.stated_at = position;
    }
    Reconciled::Believed(listed)
}

/// Whether the state in a list is newer than what is known of the same upstream.
fn is_newer_word(before: &Upstream, listed: &Upstream, position: u64) -> bool {
    if listed.stated_at != 0 {
        return listed.stated_at > before.stated_at;
    }
    // An upstream doesn't take its leaving back: a list of a later era only may not know it any more,
    // unless the entry was created after it.
    let knows_leaving = || {
        era_of(before.stated_at) == era_of(position)
            || revision_of(listed.listed_at) > revision_of(before.stated_at)
    };
    listed.is_leaving != before.is_leaving && (listed.is_leaving || knows_leaving())
}

/// Whether two positions are of the same creation: an entry that outlasts an era is listed in the next
/// one with the same revision.
fn is_same_entry(one: u64, other: u64) -> bool {
    revision_of(one) == revision_of(other)
}
