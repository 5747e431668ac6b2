//! The rate that an upstream in need takes from all instances together: pure types and steps.

/// Requests a second.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
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
