//! Rate limits, as upstreams advertise them and instances send them to each other.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The highest rate that is told apart, in requests per second: as good as none, and bounded in sums.
const MAX_PER_S: f64 = 1e9;

/// A number of requests per second, stored in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rate {
    milli_per_s: u64,
}

impl Rate {
    /// Parses a decimal number of requests per second; returns `None` for anything that isn't a
    /// finite number of at least zero.
    pub fn parse(value: &str) -> Option<Rate> {
        let per_s = value.trim().parse::<f64>().ok()?;
        (per_s.is_finite() && per_s >= 0.0).then(|| Rate::per_s(per_s))
    }

    /// Creates a rate from a number of requests per second.
    pub fn per_s(per_s: f64) -> Rate {
        Rate { milli_per_s: (per_s.min(MAX_PER_S) * 1_000.0) as u64 }
    }

    /// Returns the number of requests per second.
    pub fn as_per_s(self) -> f64 {
        self.milli_per_s as f64 / 1_000.0
    }
}

/// Answer to an instance that wants to send a request to an upstream with a rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Permit {
    /// The request may be sent now.
    Granted,
    /// The instance must wait for its turn.
    Wait {
        /// Time until its turn.
        after_ms: u64,
    },
}

/// An advertised rate limit, as instances send it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdvertisedRate {
    /// The upstream that advertised it.
    pub upstream: Arc<str>,
    /// The rate.
    pub rate: Rate,
    /// Time since the upstream advertised it; forwarding does not reset it.
    pub age_ms: u64,
}
