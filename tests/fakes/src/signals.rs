//! What an upstream says of itself in the headers of its answers.

/// What it asks of those who send it requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Signals {
    /// Requests a second that it takes from all instances together.
    pub limit_per_s: Option<f64>,
}

impl Signals {
    /// The headers that say so.
    pub fn headers(&self) -> Vec<(&'static str, String)> {
        let limit = self.limit_per_s.map(|per_s| ("Server-Limit", per_s.to_string()));
        limit.into_iter().collect()
    }
}
