//! What an upstream says of itself in the headers of its answers.

/// What it asks of those who send it requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Signals {
    /// Requests a second that it takes from all instances together.
    pub limit_per_s: Option<f64>,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// For how many seconds it asks whomever it refuses to back off.
    pub backoff_s: Option<f64>,
    /// How long work takes there, in percent of the usual time, if it says so.
    pub slowness_percent: Option<u32>,
    /// How many requests it may turn away in a second before it falls over, if it says so.
    pub brittle: Option<u32>,
    /// Whether its answers have the mark by which an instance tells another that a request has not
    /// run there.
    pub has_instances_mark: bool,
}

impl Signals {
    /// The headers of any answer that say so.
    pub fn headers(&self) -> Vec<(&'static str, String)> {
        let limit = self.limit_per_s.map(|per_s| ("Server-Limit", per_s.to_string()));
        let leaving = self.is_leaving.then(|| ("Server-Leaving", "1".to_owned()));
        let brittle = self.brittle.map(|bound| ("Server-Brittle", bound.to_string()));
        let mark = self.has_instances_mark.then(|| ("siskinrock-not-taken", "1".to_owned()));
        limit.into_iter().chain(leaving).chain(brittle).chain(mark).collect()
    }

    /// Its load: requests that run, wait and can run at once, and its slowness.
    pub fn load(&self) -> String {
        let slowness = self.slowness_percent.map(|percent| format!(",{percent}"));
        format!("1,0,8{}", slowness.unwrap_or_default())
    }

    /// The headers of a refusal.
    pub fn refusing(&self) -> Vec<(&'static str, String)> {
        let backoff = self.backoff_s.map(|seconds| ("Retry-After", seconds.to_string()));
        self.headers().into_iter().chain(backoff).collect()
    }
}
