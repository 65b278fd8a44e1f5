//! Errors from parsing identifiers and numbers.

use std::fmt;

/// The maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// The reason why a text is not a valid identifier or number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The name is empty.
    Empty,
    /// The name is longer than [`MAX_NAME_BYTES`] bytes.
    TooLong,
    /// The name contains a character other than ASCII letters, digits, `.`, `_` and `-`.
    InvalidCharacter(char),
    /// The text is not a number, or the number is out of range.
    InvalidNumber,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "name is empty"),
            Self::TooLong => write!(f, "name is longer than {MAX_NAME_BYTES} bytes"),
            Self::InvalidCharacter(c) => write!(f, "name holds the character {c:?}"),
            Self::InvalidNumber => write!(f, "not a number of the expected range"),
        }
    }
}

impl std::error::Error for Error {}

/// Checks that `text` is a valid name.
pub fn check_name(text: &str) -> Result<(), Error> {
    if text.is_empty() {
        return Err(Error::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(Error::TooLong);
    }
    let allowed = |c: &char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    match text.chars().find(|c| !allowed(c)) {
        Some(c) => Err(Error::InvalidCharacter(c)),
        None => Ok(()),
    }
}
