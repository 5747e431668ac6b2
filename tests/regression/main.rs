//! One small file a fault that was found, each seen red before it was mended.

mod claim_under_way;
mod removed_twice;
mod repeated_answer;
mod slow_first_gap;
