//! Switching single mechanisms off, to measure what each is worth.
//!
//! No operator needs this, so the product has no such setting: only a build with the feature
//! `ablation` reads the environment variable `SISKINROCK_WITHOUT`, a list of names with commas
//! between them. See [docs/POLICY.md](../../docs/POLICY.md).

/// What can be switched off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Mechanism {
    /// Copies of runs at a second engine.
    #[display("copies")]
    Copies,
    /// The question to a quiet engine.
    #[display("question")]
    Question,
    /// What the answer to it means for a silent run.
    #[display("silence")]
    Silence,
    /// The doubt that several losses cast on their failure domain.
    #[display("doubt")]
    Doubt,
    /// Keeping a run away from a failure domain in which it lost an engine.
    #[display("avoid")]
    Avoid,
    /// The search for engines while the directory is silent.
    #[display("search")]
    Search,
    /// Loads that upstreams tell with their answers.
    #[display("told-loads")]
    ToldLoads,
    /// A second attempt after an upstream's own error.
    #[display("second-opinion")]
    SecondOpinion,
    /// A second attempt beside a silent one.
    #[display("hedge")]
    Hedge,
    /// The time that refusals name, beyond a fixed one.
    #[display("retry-after")]
    RetryAfter,
    /// Of several entries with one address, only the youngest counts.
    #[display("youngest")]
    Youngest,
    /// Keeping requests until an instance that has just started has a configuration.
    #[display("kept-at-start")]
    KeptAtStart,
    /// The queue in which requests wait for room.
    #[display("admission")]
    Admission,
}

impl Mechanism {
    /// Whether it works, as it always does in the product.
    pub fn is_on(self) -> bool {
        #[cfg(feature = "ablation")]
        {
            use std::sync::LazyLock;
            static WITHOUT: LazyLock<String> =
                LazyLock::new(|| std::env::var("SISKINROCK_WITHOUT").unwrap_or_default());
            !WITHOUT.split(',').any(|name| name == self.to_string())
        }
        #[cfg(not(feature = "ablation"))]
        true
    }
}
