//! Texts that others chose, such as keys, as they stand in the target of a request.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};

/// All but the characters that mean nothing in a target, and the slashes within keys.
const ESCAPED: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~').remove(b'/');

/// A text as it stands in the value of a query's field, so that its reader gets it back whatever is in
/// it.
pub fn escape(text: &str) -> PercentEncode<'_> {
    utf8_percent_encode(text, ESCAPED)
}
