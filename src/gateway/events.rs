//! Cuts a byte stream of server-sent events into whole events.
//!
//! An engine may stop in the middle of an event. Only whole events are passed on, so that the
//! answer can go on elsewhere after the last one.

use bytes::{Bytes, BytesMut};

/// The longest event that is waited for; a longer one counts as broken.
const LONGEST_BYTES: usize = 1 << 20;

/// A whole event as it came, with its blank line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its id, if it has one.
    pub id: Option<u64>,
    /// Its bytes, unchanged.
    pub bytes: Bytes,
}

/// What is left of events that are not whole yet.
#[derive(Debug, Default)]
pub struct Splitter {
    left: BytesMut,
}

impl Splitter {
    /// Takes in bytes and appends the events that are whole now. Returns whether what is left can
    /// still become an event.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<Event>) -> bool {
        self.left.extend_from_slice(bytes);
        while let Some(end) = event_end(&self.left) {
            let event = self.left.split_to(end).freeze();
            out.push(Event { id: event_id(&event), bytes: event });
        }
        self.left.len() <= LONGEST_BYTES
    }

    /// Whether nothing is left over.
    pub fn is_empty(&self) -> bool {
        self.left.is_empty()
    }
}

/// Where the first event ends: after an empty line.
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
