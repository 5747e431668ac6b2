//! The known revisions of the store's keys, and the calls to the store in progress.

use crate::control::{Action, Key};

/// How often instances without a watch read the store, in case a change did not reach them.
const FALLBACK_READ_MS: u64 = 30_000;
/// How often an instance that isn't in the table tries to join.
const JOIN_MS: u64 = 300;

/// The known revisions and the calls in progress.
#[derive(Debug, Default)]
pub(super) struct StoreView {
    table_revision: u64,
    document_revision: u64,
    is_reading_table: bool,
    is_writing_table: bool,
    is_watching: [bool; 2],
    read_ms: u64,
    join_ms: u64,
}

impl StoreView {
    /// Reads the table before a change of it, unless a write is in progress.
    pub(super) fn read_to_change(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let is_due = now_ms.saturating_sub(self.join_ms) >= JOIN_MS;
        if is_due && !self.is_writing_table {
            self.join_ms = now_ms;
            self.read_table(out);
        }
    }

    /// Watches both keys.
    pub(super) fn watch_all(&mut self, out: &mut Vec<Action>) {
        self.watch(Key::Table, self.table_revision, out);
        self.watch(Key::Document, self.document_revision, out);
    }

    fn watch(&mut self, key: Key, after: u64, out: &mut Vec<Action>) {
        let is_watching = &mut self.is_watching[key as usize];
        if !*is_watching {
            *is_watching = true;
            out.push(Action::Watch { key, after });
        }
    }

    /// Reads both keys periodically, for instances without a watch.
    pub(super) fn read_periodically(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        if now_ms.saturating_sub(self.read_ms) >= FALLBACK_READ_MS {
            self.read_ms = now_ms;
            out.push(Action::Read(Key::Document));
            self.read_table(out);
        }
    }

    /// Reads the table, unless a read is in progress.
    pub(super) fn read_table(&mut self, out: &mut Vec<Action>) {
        if !self.is_reading_table {
            self.is_reading_table = true;
            out.push(Action::Read(Key::Table));
        }
    }

    /// Handles the end of a read or watch.
    pub(super) fn handle_read_end(&mut self, key: Key, was_watch: bool) {
        if was_watch {
            self.is_watching[key as usize] = false;
        } else if key == Key::Table {
            self.is_reading_table = false;
        }
    }

    /// Records the revision of a key that was read.
    pub(super) fn record_revision(&mut self, key: Key, revision: u64) {
        let known = match key {
            Key::Table => &mut self.table_revision,
            Key::Document => &mut self.document_revision,
        };
        *known = revision.max(*known);
    }

    /// Marks a write of the table as in progress; `false` if one is already.
    pub(super) fn begin_write(&mut self) -> bool {
        !std::mem::replace(&mut self.is_writing_table, true)
    }

    /// Handles the end of a write of the table, with the store's revision if it was applied.
    pub(super) fn handle_written(&mut self, applied: Option<u64>) {
        self.is_writing_table = false;
        if let Some(revision) = applied {
            self.table_revision = revision;
        }
    }
}
