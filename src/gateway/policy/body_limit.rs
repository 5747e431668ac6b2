//! How much of an answer's body is held in memory until it is whole and its caller has taken it.
//!
//! A body may come without end, from many upstreams at once. Each has a limit, and beyond a small part
//! of it all share one, of which long ones leave a part to others: an instance's memory is bounded, and
//! short answers have room.

/// The maximum size of an answer to a caller.
pub const MAX_ANSWER_BYTES: usize = 8 << 20;
/// The maximum size of the answer to a question of the gateway itself, such as an engine's state or
/// the list of the prompts that it keeps.
pub const MAX_QUESTION_BYTES: usize = 2 << 20;
/// The size up to which a body needs none of the shared memory: it arrives with its head.
const MAX_SMALL_BYTES: usize = 8 << 10;
/// The size up to which a body may use the last part of the shared memory.
const MAX_MIDDLE_BYTES: usize = 64 << 10;
/// The maximum size of what all longer bodies hold, however large the machine is.
const MAX_LONG_BYTES: usize = 24 << 20;
/// Of the shared memory, what longer bodies may take.
const LONG_SHARE: (usize, usize) = (3, 4);

/// The memory for answers where the machine has so many bytes for them: enough for the longest one, and
/// never more than usual.
pub fn part_bytes(bytes: usize) -> usize {
    let (numerator, denominator) = LONG_SHARE;
    let least_bytes = MAX_ANSWER_BYTES * denominator / numerator + 1;
    bytes.clamp(least_bytes, MAX_LONG_BYTES * denominator / numerator)
}

/// The memory that the bodies of one thread share.
#[derive(Debug)]
pub struct SharedMemory {
    max_bytes: usize,
    used_bytes: usize,
}

impl Default for SharedMemory {
    fn default() -> SharedMemory {
        SharedMemory::new(usize::MAX)
    }
}

/// What one body holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    max_bytes: usize,
    bytes: usize,
}

/// Why a body is read no further.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Exceeded {
    /// It is longer than any answer may be.
    #[display("its body is longer than {max_bytes} bytes; it was not read further")]
    Limit {
        /// The limit.
        max_bytes: usize,
    },
    /// Too many long bodies are being read.
    #[display("too many long bodies are being read; it was not read further")]
    Shared,
}

impl Held {
    /// A body of which nothing was read, and that may have so many bytes.
    pub fn new(max_bytes: usize) -> Held {
        Held { max_bytes, bytes: 0 }
    }

    /// What it may hold.
    pub fn max_bytes(self) -> usize {
        self.max_bytes
    }

    /// What it holds.
    pub fn bytes(self) -> usize {
        self.bytes
    }

    /// What it holds of the shared memory.
    pub fn shared_bytes(self) -> usize {
        self.bytes.saturating_sub(MAX_SMALL_BYTES)
    }
}

impl SharedMemory {
    /// Memory of so many bytes, as far as [`part_bytes`] allows.
    pub fn new(bytes: usize) -> SharedMemory {
        SharedMemory { max_bytes: part_bytes(bytes), used_bytes: 0 }
    }

    /// What all bodies together may hold for one of this size to grow.
    fn room_bytes(&self, held: Held) -> usize {
        let (numerator, denominator) = LONG_SHARE;
        match held.bytes {
            bytes if bytes <= MAX_MIDDLE_BYTES => self.max_bytes,
            _ => self.max_bytes / denominator * numerator,
        }
    }

    /// What all bodies may hold of it.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// What all bodies hold of it.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Has a body hold more.
    ///
    /// # Errors
    ///
    /// Fails if it may not; it holds what it did then.
    pub fn grow(&mut self, held: &mut Held, more_bytes: usize) -> Result<(), Exceeded> {
        let grown = Held { bytes: held.bytes.saturating_add(more_bytes), ..*held };
        if grown.bytes > held.max_bytes {
            return Err(Exceeded::Limit { max_bytes: held.max_bytes });
        }
        let used_bytes = self.used_bytes + grown.shared_bytes() - held.shared_bytes();
        if grown.shared_bytes() > 0 && used_bytes > self.room_bytes(grown) {
            return Err(Exceeded::Shared);
        }
        self.used_bytes = used_bytes;
        *held = grown;
        Ok(())
    }

    /// Has a body hold exactly so many bytes: less than before, or more as far as it may.
    ///
    /// # Errors
    ///
    /// Fails if it may not hold more; it holds what it did then.
    pub fn settle(&mut self, held: &mut Held, bytes: usize) -> Result<(), Exceeded> {
        if bytes > held.bytes {
            return self.grow(held, bytes - held.bytes);
        }
        let settled = Held { bytes, ..*held };
        self.used_bytes -= held.shared_bytes() - settled.shared_bytes();
        *held = settled;
        Ok(())
    }

    /// Frees what a body holds.
    pub fn free(&mut self, held: Held) {
        self.used_bytes -= held.shared_bytes();
    }
}
