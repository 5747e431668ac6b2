//! The rate that an upstream takes, as upstreams name it and instances tell each other.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Requests a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rate {
    milli_per_s: u64,
}

impl Rate {
    /// Reads a decimal number of requests a second; `None` for what is none, or negative.
    pub fn read(value: &str) -> Option<Rate> {
        let per_s = value.trim().parse::<f64>().ok()?;
        (per_s.is_finite() && per_s >= 0.0).then(|| Rate::per_s(per_s))
    }

    /// So many requests a second.
    pub fn per_s(per_s: f64) -> Rate {
        Rate { milli_per_s: (per_s * 1_000.0) as u64 }
    }

    /// Requests a second.
    pub fn as_per_s(self) -> f64 {
        self.milli_per_s as f64 / 1_000.0
    }
}

/// Whether a request may be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Permit {
    /// It may.
    Granted,
    /// Not before this time has passed.
    Wait {
        /// The time until the asker's turn.
        after_ms: u64,
    },
}

/// A rate as one instance tells another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedRate {
    /// The upstream that named it.
    pub upstream: Arc<str>,
    /// The rate.
    pub rate: Rate,
    /// How long ago that was: what is told on gets no younger.
    pub age_ms: u64,
}
