//! A bound on repeats, so that a lost failure domain does not become a storm of retries.

/// What a finished request adds, in thousandths of a repeat.
const EARNED_PER_REQUEST: u64 = 100;
/// What a repeat costs, in thousandths.
const COST: u64 = 1_000;

/// Repeats that may still be made: a tenth of the finished requests, and a few at the start.
#[derive(Debug, Clone)]
pub struct Budget {
    left: u64,
    most: u64,
}

impl Budget {
    /// A budget that holds up to `most` repeats and starts full.
    pub fn new(most: u64) -> Budget {
        Budget { left: most * COST, most: most * COST }
    }

    /// Notes a finished request.
    pub fn earn(&mut self) {
        self.left = (self.left + EARNED_PER_REQUEST).min(self.most);
    }

    /// Takes one repeat, if there is one.
    pub fn spend(&mut self) -> bool {
        let is_enough = self.left >= COST;
        if is_enough {
            self.left -= COST;
        }
        is_enough
    }
}
