//! Digests that identify requests by their content.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Fields that may differ between attempts with the same content; excluded from the
/// fingerprint.
const VOLATILE_FIELDS: [&str; 4] = ["user", "metadata", "request_id", "seed"];
const FINGERPRINT_BYTES: usize = 16;

/// A digest of the content of a request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(Arc<str>);

impl Fingerprint {
    /// Returns the fingerprint of a request body. A JSON body is compared by its parsed
    /// value, not byte by byte.
    pub fn of(route: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(route.as_bytes());
        match serde_json::from_slice::<serde_json::Value>(body) {
            Ok(mut value) => {
                if let Some(fields) = value.as_object_mut() {
                    fields.retain(|name, _| !VOLATILE_FIELDS.contains(&name.as_str()));
                }
                hasher.update(value.to_string().as_bytes());
            }
            Err(_) => hasher.update(body),
        }
        Self::from_hasher(hasher)
    }

    /// Returns the fingerprint of a request from its parts, each compared byte by byte.
    pub fn of_parts<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self::from_hasher(hasher)
    }

    fn from_hasher(hasher: Sha256) -> Self {
        Self(digits(hasher))
    }
}

/// Returns the digest of some content as text.
pub(super) fn digest(content: &[u8]) -> Arc<str> {
    let mut hasher = Sha256::new();
    hasher.update(content);
    digits(hasher)
}

fn digits(hasher: Sha256) -> Arc<str> {
    let digest = hasher.finalize();
    let digits = digest
        .iter()
        .take(FINGERPRINT_BYTES)
        .map(|b| format!("{b:02x}"));
    digits.collect::<String>().into()
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(text.into()))
    }
}
