//! The reasons for refusing a request, the answers that callers get for them, and whether the request
//! may have run.

use std::sync::Arc;

use bytes::Bytes;
use serde::Serialize;

use super::fingerprint::Fingerprint;

/// When to retry after a refusal for a temporary reason while the service has upstreams. If it has
/// none, [`super::policy::outages`] sets the delay.
const RETRY_DELAY_MS: u64 = 300;
/// When to retry at another address: almost at once. The delay is for a caller that has no other
/// address yet.
const RETRY_ELSEWHERE_DELAY_MS: u64 = 20;
/// When to retry a stream whose version has no upstream: about when one that crashed is back.
const VERSION_RETRY_DELAY_MS: u64 = 2_000;
/// When to retry at an instance that callers crowd: those that make no progress yield by then.
const CROWDED_RETRY_DELAY_MS: u64 = 1_000;
/// When to retry at an instance that has no configuration yet; reading one takes a few calls.
const STARTING_RETRY_DELAY_MS: u64 = 500;

/// Why a request wasn't served; the HTTP status says whether it may have run.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Failure {
    /// This instance has no configuration yet.
    #[display("this instance has no configuration yet; send the request again after Retry-After")]
    Starting,
    /// A planned stop is under way, and the request would not end before it does.
    #[display("this instance is stopping; send the request to another address")]
    Stopping,
    /// A planned stop ended before the answer came, and the request may have run.
    #[display("this instance stopped before the answer came; check the request's effect first")]
    Stopped,
    /// No route matches.
    #[display("no route takes this host and path; check both, or add a route")]
    NoRoute,
    /// No organisation has the key.
    #[display("no organisation has this key; send a key that your operator gave you")]
    WrongKey,
    /// The request can't be read.
    #[display("the request can't be read ({detail}); send it as HTTP/1.1 with one length")]
    Malformed {
        /// What is wrong with it.
        detail: String,
    },
    /// The body is too large.
    #[display("the body is over {limit_bytes} bytes; send a shorter one")]
    TooLarge {
        /// The limit.
        limit_bytes: usize,
    },
    /// The request arrived too slowly.
    #[display("the request did not arrive within {timeout_ms} ms; send it faster")]
    TooSlow {
        /// The timeout.
        timeout_ms: u64,
    },
    /// Callers hold as much of this instance as they may, and none of them yields to this one.
    #[display(
        "callers hold as much of this instance as they may; the request has not run, send it again \
         after Retry-After, or to another address"
    )]
    Crowded,
    /// No upstream takes work; the request has not run.
    #[display(
        "no upstream of the service takes work now; send the request again after Retry-After"
    )]
    NoUpstream,
    /// No upstream of the software version that began the stream takes work, and what another
    /// version writes doesn't fit; this request has not run.
    #[display(
        "no upstream of the software version that began the stream takes work; the request has not \
         run, send it again after Retry-After, or begin the stream anew"
    )]
    NoUpstreamOfVersion,
    /// Nobody knows the software version that began the stream, and several may have.
    #[display(
        "nobody knows which software version began the stream; the request has not run, send it again \
         after Retry-After, or begin the stream anew"
    )]
    UnknownVersion,
    /// This instance reaches no upstream, and no other instance could take the request.
    #[display("this instance reaches no upstream now; send the request to another address")]
    CutOff,
    /// All upstreams that could take it are throttled.
    #[display(
        "the upstreams of the service limit what they get; the request has not run, send it again after \
         Retry-After"
    )]
    Throttled,
    /// All upstreams to which it was sent answered that they did not run it, or it was refused on
    /// arrival, since none would answer it within the objective.
    #[display(
        "the upstreams are full or would answer too late; the request has not run, send it again after \
         Retry-After"
    )]
    Full,
    /// More requests wait for the service than it can serve in time.
    #[display(
        "the service is overloaded; the request has not run, send it again after Retry-After"
    )]
    Overloaded {
        /// When a place is expected for it.
        retry_after_ms: u64,
    },
    /// The upstream refused it although it reported free slots, and the route allows no further
    /// attempt.
    #[display(
        "an upstream refused the request although it reported free slots; the request has not run, send \
         it again after Retry-After"
    )]
    Rejected,
    /// Upstreams refused it, and the retry budget of all instances together allows no further attempt.
    #[display(
        "too many repeats to the service are under way; the request has not run, send it again \
         after Retry-After"
    )]
    TooManyRepeats,
    /// Upstreams crashed while they ran earlier requests with the same fingerprint; this one was not
    /// sent to any.
    #[display(
        "the request is in quarantine: upstreams crashed while they ran the same one ({fingerprint}); it \
         has not run this time, change it, or send it again after Retry-After, or have the operators lift \
         the quarantine"
    )]
    Quarantined {
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
    },
    /// Upstreams crashed while they ran it.
    #[display(
        "upstreams crashed while they ran the request ({fingerprint}), and it is in quarantine now; it may \
         have run in part, change it, or send it again after Retry-After, or have the operators lift the \
         quarantine"
    )]
    Poison {
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
    },
    /// Upstreams crashed while they ran requests with a part of its prompt; this one was not sent to
    /// any.
    #[display(
        "a part of the prompt ({part}) is in quarantine: upstreams crashed while they ran requests with it; \
         this one has not run, leave the part out, or send it again after Retry-After, or have the \
         operators lift the quarantine of {fingerprint}"
    )]
    QuarantinedPart {
        /// The part's name.
        part: Arc<str>,
        /// Its fingerprint.
        fingerprint: Fingerprint,
    },
    /// Upstreams crashed while they ran requests with a part of its prompt, and this one was sent to
    /// one.
    #[display(
        "a part of the prompt ({part}) is in quarantine now: upstreams crashed while they ran requests with \
         it; this one may have run in part, leave the part out, or send it again after Retry-After, or \
         have the operators lift the quarantine of {fingerprint}"
    )]
    PoisonPart {
        /// The part's name.
        part: Arc<str>,
        /// Its fingerprint.
        fingerprint: Fingerprint,
    },
    /// The request was sent and its outcome is unknown.
    #[display("the upstream did not answer after the request was sent; check its effect first")]
    Unknown,
    /// The deadline passed, and the request may have run.
    #[display("no answer came within the time; check the request's effect before a new one")]
    TimeOver,
    /// The deadline passed before the request was sent to an upstream.
    #[display("the time was over before an upstream was free; the request has not run")]
    TimeOverUnsent,
}

#[derive(Serialize)]
struct ErrorBody {
    error: String,
    ran: &'static str,
}

impl Failure {
    /// The HTTP status. 408, 429 and 503 promise that the request has not run and never will.
    pub fn status(&self) -> u16 {
        match self {
            Failure::Malformed { .. } => 400,
            Failure::WrongKey => 401,
            Failure::NoRoute => 404,
            Failure::TooSlow { .. } => 408,
            Failure::TooLarge { .. } => 413,
            Failure::Unknown
            | Failure::Stopped
            | Failure::Poison { .. }
            | Failure::PoisonPart { .. } => 502,
            Failure::Starting
            | Failure::Stopping
            | Failure::Crowded
            | Failure::NoUpstream
            | Failure::NoUpstreamOfVersion
            | Failure::UnknownVersion
            | Failure::CutOff
            | Failure::Throttled
            | Failure::Full
            | Failure::Overloaded { .. }
            | Failure::Rejected
            | Failure::TooManyRepeats
            | Failure::Quarantined { .. }
            | Failure::QuarantinedPart { .. }
            | Failure::TimeOverUnsent => 503,
            Failure::TimeOver => 504,
        }
    }

    /// Whether it is due to this instance alone, so that another one may serve the request.
    pub fn is_of_instance(&self) -> bool {
        matches!(self, Failure::Starting | Failure::Stopping | Failure::Crowded | Failure::CutOff)
    }

    /// Whether the request, or a part of its prompt, is in quarantine.
    pub fn is_quarantine(&self) -> bool {
        matches!(
            self,
            Failure::Quarantined { .. }
                | Failure::Poison { .. }
                | Failure::QuarantinedPart { .. }
                | Failure::PoisonPart { .. }
        )
    }

    /// The same failure of a request that was not sent to any upstream.
    pub fn if_unsent(self) -> Failure {
        match self {
            Failure::Poison { fingerprint } => Failure::Quarantined { fingerprint },
            Failure::PoisonPart { part, fingerprint } => {
                Failure::QuarantinedPart { part, fingerprint }
            }
            failure => failure,
        }
    }

    /// When the caller should retry, if a retry may help.
    pub fn retry_after_ms(&self) -> Option<u64> {
        match self {
            Failure::Starting => Some(STARTING_RETRY_DELAY_MS),
            Failure::NoUpstreamOfVersion | Failure::UnknownVersion => Some(VERSION_RETRY_DELAY_MS),
            Failure::Stopping => Some(RETRY_ELSEWHERE_DELAY_MS),
            Failure::Crowded => Some(CROWDED_RETRY_DELAY_MS),
            Failure::NoUpstream
            | Failure::CutOff
            | Failure::Throttled
            | Failure::Full
            | Failure::Rejected
            | Failure::TooManyRepeats
            | Failure::TimeOverUnsent => Some(RETRY_DELAY_MS),
            Failure::Overloaded { retry_after_ms } => Some(*retry_after_ms),
            _ => None,
        }
    }

    /// The body of the answer: the error, and whether the request ran.
    pub fn body(&self) -> Bytes {
        let ran = match self {
            Failure::Unknown
            | Failure::Stopped
            | Failure::Poison { .. }
            | Failure::PoisonPart { .. }
            | Failure::TimeOver => "unknown",
            _ => "no",
        };
        let body = ErrorBody { error: self.to_string(), ran };
        // A struct of two strings always serializes.
        Bytes::from(serde_json::to_vec(&body).unwrap_or_default())
    }
}
