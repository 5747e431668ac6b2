//! Puts a body together from what arrives of it, in one buffer.
//!
//! A frame may hold far more memory than it has bytes, since it shares the buffer that it was read into:
//! only a first one is kept as it is, for a body that arrives with it. Whoever reads a body holds room
//! for its buffer before it grows.

use bytes::Bytes;

/// The smallest buffer of a body that doesn't arrive at once.
const MIN_BUFFER_BYTES: usize = 4 << 10;
/// The longest body whose buffer has its announced size from the beginning.
const MAX_EXPECTED_BYTES: usize = 64 << 10;

/// A body that arrives.
#[derive(Debug)]
pub struct Assembly {
    announced_bytes: Option<usize>,
    max_bytes: usize,
    first: Bytes,
    all: Vec<u8>,
}

impl Assembly {
    /// A body of which nothing has arrived, with its announced size and the longest that is taken.
    pub fn new(announced_bytes: Option<usize>, max_bytes: usize) -> Assembly {
        Assembly { announced_bytes, max_bytes, first: Bytes::new(), all: Vec::new() }
    }

    /// What it will hold with so many more bytes; `None` if it is too long then.
    pub fn bytes_with(&self, more_bytes: usize) -> Option<usize> {
        let length = self.first.len() + self.all.len() + more_bytes;
        if length > self.max_bytes {
            return None;
        }
        let is_first = self.first.is_empty() && self.all.is_empty();
        Some(if is_first { length } else { self.capacity(length) })
    }

    /// Takes in more bytes, in a buffer of the size that [`Assembly::bytes_with`] told.
    pub fn push(&mut self, data: Bytes) {
        if self.first.is_empty() && self.all.is_empty() {
            self.first = data;
            return;
        }
        let capacity = self.capacity(self.first.len() + self.all.len() + data.len());
        self.all.reserve_exact(capacity - self.all.len());
        self.all.extend_from_slice(&std::mem::take(&mut self.first));
        self.all.extend_from_slice(&data);
    }

    /// The size of the buffer for so many bytes: what was announced, but not much more than has come.
    fn capacity(&self, length: usize) -> usize {
        if length <= self.all.capacity() {
            return self.all.capacity();
        }
        let longest = self.announced_bytes.unwrap_or(self.max_bytes);
        let is_expected = self.announced_bytes.is_some_and(|bytes| bytes <= MAX_EXPECTED_BYTES);
        let doubled = length.saturating_mul(2).max(MIN_BUFFER_BYTES);
        let wanted = if is_expected { longest } else { doubled.min(longest) };
        wanted.max(length)
    }

    /// The whole body.
    pub fn finish(self) -> Bytes {
        if self.all.is_empty() { self.first } else { Bytes::from(self.all) }
    }
}
