//! Errors of parsing identifiers and numbers.

use std::fmt;

/// The longest name accepted, in bytes.
pub const NAME_LIMIT: usize = 64;

/// A text that is not a valid identifier or number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The name is empty.
    Empty,
    /// The name is longer than [`NAME_LIMIT`] bytes.
    Long,
    /// The name holds a character other than ASCII letters, digits, `.`, `_` and `-`.
    Character(char),
    /// The text is not a number of the expected range.
    Number,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "name is empty"),
            Self::Long => write!(f, "name is longer than {NAME_LIMIT} bytes"),
            Self::Character(c) => write!(f, "name holds the character {c:?}"),
            Self::Number => write!(f, "not a number of the expected range"),
        }
    }
}

impl std::error::Error for Error {}

/// Checks that `text` is a valid name.
pub fn check_name(text: &str) -> Result<(), Error> {
    if text.is_empty() {
        return Err(Error::Empty);
    }
    if text.len() > NAME_LIMIT {
        return Err(Error::Long);
    }
    let allowed = |c: &char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    match text.chars().find(|c| !allowed(c)) {
        Some(c) => Err(Error::Character(c)),
        None => Ok(()),
    }
}
