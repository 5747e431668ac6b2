//! The one error type, its categories, and what a caller is told.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A result whose error is an [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// What went wrong, with the remedy in its message.
///
/// The kinds are private so that they can grow; [`Error::category`] and [`Error::code`] are
/// stable, and so are the HTTP statuses in [docs/API.md](../docs/API.md).
pub struct Error {
    kind: Box<Kind>,
}

/// What a caller can do about an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Category {
    /// The request has to be changed.
    Input,
    /// This attempt was not run; the same request may be sent again later.
    NotRun,
    /// Another request or operator was first.
    Conflict,
    /// The request may have run, and can't be run again under its key.
    Unknown,
    /// The fault is on this side.
    Internal,
}

/// Whether a request has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It has not and will not.
    No,
    /// It has.
    Yes,
    /// It may have.
    Unknown,
}

#[derive(Debug, derive_more::Display)]
pub(crate) enum Kind {
    #[display("the body is not what this path takes ({detail}); see docs/API.md for its form")]
    Malformed { detail: String },
    #[display("the body is over {limit_bytes} bytes; send a shorter one")]
    TooLarge { limit_bytes: usize },
    #[display("the body did not arrive within {timeout_ms} ms; send it faster or in one piece")]
    TooSlow { timeout_ms: u64 },
    #[display(
        "no organisation has this key; send 'Authorization: Bearer KEY' with the key that your operator gave you"
    )]
    WrongKey,
    #[display("service {name:?} does not exist{hint}; ask your operator which services there are")]
    NoService { name: String, hint: String },
    #[display("model {name:?} does not exist{hint}; name one that 'show models' lists")]
    NoModel { name: String, hint: String },
    #[display(
        "calls to {service:?} are not repeated, so each needs a header 'Idempotency-Key' of 1 to 200 visible characters without '/'"
    )]
    NoIdempotencyKey { service: String },
    #[display(
        "Last-Event-ID {value:?} was not issued here; send it as it was received, or not at all"
    )]
    BadEventId { value: String },
    #[display("this idempotency key was used with another body; use a new key for a new request")]
    KeyReused,
    #[display("the queue is full; send the request again after the time in Retry-After")]
    QueueFull { retry_after_ms: u64 },
    #[display(
        "the request would not be served before its deadline; send it again after the time in Retry-After"
    )]
    TooLate { retry_after_ms: u64 },
    #[display(
        "no upstream of {service:?} takes work now; send the request again after the time in Retry-After"
    )]
    NoUpstream { service: String, retry_after_ms: u64 },
    #[display(
        "this attempt was not run, and whether an earlier one with this key was can't be told now; send the request again with the same key after the time in Retry-After"
    )]
    ClaimUnavailable { retry_after_ms: u64 },
    #[display(
        "callers hold as much of this instance as they may; the request has not run, send it again after the time in Retry-After, or to another address"
    )]
    Crowded { retry_after_ms: u64 },
    #[display("this instance is not in service yet; use another address from /v1/addresses")]
    NotServing { retry_after_ms: u64 },
    #[display(
        "the request reached the service and no answer came back; it is not run again under this key, so check its effect before you use a new one"
    )]
    OutcomeUnknown,
    #[display(
        "the request is still being run; ask again with the same key after the time in Retry-After"
    )]
    InProgress { retry_after_ms: u64 },
    #[display("service {service:?} did not answer; the call may be repeated, so send it again")]
    UpstreamFailed { service: String },
    #[display(
        "the request ran, and its answer is no longer kept; check its effect before you use a new key"
    )]
    AnswerExpired,
    #[display(
        "the answer so far was lost with the instances that held it; start over with a new key"
    )]
    AnswerLost,
    #[display("the answer goes on elsewhere; connect again with the same key and Last-Event-ID")]
    Moved,
    #[display(
        "the answer did not end within {deadline_ms} ms; connect again with the same key and Last-Event-ID to go on waiting"
    )]
    DeadlinePassed { deadline_ms: u64 },
    #[display("the command can't be read at {at:?}: {detail}")]
    BadCommand { at: String, detail: String },
    #[display("{detail}")]
    Refused { detail: String },
    #[display(
        "{subject} was changed by revision {revision} ({command:?}, by {operator}) after you looked; check with 'show config history', then run {retry:?} again"
    )]
    Raced { subject: String, revision: u64, command: String, operator: String, retry: String },
    #[display(
        "the store can't be reached ({detail}); nothing was changed, run the command again once it answers"
    )]
    StoreDown { detail: String },
    #[display(
        "the store's reply was lost and it can't be read back; run the command again with --command-id {command_id} to learn whether it was applied"
    )]
    StoreUnknown { command_id: String },
    #[display(
        "the store answers with revision {found} although {known} is in force; nothing was changed, have the platform's operators restore the newer data"
    )]
    StoreStale { found: u64, known: u64 },
    #[display("{} faults in the settings:\n{}", faults.len(), faults.join("\n"))]
    Settings { faults: Vec<String> },
    /// Settings whose file isn't whole, and may be a moment later.
    #[display("{} faults in the settings:\n{}", faults.len(), faults.join("\n"))]
    SettingsNotWhole { faults: Vec<String> },
    #[display(
        "{key} {address} can't be used after {waited_ms} ms: {detail}; free the address, or choose another"
    )]
    Listen { key: String, address: String, detail: String, waited_ms: u64 },
    #[display("instance {address} can't be reached ({detail}); name a running one with --router")]
    Unreachable { address: String, detail: String },
    #[display("{detail}")]
    Internal { detail: String },
}

/// What a caller reads when a request fails.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Body {
    /// A stable word for programs.
    pub code: String,
    /// What happened and what to do.
    pub message: String,
    /// Whether the request has run.
    pub ran: Ran,
    /// When to come back, if that helps.
    pub retry_after_ms: Option<u64>,
}

impl Error {
    /// What a caller can do about it.
    pub fn category(&self) -> Category {
        match self.status() {
            409 => Category::Conflict,
            502 | 410 => Category::Unknown,
            500 => Category::Internal,
            429 | 503 => Category::NotRun,
            _ => Category::Input,
        }
    }

    /// A stable word for programs.
    pub fn code(&self) -> &'static str {
        match *self.kind {
            Kind::Malformed { .. } => "malformed",
            Kind::TooLarge { .. } => "too_large",
            Kind::TooSlow { .. } => "too_slow",
            Kind::WrongKey => "wrong_key",
            Kind::NoService { .. } => "no_service",
            Kind::NoModel { .. } => "no_model",
            Kind::NoIdempotencyKey { .. } => "no_idempotency_key",
            Kind::BadEventId { .. } => "bad_event_id",
            Kind::KeyReused => "key_reused",
            Kind::QueueFull { .. } => "queue_full",
            Kind::TooLate { .. } => "too_late",
            Kind::NoUpstream { .. } => "no_upstream",
            Kind::ClaimUnavailable { .. } => "claim_unavailable",
            Kind::Crowded { .. } => "crowded",
            Kind::NotServing { .. } => "not_serving",
            Kind::OutcomeUnknown => "outcome_unknown",
            Kind::InProgress { .. } => "in_progress",
            Kind::UpstreamFailed { .. } => "upstream_failed",
            Kind::AnswerExpired => "answer_expired",
            Kind::AnswerLost => "answer_lost",
            Kind::Moved => "moved",
            Kind::DeadlinePassed { .. } => "deadline_passed",
            Kind::BadCommand { .. } => "bad_command",
            Kind::Refused { .. } => "refused",
            Kind::Raced { .. } => "raced",
            Kind::StoreDown { .. } => "store_down",
            Kind::StoreUnknown { .. } => "store_unknown",
            Kind::StoreStale { .. } => "store_stale",
            Kind::Settings { .. } | Kind::SettingsNotWhole { .. } => "settings",
            Kind::Listen { .. } => "listen",
            Kind::Unreachable { .. } => "unreachable",
            Kind::Internal { .. } => "internal",
        }
    }

    /// The HTTP status that carries it.
    pub fn status(&self) -> u16 {
        match *self.kind {
            Kind::TooLarge { .. } => 413,
            Kind::TooSlow { .. } => 408,
            Kind::WrongKey => 401,
            Kind::NoService { .. } | Kind::NoModel { .. } => 404,
            Kind::KeyReused | Kind::Raced { .. } | Kind::Moved | Kind::InProgress { .. } => 409,
            Kind::QueueFull { .. } | Kind::TooLate { .. } => 429,
            Kind::NoUpstream { .. }
            | Kind::ClaimUnavailable { .. }
            | Kind::Crowded { .. }
            | Kind::NotServing { .. }
            | Kind::StoreDown { .. }
            | Kind::StoreStale { .. } => 503,
            Kind::OutcomeUnknown
            | Kind::UpstreamFailed { .. }
            | Kind::StoreUnknown { .. }
            | Kind::DeadlinePassed { .. } => 502,
            Kind::AnswerExpired | Kind::AnswerLost => 410,
            Kind::Listen { .. } | Kind::Unreachable { .. } | Kind::Internal { .. } => 500,
            _ => 400,
        }
    }

    /// Whether the request has run.
    pub fn ran(&self) -> Ran {
        match *self.kind {
            Kind::OutcomeUnknown
            | Kind::ClaimUnavailable { .. }
            | Kind::InProgress { .. }
            | Kind::UpstreamFailed { .. }
            | Kind::AnswerLost
            | Kind::Moved
            | Kind::DeadlinePassed { .. }
            | Kind::StoreUnknown { .. }
            | Kind::Internal { .. } => Ran::Unknown,
            Kind::AnswerExpired => Ran::Yes,
            _ => Ran::No,
        }
    }

    /// When to come back, if that helps.
    pub fn retry_after_ms(&self) -> Option<u64> {
        match *self.kind {
            Kind::QueueFull { retry_after_ms }
            | Kind::TooLate { retry_after_ms }
            | Kind::NoUpstream { retry_after_ms, .. }
            | Kind::ClaimUnavailable { retry_after_ms }
            | Kind::InProgress { retry_after_ms }
            | Kind::Crowded { retry_after_ms }
            | Kind::NotServing { retry_after_ms } => Some(retry_after_ms),
            _ => None,
        }
    }

    /// The form in which a caller reads it.
    pub fn body(&self) -> Body {
        Body {
            code: self.code().to_owned(),
            message: self.to_string(),
            ran: self.ran(),
            retry_after_ms: self.retry_after_ms(),
        }
    }

    /// Whether the settings may be in order a moment later, since their file isn't whole.
    pub fn is_passing(&self) -> bool {
        matches!(*self.kind, Kind::SettingsNotWhole { .. })
    }

    /// The error of a process that can't take a signal.
    pub fn from_signals(signal: &str, error: &std::io::Error) -> Error {
        Error::internal(format!("the signal {signal} can't be received: {error}"))
    }

    /// The error of a thread that ended in a panic, whose text and place the log has.
    pub fn from_panic(thread: &str) -> Error {
        Error::internal(format!(
            "the {thread} thread panicked; 'panicked' in the log has the text and the place"
        ))
    }

    /// The error of an instance without a part that it needs.
    pub fn from_failed_part(part: &str) -> Error {
        Error::internal(format!(
            "a part that the others need panicked ({part}); 'panicked' in the log has the text and the place"
        ))
    }

    /// The error of a process without a runtime.
    pub fn from_runtime(error: &std::io::Error) -> Error {
        Error::internal(format!("the runtime can't be started: {error}"))
    }

    pub(crate) fn internal(detail: impl fmt::Display) -> Error {
        Kind::Internal { detail: detail.to_string() }.into()
    }

    pub(crate) fn refused(detail: impl fmt::Display) -> Error {
        Kind::Refused { detail: detail.to_string() }.into()
    }
}

impl From<Kind> for Error {
    fn from(kind: Kind) -> Error {
        Error { kind: Box::new(kind) }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.kind.fmt(f)
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Error({}: {})", self.code(), self)
    }
}

impl std::error::Error for Error {}

/// The hint that a misspelt word gets: the nearest of the words that exist.
pub(crate) fn did_you_mean<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> String {
    const SIMILAR: f64 = 0.7;
    let scored = known.map(|other| (strsim::jaro_winkler(word, other), other));
    let nearest = scored.max_by(|one, other| one.0.total_cmp(&other.0));
    match nearest {
        Some((score, other)) if score >= SIMILAR => format!(" (did you mean {other:?}?)"),
        _ => String::new(),
    }
}
