//! What the bytes of a channel show that the HTTP library doesn't tell: how the lines of a head ended,
//! what came behind an answer, and how much of a request was written.

use super::policy::answer_head::{LineEnds, SoundHead, Spoilt};

/// Maximum number of bytes before the end of an answer's head, with the interim answers before it. A
/// read may bring as much of the body as the buffer holds.
const MAX_HEAD_BYTES: usize = 128 << 10;
/// Maximum number of interim answers before the head of an answer. Each is parsed as a head of its own,
/// so that without a bound on their number short ones keep the thread from all other requests.
pub const MAX_INTERIM_ANSWERS: usize = 64;
/// The place of the first digit of the status in its line.
const STATUS_AT: usize = 9;
/// Bytes behind an answer that are kept: enough to see whether they begin another one.
const BEHIND_BYTES: usize = 8;

/// The bytes read since a request was sent.
#[derive(Debug, Default)]
pub struct AnswerBytes {
    /// Whether the head of an answer is awaited.
    is_awaited: bool,
    /// Those read before the end of its head, with interim answers and what came with the end.
    head_bytes: usize,
    interim_answers: usize,
    /// Of the present head.
    lines: usize,
    line_bytes: usize,
    last: u8,
    status: [u8; 3],
    ends: [bool; 2],
    /// What came behind the head, in the read that brought its end.
    behind_head: Vec<u8>,
    /// Bytes behind the head.
    body_bytes: u64,
    /// How many the body has, once that is known.
    length: Option<u64>,
    /// How the bytes behind the body begin.
    behind: Vec<u8>,
    /// Whether a read failed since.
    has_failed: bool,
}

impl AnswerBytes {
    /// Begins to wait for the head of an answer.
    pub fn await_head(&mut self) {
        *self = AnswerBytes { is_awaited: true, ..AnswerBytes::default() };
    }

    /// Ends to wait for it.
    pub fn end_wait(&mut self) {
        self.is_awaited = false;
    }

    /// Whether the head that is awaited doesn't end, or interim answers before it don't.
    pub fn is_too_long(&self) -> bool {
        let is_over =
            self.head_bytes > MAX_HEAD_BYTES || self.interim_answers > MAX_INTERIM_ANSWERS;
        self.is_awaited && is_over
    }

    /// Takes in bytes that were read.
    pub fn note(&mut self, read: &[u8]) {
        if !self.is_awaited {
            return self.note_body(read);
        }
        self.head_bytes += read.len();
        for (at, byte) in read.iter().enumerate() {
            if self.ends_head(*byte) {
                self.is_awaited = false;
                let rest = &read[at + 1..];
                self.behind_head = rest.to_vec();
                self.body_bytes = rest.len() as u64;
                return;
            }
        }
    }

    /// Takes in a byte. Returns whether it is the last one of the head of a final answer.
    fn ends_head(&mut self, byte: u8) -> bool {
        let has_return = std::mem::replace(&mut self.last, byte) == b'\r';
        if byte != b'\n' {
            let digit = self.line_bytes.wrapping_sub(STATUS_AT);
            if self.lines == 0 && digit < self.status.len() {
                self.status[digit] = byte;
            }
            self.line_bytes += 1;
            return false;
        }
        let is_empty = self.line_bytes == usize::from(has_return);
        self.line_bytes = 0;
        if is_empty && self.lines == 0 {
            return false;
        }
        self.ends[usize::from(has_return)] = true;
        self.lines += 1;
        if is_empty && self.status[0] == b'1' && self.status != *b"101" {
            self.interim_answers += 1;
            self.lines = 0;
            self.ends = [false; 2];
            return false;
        }
        is_empty
    }

    fn note_body(&mut self, read: &[u8]) {
        let before = self.body_bytes;
        self.body_bytes += read.len() as u64;
        let Some(length) = self.length.filter(|length| *length < self.body_bytes) else { return };
        let from = usize::try_from(length.saturating_sub(before)).unwrap_or(read.len());
        self.keep_behind(&read[from.min(read.len())..]);
    }

    fn keep_behind(&mut self, bytes: &[u8]) {
        let left = BEHIND_BYTES - self.behind.len();
        self.behind.extend_from_slice(&bytes[..left.min(bytes.len())]);
    }

    /// How the lines of the head ended.
    pub fn line_ends(&self) -> LineEnds {
        if self.ends == [true; 2] { LineEnds::Mixed } else { LineEnds::Alike }
    }

    /// Takes in what the head states, so that bytes behind the body are seen.
    pub fn expect(&mut self, head: SoundHead) {
        let length = if head.has_no_body { Some(0) } else { head.length };
        self.length = length;
        let came = std::mem::take(&mut self.behind_head);
        if let Some(behind) = length.and_then(|length| came.get(usize::try_from(length).ok()?..)) {
            self.keep_behind(behind);
        }
    }

    /// Judges what has come behind the body until now.
    pub fn judge_behind(&self, head: SoundHead) -> Result<(), Spoilt> {
        if self.behind.is_empty() { Ok(()) } else { head.judge_behind(&self.behind) }
    }

    /// Notes that a read failed, or that the socket has an error where it ended.
    pub fn note_failure(&mut self) {
        self.has_failed = true;
    }

    /// Whether a read failed.
    pub fn has_failed(&self) -> bool {
        self.has_failed
    }
}

/// The bytes written of a request.
#[derive(Debug, Default)]
pub struct RequestBytes {
    /// Of the empty line behind the head.
    matched: usize,
    /// Bytes of the body that are not written.
    left: u64,
    has_failed: bool,
}

/// What ends the head of a request.
const HEAD_END: &[u8] = b"\r\n\r\n";

impl RequestBytes {
    /// A request whose body has so many bytes, of which none were written.
    pub fn new(body_bytes: u64) -> RequestBytes {
        RequestBytes { matched: 0, left: body_bytes, has_failed: false }
    }

    /// Takes in bytes that were written.
    pub fn note(&mut self, written: &[u8]) {
        let mut rest = written;
        while self.matched < HEAD_END.len() {
            let Some((byte, after)) = rest.split_first() else { return };
            rest = after;
            self.matched = match *byte {
                byte if byte == HEAD_END[self.matched] => self.matched + 1,
                b'\r' => 1,
                _ => 0,
            };
        }
        self.left = self.left.saturating_sub(rest.len() as u64);
    }

    /// Notes that a write failed.
    pub fn note_failure(&mut self) {
        self.has_failed = true;
    }

    /// Whether all of it was written.
    pub fn is_whole(&self) -> bool {
        self.matched == HEAD_END.len() && self.left == 0 && !self.has_failed
    }
}
