//! What the bodies of callers' requests hold of an instance's memory, from their first byte until
//! their requests have ended.
//!
//! All bodies share one amount. Long ones may not take the last parts of it: they are kept for bodies
//! of ordinary length, so that a short request finds room beside any number of long ones.

/// The longest short body: it arrives together with its head.
pub const SHORT_BYTES: usize = 8 << 10;
/// The longest body of middle length.
pub const MIDDLE_BYTES: usize = 64 << 10;

/// The length of a body, as far as it matters for its room.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Length {
    /// Up to [`SHORT_BYTES`].
    Short,
    /// Up to [`MIDDLE_BYTES`].
    Middle,
    /// Any other.
    Long,
}

impl Length {
    /// The length of a body of so many bytes.
    pub fn of(bytes: usize) -> Length {
        if bytes <= SHORT_BYTES {
            Length::Short
        } else if bytes <= MIDDLE_BYTES {
            Length::Middle
        } else {
            Length::Long
        }
    }

    /// What all bodies together may hold for one of this length to grow.
    fn room_bytes(self, max_bytes: usize) -> usize {
        match self {
            Length::Short => max_bytes,
            Length::Middle => max_bytes / 8 * 7,
            Length::Long => max_bytes / 4 * 3,
        }
    }
}

/// There is no room for a body to grow; it holds what it did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoRoom {
    /// What others would have to free.
    pub missing_bytes: usize,
}

/// What all bodies hold.
#[derive(Debug, Default)]
pub struct RequestMemory {
    used_bytes: usize,
}

impl RequestMemory {
    /// What all bodies hold together.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Has a body hold `bytes` where it held `held_bytes`, if all may hold `max_bytes`.
    ///
    /// # Errors
    ///
    /// Fails if there is no room.
    pub fn grow(
        &mut self,
        held_bytes: usize,
        bytes: usize,
        max_bytes: usize,
    ) -> Result<(), NoRoom> {
        let used_bytes = self.used_bytes - held_bytes + bytes;
        let room_bytes = Length::of(bytes).room_bytes(max_bytes);
        if used_bytes > room_bytes {
            return Err(NoRoom { missing_bytes: used_bytes - room_bytes });
        }
        self.used_bytes = used_bytes;
        Ok(())
    }

    /// Frees what a body held.
    pub fn free(&mut self, held_bytes: usize) {
        self.used_bytes -= held_bytes;
    }
}
