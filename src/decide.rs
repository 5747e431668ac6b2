//! The one trait through which any harness drives a decision.
//!
//! A decision owns no clock, socket, task or lock. Whoever drives it brings the time and the
//! random source and carries out the actions: the tokio shell in production, a loop in tests, or
//! a foreign simulator. See [docs/DESIGN.md](../docs/DESIGN.md#decisions).

/// A source of random numbers that a harness can make repeatable.
pub trait Random {
    /// A number in `0..bound`; `bound` must not be 0.
    fn below(&mut self, bound: u64) -> u64;
}

impl Random for fastrand::Rng {
    fn below(&mut self, bound: u64) -> u64 {
        self.u64(..bound)
    }
}

/// A pure step from an event to actions.
pub trait Decide {
    /// What happens to the decision.
    type Event;
    /// What the decision wants done.
    type Action;

    /// Takes in one event at `now_ms` on a monotonic clock and appends the actions to `out`.
    ///
    /// An event that is late, repeated or from an unknown sender changes nothing.
    fn step(
        &mut self,
        event: Self::Event,
        now_ms: u64,
        random: &mut dyn Random,
        out: &mut Vec<Self::Action>,
    );
}
