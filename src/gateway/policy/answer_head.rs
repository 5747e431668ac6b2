//! Whether the head of an answer is sound, so that the bytes behind it may be taken for its body.
//!
//! An upstream in trouble may spoil a head where it tells the end of the body. That its process lives
//! on shows nothing of that. So a head is judged before its body is believed: by its status, by every
//! field that tells the end, by names that are nearly those of such fields, and by what stands where
//! the body begins. See [docs/design/answer-heads.md](../../../docs/design/answer-heads.md).

use super::answer_end::Framing;

/// The name of the field that states the length of a body.
const LENGTH: &str = "content-length";
/// The name of the field that states how a body is coded on its channel.
const CODING: &str = "transfer-encoding";
/// How many bytes of a name of the same length may differ for it to count as a spoilt one. The nearest
/// name in use, `content-digest`, differs in six.
const MAX_SPOILT_BYTES: usize = 3;
/// Lines at the beginning of a body that may be the rest of a head.
const MAX_BODY_LINES: usize = 64;
/// The longest size of a chunk, in hexadecimal digits.
const MAX_SIZE_DIGITS: usize = 16;

/// A head as it was received.
#[derive(Debug, Clone, Copy)]
pub struct ReceivedHead<'a, F> {
    /// The status.
    pub status: u16,
    /// The text behind the status, if it is not the usual one.
    pub reason: &'a [u8],
    /// Whether the request was one for a head alone.
    pub is_for_head: bool,
    /// How its lines ended, if that is known.
    pub line_ends: LineEnds,
    /// Its fields in the order of their lines, the names in lower case.
    pub fields: F,
}

/// How the lines of a head ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LineEnds {
    /// All alike, or not known.
    #[default]
    Alike,
    /// Some with a carriage return, some without.
    Mixed,
}

/// A head that may be believed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SoundHead {
    /// How the answer tells its end.
    pub framing: Framing,
    /// The length that it states.
    pub length: Option<u64>,
    /// Whether the answer has no body whatever its head says.
    pub has_no_body: bool,
}

/// Why the head of an answer, or the answer behind it, is not believed.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, derive_more::Display, derive_more::Error,
)]
pub enum Spoilt {
    /// The HTTP library can't read it.
    #[display("unreadable")]
    Unreadable,
    /// The status is none of a final answer.
    #[display("status")]
    Status,
    /// Its lines end in different ways.
    #[display("line_ends")]
    LineEnds,
    /// A length is no number.
    #[display("length")]
    Length,
    /// It states several lengths.
    #[display("lengths_differ")]
    LengthsDiffer,
    /// It states a coding that is unknown, was not asked for, or stands there twice.
    #[display("coding")]
    Coding,
    /// It states a length and a coding.
    #[display("length_and_coding")]
    LengthAndCoding,
    /// Its status allows no body, and it states one.
    #[display("body_not_allowed")]
    BodyNotAllowed,
    /// A name is nearly that of a field that tells the end.
    #[display("near_name")]
    NearName,
    /// A field that tells the end stands in the value of another one.
    #[display("joined_lines")]
    JoinedLines,
    /// The body begins with fields of a head.
    #[display("head_in_body")]
    HeadInBody,
    /// The body is a sequence of chunks, and the head doesn't say so.
    #[display("chunks_in_body")]
    ChunksInBody,
    /// Bytes that are no answer of their own came together with the end of the body.
    #[display("bytes_behind")]
    BytesBehind,
    /// The answer ended with its channel before the request had been written whole.
    #[display("request_unwritten")]
    RequestUnwritten,
    /// It ends with its channel and doesn't name its request, as all others of its upstream do.
    #[display("unnamed")]
    Unnamed,
}

/// Judges a head.
///
/// # Errors
///
/// Why it is not believed.
pub fn judge<'a, F>(head: ReceivedHead<'a, F>) -> Result<SoundHead, Spoilt>
where
    F: Iterator<Item = (&'a str, &'a [u8])>,
{
    if !(200..=599).contains(&head.status) {
        return Err(Spoilt::Status);
    }
    if head.line_ends == LineEnds::Mixed {
        return Err(Spoilt::LineEnds);
    }
    if holds_end_field(head.reason) {
        return Err(Spoilt::JoinedLines);
    }
    let mut stated = Stated::default();
    for (name, value) in head.fields {
        stated.take(name, value)?;
    }
    stated.conclude(head.status, head.is_for_head)
}

/// What the fields of a head state of the end.
#[derive(Debug, Default)]
struct Stated {
    length: Option<u64>,
    is_chunked: bool,
}

impl Stated {
    fn take(&mut self, name: &str, value: &[u8]) -> Result<(), Spoilt> {
        match name {
            LENGTH => self.take_lengths(value),
            CODING => self.take_coding(value),
            name if is_spoilt_name(name) => Err(Spoilt::NearName),
            _ if holds_end_field(value) => Err(Spoilt::JoinedLines),
            _ => Ok(()),
        }
    }

    /// Equal lengths count as one, as RFC 9110 allows.
    fn take_lengths(&mut self, value: &[u8]) -> Result<(), Spoilt> {
        for length in value.split(|byte| *byte == b',') {
            let length = length_of(length.trim_ascii()).ok_or(Spoilt::Length)?;
            if self.length.replace(length).is_some_and(|before| before != length) {
                return Err(Spoilt::LengthsDiffer);
            }
        }
        Ok(())
    }

    /// No request asks for a coding, so that chunks are the only one that upstreams may use.
    fn take_coding(&mut self, value: &[u8]) -> Result<(), Spoilt> {
        let is_chunked = value.trim_ascii().eq_ignore_ascii_case(b"chunked");
        if !is_chunked || std::mem::replace(&mut self.is_chunked, true) {
            return Err(Spoilt::Coding);
        }
        Ok(())
    }

    fn conclude(self, status: u16, is_for_head: bool) -> Result<SoundHead, Spoilt> {
        let Stated { length, is_chunked } = self;
        if is_chunked && length.is_some() {
            return Err(Spoilt::LengthAndCoding);
        }
        if status == 204 && (is_chunked || length.is_some_and(|length| length > 0)) {
            return Err(Spoilt::BodyNotAllowed);
        }
        let has_no_body = is_for_head || matches!(status, 204 | 304);
        let states_end = has_no_body || is_chunked || length.is_some();
        let framing = if states_end { Framing::Stated } else { Framing::Channel };
        Ok(SoundHead { framing, length, has_no_body })
    }
}

impl Spoilt {
    /// The counter of answers that are refused for it.
    pub fn counter(self) -> &'static str {
        match self {
            Spoilt::Unreadable => "spoilt_answers_unreadable",
            Spoilt::Status => "spoilt_answers_status",
            Spoilt::LineEnds => "spoilt_answers_line_ends",
            Spoilt::Length => "spoilt_answers_length",
            Spoilt::LengthsDiffer => "spoilt_answers_lengths_differ",
            Spoilt::Coding => "spoilt_answers_coding",
            Spoilt::LengthAndCoding => "spoilt_answers_length_and_coding",
            Spoilt::BodyNotAllowed => "spoilt_answers_body_not_allowed",
            Spoilt::NearName => "spoilt_answers_near_name",
            Spoilt::JoinedLines => "spoilt_answers_joined_lines",
            Spoilt::HeadInBody => "spoilt_answers_head_in_body",
            Spoilt::ChunksInBody => "spoilt_answers_chunks_in_body",
            Spoilt::BytesBehind => "spoilt_answers_bytes_behind",
            Spoilt::RequestUnwritten => "spoilt_answers_request_unwritten",
            Spoilt::Unnamed => "spoilt_answers_unnamed",
        }
    }
}

impl SoundHead {
    /// Judges bytes that came behind the end of the body; `begin` is how they begin. One that came late
    /// belongs to no request; an answer that was sent once more begins as one.
    pub fn judge_behind(self, begin: &[u8]) -> Result<(), Spoilt> {
        let answer = b"HTTP/1.";
        let is_answer = answer.starts_with(&begin[..begin.len().min(answer.len())]);
        if is_answer { Ok(()) } else { Err(Spoilt::BytesBehind) }
    }
}

/// Judges where the body of an answer begins that ends with its channel. `is_head_field`: whether a
/// name is that of a field which upstreams' heads hold.
///
/// # Errors
///
/// Why it is no body.
pub fn judge_body_start(start: &[u8], is_head_field: impl Fn(&str) -> bool) -> Result<(), Spoilt> {
    let lines = start.split_inclusive(|byte| *byte == b'\n').take(MAX_BODY_LINES);
    for line in lines {
        let Some(name) = line.strip_suffix(b"\r\n").and_then(field_name) else { break };
        let name = name.to_ascii_lowercase();
        if name == LENGTH || name == CODING || is_spoilt_name(&name) || is_head_field(&name) {
            return Err(Spoilt::HeadInBody);
        }
    }
    Ok(())
}

/// Judges the first event of a stream that ends with its channel: a line of it that is the size of a
/// chunk is no field of an event.
///
/// # Errors
///
/// Why it is no event.
pub fn judge_first_event(event: &[u8], is_head_field: impl Fn(&str) -> bool) -> Result<(), Spoilt> {
    judge_body_start(event, is_head_field)?;
    if chunk_size(event).is_some() { Err(Spoilt::ChunksInBody) } else { Ok(()) }
}

/// Judges the whole body of an answer that ended with its channel.
///
/// # Errors
///
/// Why it is no body.
pub fn judge_body(body: &[u8], is_head_field: impl Fn(&str) -> bool) -> Result<(), Spoilt> {
    judge_body_start(body, is_head_field)?;
    if are_chunks(body) { Err(Spoilt::ChunksInBody) } else { Ok(()) }
}

/// The name of a field, from its line.
fn field_name(line: &[u8]) -> Option<&str> {
    let name = line.split(|byte| *byte == b':').next().filter(|name| name.len() < line.len())?;
    let is_name = |byte: &u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    let is_whole = !name.is_empty() && name.iter().all(is_name);
    std::str::from_utf8(name).ok().filter(|_| is_whole)
}

fn length_of(digits: &[u8]) -> Option<u64> {
    let is_number = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(digits).ok().filter(|_| is_number)?.parse().ok()
}

/// Whether a text holds a field that tells the end of a body, as lines do that were joined.
fn holds_end_field(text: &[u8]) -> bool {
    let colons = text.iter().enumerate().filter(|(_, byte)| **byte == b':');
    colons.into_iter().any(|(at, _)| {
        let before = text[..at].trim_ascii_end();
        [LENGTH, CODING].iter().any(|name| {
            let from = before.len().checked_sub(name.len());
            from.is_some_and(|from| before[from..].eq_ignore_ascii_case(name.as_bytes()))
        })
    })
}

/// Whether a name may have been that of a field that tells the end, before it was spoilt.
fn is_spoilt_name(name: &str) -> bool {
    [LENGTH, CODING].iter().any(|known| is_near(name.as_bytes(), known.as_bytes()))
}

/// Whether two names differ by one byte more or less, by two bytes that are swapped, or by a few bytes
/// at the same places.
fn is_near(name: &[u8], known: &[u8]) -> bool {
    if name.len().abs_diff(known.len()) > 1 {
        return false;
    }
    let pairs = || name.iter().zip(known);
    let prefix = pairs().take_while(|(a, b)| a == b).count();
    let suffix = name.iter().rev().zip(known.iter().rev()).take_while(|(a, b)| a == b).count();
    if name.len() != known.len() {
        return prefix + suffix >= name.len().min(known.len());
    }
    let spoilt = pairs().filter(|(a, b)| a != b).count();
    let is_swapped = prefix + suffix + 2 == name.len()
        && name[prefix] == known[prefix + 1]
        && name[prefix + 1] == known[prefix];
    spoilt > 0 && (spoilt <= MAX_SPOILT_BYTES || is_swapped)
}

/// The size of the chunk with which a text begins, and where its data begin.
fn chunk_size(text: &[u8]) -> Option<(usize, usize)> {
    let digits = text.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    if digits == 0 || digits > MAX_SIZE_DIGITS || !text[digits..].starts_with(b"\r\n") {
        return None;
    }
    let size = usize::from_str_radix(std::str::from_utf8(&text[..digits]).ok()?, 16).ok()?;
    Some((size, digits + 2))
}

/// Whether a body is a sequence of chunks with their end.
fn are_chunks(mut body: &[u8]) -> bool {
    while let Some((size, data)) = chunk_size(body) {
        if size == 0 {
            return body[data..].ends_with(b"\r\n");
        }
        let after = data.checked_add(size).and_then(|end| body.get(end..));
        let Some(rest) = after.and_then(|after| after.strip_prefix(b"\r\n")) else { return false };
        body = rest;
    }
    false
}
