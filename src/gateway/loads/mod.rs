//! What instances tell each other of their traffic, each piece to those who read it.
//!
//! Who places requests beside the sender, in its failure domain, hears of its load at once. Other
//! failure domains get a digest of the whole domain a few times a second: its instances send it by
//! turns, to one instance of each other domain, which passes it on there. So neither the messages of
//! one instance nor the bytes between domains grow with the fleet. A message changes what it names
//! in the picture, in time that depends on its own length. See [docs/DESIGN.md](../../../docs/DESIGN.md).

mod message;
mod own;
mod picture;
mod places;

pub use self::message::{Changes, Digest, LoadNews, Part};
pub use self::own::{Held, Own, Sent, Told};
pub use self::picture::{DIGEST_MS, Loads};
pub use self::places::Places;
