//! How far a list that comes in pages was read, and whether a next page may follow.
//!
//! Lists come from the directory and from peers, and hold what others wrote there. Whoever reads one
//! relies on none of them for its own progress: each page has to end later than the one before, and a
//! bound holds for what is kept of the list and for how long it takes, so that the reading ends whatever
//! is in the pages. The same goes for a watch, whose position has to move. See
//! [docs/design/paged-lists.md](../../../docs/design/paged-lists.md).

use super::brief;

/// What the reader of a list keeps of each entry, beside its key and its value.
const ENTRY_BYTES: usize = 64;
/// How long a list may take: a directory keeps its history for a shorter time, without which a list is
/// of no use to a watch.
const MAX_LIST_MS: u64 = 60_000;
/// After this time an instance that has no list serves from what it has read of one: half the time that an
/// instance may take to serve again after its start.
pub const PART_DUE_MS: u64 = 6_000;
/// The first pause after a list or a watch that didn't move on, doubled each time.
const MIN_PAUSE_MS: u64 = 250;
/// The longest pause between two tries to read a list to its end: each reads all of it.
pub const MAX_LIST_PAUSE_MS: u64 = 8_000;
/// The longest pause between two calls of a watch that doesn't move on: each may still bring a change.
pub const MAX_WATCH_PAUSE_MS: u64 = 1_000;

/// Why a list or a watch doesn't lead on.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Fault {
    /// A page has no entries, and says that there are more.
    #[display("the page after \"{}\" has no entries, and more behind it", brief::text(after))]
    Empty {
        /// The key after which it begins.
        after: String,
    },
    /// A page ends no later than the one before.
    #[display(
        "the page after \"{}\" ends with \"{}\", which doesn't come later",
        brief::text(after),
        brief::text(last)
    )]
    NotLater {
        /// The key after which it begins.
        after: String,
        /// Its last key.
        last: String,
    },
    /// The list is too large to be held.
    #[display("it takes more than {max_bytes} bytes, from \"{}\" on", brief::text(key))]
    TooLarge {
        /// The first key that found no room.
        key: String,
        /// The room for the list.
        max_bytes: usize,
    },
    /// The list doesn't end in time.
    #[display("it doesn't end within {MAX_LIST_MS} ms; read up to \"{}\"", brief::text(after))]
    Endless {
        /// The last key that was read.
        after: String,
    },
    /// A watch brings changes and stays where it was.
    #[display("the position stays at {at}, although there are changes behind it")]
    Unmoved {
        /// The position.
        at: u64,
    },
    /// A watch goes back.
    #[display("the position goes back from {from} to {to}")]
    WentBack {
        /// The position asked from.
        from: u64,
        /// The position that was answered.
        to: u64,
    },
    /// A watch that should wait for changes returns without any, where it was.
    #[display("a watch of {wait_ms} ms returned without changes after {waited_ms} ms")]
    Unwaiting {
        /// How long it was to wait.
        wait_ms: u64,
        /// How long it did.
        waited_ms: u64,
    },
}

/// How far a list was read.
#[derive(Debug, Clone)]
pub struct Progress {
    /// The key after which the next page begins.
    after: String,
    /// The last key of the page that is being read, if it has any yet.
    last: Option<String>,
    held_bytes: usize,
    max_bytes: usize,
}

impl Progress {
    /// A list of which nothing was read yet, and that may take so many bytes.
    pub fn new(max_bytes: usize) -> Progress {
        Progress { after: String::new(), last: None, held_bytes: 0, max_bytes }
    }

    /// The key after which the next page begins; empty for the first one.
    pub fn after(&self) -> &str {
        &self.after
    }

    /// Takes in an entry of a page, of whose value so many bytes are kept.
    ///
    /// # Errors
    ///
    /// If it has no room; it isn't to be kept then.
    pub fn add(&mut self, key: &str, value_bytes: usize) -> Result<(), Fault> {
        let entry_bytes = ENTRY_BYTES.saturating_add(key.len()).saturating_add(value_bytes);
        let held_bytes = self.held_bytes.saturating_add(entry_bytes);
        if held_bytes > self.max_bytes {
            return Err(Fault::TooLarge { key: key.to_owned(), max_bytes: self.max_bytes });
        }
        self.held_bytes = held_bytes;
        let last = self.last.get_or_insert_default();
        last.clear();
        last.push_str(key);
        Ok(())
    }

    /// Ends a page, so long after the list was begun. Returns whether it is the last one.
    ///
    /// # Errors
    ///
    /// If no other page may follow although there is more.
    pub fn end_page(&mut self, has_more: bool, taken_ms: u64) -> Result<bool, Fault> {
        let last = self.last.take();
        if !has_more {
            return Ok(true);
        }
        let after = self.after.clone();
        let Some(last) = last else { return Err(Fault::Empty { after }) };
        if last <= after {
            return Err(Fault::NotLater { after, last });
        }
        self.after = last;
        if taken_ms > MAX_LIST_MS {
            return Err(Fault::Endless { after: self.after.clone() });
        }
        Ok(false)
    }
}

/// A call of a watch that was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Watched {
    /// The position asked from.
    pub from: u64,
    /// The position that was answered.
    pub to: u64,
    /// Whether there were changes that say something to an instance; others move the position only.
    pub has_changes: bool,
    /// How long it was to wait for some.
    pub wait_ms: u64,
    /// How long it took.
    pub waited_ms: u64,
}

impl Watched {
    /// Whether the next call may follow at once.
    ///
    /// # Errors
    ///
    /// Why it would bring the same again; what this one brought holds.
    pub fn judge(self) -> Result<(), Fault> {
        let Watched { from, to, has_changes, wait_ms, waited_ms } = self;
        if to < from {
            return Err(Fault::WentBack { from, to });
        }
        if has_changes && to == from {
            return Err(Fault::Unmoved { at: from });
        }
        if !has_changes && to == from && waited_ms < wait_ms / 2 {
            return Err(Fault::Unwaiting { wait_ms, waited_ms });
        }
        Ok(())
    }
}

/// The pauses between tries that don't move on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Retry {
    pause_ms: u64,
    max_pause_ms: u64,
}

impl Retry {
    /// Pauses of at most so long.
    pub fn new(max_pause_ms: u64) -> Retry {
        Retry { pause_ms: MIN_PAUSE_MS, max_pause_ms }
    }

    /// Notes that a try moved on.
    pub fn note_progress(&mut self) {
        self.pause_ms = MIN_PAUSE_MS;
    }

    /// Notes that a try didn't move on. Returns the pause before the next one.
    pub fn note_fault(&mut self) -> u64 {
        let pause_ms = self.pause_ms.min(self.max_pause_ms);
        self.pause_ms = (pause_ms * 2).min(self.max_pause_ms);
        pause_ms
    }
}
