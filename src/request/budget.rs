//! A retry budget, so that the loss of a failure domain doesn't cause a retry storm.

/// What a finished request adds, in thousandths of a retry.
const DEPOSIT_PER_REQUEST: u64 = 100;
/// What a retry costs, in thousandths.
const RETRY_COST: u64 = 1_000;

/// Retries that may still be made: a tenth of the finished requests, and a full budget at the start.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    balance: u64,
    capacity: u64,
}

impl RetryBudget {
    /// A budget that holds up to `capacity` retries and starts full.
    pub fn new(capacity: u64) -> RetryBudget {
        RetryBudget { balance: capacity * RETRY_COST, capacity: capacity * RETRY_COST }
    }

    /// Adds a finished request's part of a retry.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT_PER_REQUEST).min(self.capacity);
    }

    /// Takes one retry out of the budget; `false` if there is none left.
    pub fn withdraw(&mut self) -> bool {
        let is_enough = self.balance >= RETRY_COST;
        if is_enough {
            self.balance -= RETRY_COST;
        }
        is_enough
    }
}
