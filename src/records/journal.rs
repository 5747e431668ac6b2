//! The append-only list of accepted tokens of one generation.
//!
//! The text is one string, with a list of the tokens' end offsets: 4 bytes per token on top of the
//! text, against 32 with one string per token.

use serde::{Deserialize, Serialize};

/// The accepted tokens, in order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Parts")]
pub struct Journal {
    text: String,
    ends: Vec<u32>,
}

/// A journal as others send it.
#[derive(Deserialize)]
struct Parts {
    text: String,
    ends: Vec<u32>,
}

impl TryFrom<Parts> for Journal {
    type Error = &'static str;

    /// Refuses ends between which no tokens are: a cut there would not be one of a text.
    fn try_from(Parts { text, ends }: Parts) -> Result<Journal, &'static str> {
        let are_cuts = ends.iter().all(|end| text.is_char_boundary(*end as usize));
        let last = ends.last().map_or(0, |end| *end as usize);
        if !are_cuts || !ends.is_sorted() || last != text.len() {
            return Err("the ends of the tokens don't fit their text");
        }
        Ok(Journal { text, ends })
    }
}

impl Journal {
    /// The number of accepted tokens.
    pub fn len(&self) -> u32 {
        self.ends.len() as u32
    }

    /// Whether no token has been accepted yet.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// The memory that the journal takes, for the organisation's limit.
    pub fn size_bytes(&self) -> usize {
        self.text.len() + self.ends.len() * size_of::<u32>()
    }

    /// Appends an accepted token.
    pub fn push(&mut self, token: &str) {
        self.text.push_str(token);
        self.ends.push(self.text.len() as u32);
    }

    /// The token at `index`.
    pub fn get(&self, index: u32) -> Option<&str> {
        let end = *self.ends.get(index as usize)? as usize;
        self.text.get(self.start(index)..end)
    }

    /// The tokens from `from` on; empty when there are none.
    pub fn since(&self, from: u32) -> impl Iterator<Item = &str> {
        (from..self.len()).filter_map(|index| self.get(index))
    }

    /// A journal of the tokens from `from` up to `to`.
    pub fn slice(&self, from: u32, to: u32) -> Journal {
        let mut part = Journal::default();
        for token in (from..to).filter_map(|index| self.get(index)) {
            part.push(token);
        }
        part
    }

    /// Appends all of `other`.
    pub fn extend(&mut self, other: &Journal) {
        other.since(0).for_each(|token| self.push(token));
    }

    /// Drops the tokens from `len` on.
    pub fn truncate(&mut self, len: u32) {
        if len < self.len() {
            self.text.truncate(self.start(len));
            self.ends.truncate(len as usize);
        }
    }

    /// The length of the common prefix of both journals, in tokens.
    pub fn common_len(&self, other: &Journal) -> u32 {
        let pairs = self.since(0).zip(other.since(0));
        pairs.take_while(|(mine, theirs)| mine == theirs).count() as u32
    }

    fn start(&self, index: u32) -> usize {
        match index.checked_sub(1) {
            Some(before) => self.ends.get(before as usize).map_or(self.text.len(), |e| *e as usize),
            None => 0,
        }
    }
}
