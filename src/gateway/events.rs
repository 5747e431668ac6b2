//! Splits a byte stream of server-sent events into events.
//!
//! An engine may stop in the middle of an event. Only complete events are passed on, so that another
//! engine can continue the answer after the last one.

use bytes::{Bytes, BytesMut};

/// The maximum length of an event; a stream with a longer one counts as broken.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// A complete event as received, including its blank line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its id, if it has one that is a number.
    pub id: Option<u64>,
    /// Its bytes, unchanged.
    pub bytes: Bytes,
}

/// Splits received bytes into events, and buffers the incomplete event at their end.
#[derive(Debug, Default)]
pub struct EventSplitter {
    incomplete: BytesMut,
}

impl EventSplitter {
    /// Adds received bytes, and appends each event that is complete now to `out`. Returns false if
    /// the incomplete event exceeds the maximum length.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<Event>) -> bool {
        self.incomplete.extend_from_slice(bytes);
        while let Some(end) = event_end(&self.incomplete) {
            let event = self.incomplete.split_to(end).freeze();
            out.push(Event { id: event_id(&event), bytes: event });
        }
        self.incomplete.len() <= MAX_EVENT_BYTES
    }

    /// The size of the buffer for the incomplete event.
    pub fn buffer_bytes(&self) -> usize {
        self.incomplete.capacity()
    }

    /// Whether no incomplete event is buffered.
    pub fn is_empty(&self) -> bool {
        self.incomplete.is_empty()
    }
}

/// The end of the first event, just after the blank line that ends it.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line =
            bytes[line_start..index].strip_suffix(b"\r").unwrap_or(&bytes[line_start..index]);
        if line.is_empty() && line_start > 0 {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let value = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
