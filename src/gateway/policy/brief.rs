//! Names and faults that others wrote, as a line of the log shows them.

/// The most bytes of such a text in a line.
const MAX_TEXT_BYTES: usize = 200;

/// A text with its odd characters escaped, cut off where it is too long for a line.
pub fn text(text: &str) -> String {
    let mut shown = String::new();
    for character in text.chars() {
        let end = shown.len();
        shown.extend(character.escape_debug());
        if shown.len() > MAX_TEXT_BYTES {
            shown.truncate(end);
            shown.push('…');
            break;
        }
    }
    shown
}
