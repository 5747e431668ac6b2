//! Decides whether an instance that has started knows its fleet: the members that it did not know have
//! ceased to arrive. Until then its rank and the number of instances would be wrong. A fixed time
//! since the start shows nothing, since the first exchanges take seconds on a busy machine.

/// Number of rounds in a row that bring no unknown member, after which an instance knows its fleet. In
/// each round it hears from its successors and from a random member.
const SETTLED_ROUNDS: u32 = 3;

/// The arrivals of members that were unknown, by rounds of the failure detection.
#[derive(Debug, Default)]
pub struct Arrivals {
    /// Whether a member answered in this round.
    is_answered: bool,
    /// Answered rounds since the last arrival.
    quiet_rounds: u32,
    have_ceased: bool,
}

impl Arrivals {
    /// Records a member that was unknown.
    pub fn note_arrival(&mut self) {
        self.is_answered = false;
        self.quiet_rounds = 0;
    }

    /// Records an answer to a ping.
    pub fn note_answer(&mut self) {
        self.is_answered = true;
    }

    /// Ends a round. A round without an answer shows nothing.
    pub fn end_round(&mut self) {
        if std::mem::take(&mut self.is_answered) {
            self.quiet_rounds += 1;
        }
        self.have_ceased |= self.quiet_rounds >= SETTLED_ROUNDS;
    }

    /// Whether enough rounds have brought no unknown member. Later arrivals change nothing: they are few
    /// among the known members.
    pub fn have_ceased(&self) -> bool {
        self.have_ceased
    }
}
