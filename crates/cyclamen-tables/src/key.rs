//! API keys, of which the tables store only the digests.

use std::fmt;
use std::str::FromStr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq;

const DIGEST_BYTES: usize = 32;

/// The SHA-256 digest of an API key.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Hashes an API key presented by a caller.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Returns whether two digests are equal, compared in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Digest(..)")
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

/// The text of a digest does not have 64 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Error;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a key digest has 64 hexadecimal digits")
    }
}

impl std::error::Error for Error {}

impl FromStr for Digest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return Err(Error);
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (i, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * i..2 * i + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| Error)?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for Digest {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}
