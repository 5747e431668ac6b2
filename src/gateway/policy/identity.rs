//! Who answers at the address of an upstream, where an answer names neither its request nor its maker.
//!
//! Any process may be at the address that an entry names. One that knows nothing of this system doesn't
//! refuse what is meant for another: it answers by itself, and looks like a fast upstream. Its answer
//! alone proves little, since an upstream may spoil one. So it is asked who it is.

use super::answer_end::Reply;

/// Who answers at an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Identity {
    /// The upstream that is meant.
    Meant,
    /// Another upstream, or a process that is none.
    Another,
    /// Whoever answers doesn't say who it is: a process that is no upstream, or an upstream in trouble.
    Nameless,
    /// Nothing shows who it is.
    Unknown,
}

/// What an answer says of its maker and its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proofs {
    /// Whether it proves that an upstream made it.
    pub is_signed: bool,
    /// Whether it names a request, or its maker.
    pub has_names: bool,
    /// Whether it says that the request was not run.
    pub is_refusal: bool,
}

impl Proofs {
    /// Whether nothing in it shows that an upstream made it.
    pub fn are_missing(self) -> bool {
        !self.is_signed && !self.has_names && !self.is_refusal
    }
}

/// The pause before whoever is nameless is asked again who it is, doubled each time.
const MIN_QUESTION_PAUSE_MS: u64 = 500;
/// The longest such pause.
const MAX_QUESTION_PAUSE_MS: u64 = 8_000;

/// How long to wait before whoever is nameless is asked again, after so many questions.
pub fn question_pause_ms(asked: u32) -> u64 {
    let doubled = MIN_QUESTION_PAUSE_MS.saturating_mul(1 << asked.min(31));
    doubled.min(MAX_QUESTION_PAUSE_MS)
}

impl Identity {
    /// What remains of it where the process at the address has shown before that it is the upstream: only
    /// proof of the opposite counts.
    pub fn after_proof(self) -> Identity {
        if self == Identity::Nameless { Identity::Unknown } else { self }
    }

    /// What the reply to a question for its health shows, which an upstream answers with its id. One without
    /// room refuses the question like any request, and names itself to nobody.
    pub fn of(meant: &str, reply: &Reply, is_refusal: bool) -> Identity {
        match reply {
            Reply::Answered { upstream: Some(id), .. } if **id == *meant => Identity::Meant,
            Reply::Answered { upstream: Some(_), .. } | Reply::Answered { status: 421, .. } => {
                Identity::Another
            }
            // A fault of the upstream itself may be the answer to a question, too.
            Reply::Answered { status: 500..=502 | 504.., .. } => Identity::Unknown,
            Reply::Answered { .. } if is_refusal => Identity::Unknown,
            Reply::Answered { .. } => Identity::Nameless,
            Reply::Refused | Reply::Broken | Reply::None => Identity::Unknown,
        }
    }
}
