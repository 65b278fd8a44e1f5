//! Texts from outside in a line of the log.

use std::fmt::{self, Write};

/// The maximum number of characters of a text that are written.
const MAX_CHARS: usize = 200;

/// Writes the beginning of a text, in one line and without double quotes; other characters than those
/// that can be printed are escaped.
#[derive(Debug, Clone, Copy)]
pub struct Excerpt<'a>(pub &'a str);

/// Writes the beginning of a text like [`Excerpt`], and without blanks, as the value of a pair.
#[derive(Debug, Clone, Copy)]
pub struct Word<'a>(pub &'a str);

fn write(f: &mut fmt::Formatter<'_>, text: &str, allowed: impl Fn(char) -> bool) -> fmt::Result {
    let mut chars = text.chars();
    for c in chars.by_ref().take(MAX_CHARS) {
        if allowed(c) {
            f.write_char(c)?;
        } else {
            write!(f, "{}", c.escape_unicode())?;
        }
    }
    match chars.next() {
        Some(_) => f.write_str("..."),
        None => Ok(()),
    }
}

impl fmt::Display for Excerpt<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write(f, self.0, |c| c == ' ' || c.is_ascii_graphic() && c != '"')
    }
}

impl fmt::Display for Word<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write(f, self.0, |c| c.is_ascii_graphic() && c != '"')
    }
}
