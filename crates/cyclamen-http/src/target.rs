//! Targets of requests, and the ways in which their receivers may read them.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// The bytes that end the name of a segment, or the whole path, for some receivers: parameters, a
/// query, a fragment, the end of a string in C.
const MARKS: [u8; 4] = [b';', b'?', b'#', 0];

/// A request's target in origin form: a path, and a query if there is one.
///
/// It is sent as it is, so it holds only bytes that can neither end a request line nor divide it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Target(Arc<str>);

/// The error for a text that is no target in origin form.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidTarget;

impl fmt::Display for InvalidTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no target in origin form")
    }
}

impl std::error::Error for InvalidTarget {}

impl FromStr for Target {
    type Err = InvalidTarget;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_allowed = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'#' | b'\\');
        if text.starts_with('/') && text.bytes().all(is_allowed) {
            Ok(Self(text.into()))
        } else {
            Err(InvalidTarget)
        }
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Target {
    /// Returns the target as it is sent.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the path, without the query.
    pub fn path(&self) -> &str {
        self.0
            .split_once('?')
            .map_or(&*self.0, |(path, _query)| path)
    }

    /// Returns whether some receiver may take the path for `other`, a plain path of letters, digits
    /// and slashes.
    ///
    /// A receiver may decode percent-encoded bytes any number of times, ignore case and empty
    /// segments, take a backslash for a slash, remove dot segments and parameters before or after
    /// decoding, end the path at a mark, and take what follows two slashes for a host. What is left
    /// depends on the order of these steps, but it is always some of the names in the path, in their
    /// order; without dot segments, marks and a host, it is all of them.
    pub fn may_be_read_as(&self, other: &str) -> bool {
        let path = decode(self.path().as_bytes());
        let names = names(&path);
        let other: Vec<&[u8]> = other.as_bytes().split(|byte| *byte == b'/').collect();
        let other: Vec<&[u8]> = other.into_iter().filter(|name| !name.is_empty()).collect();
        let has_host = has_host(&path);
        let has_mark = path.iter().any(|byte| MARKS.contains(byte));
        let has_dots = names.iter().any(|name| *name == b"..");
        let is_ambiguous = has_host || has_mark || has_dots;
        (is_ambiguous || names.len() == other.len()) && holds_in_order(&names, &other)
    }
}

/// Decodes percent-encoded bytes until none is left.
fn decode(path: &[u8]) -> Vec<u8> {
    let mut decoded: Vec<u8> = Vec::with_capacity(path.len());
    for byte in path {
        decoded.push(*byte);
        // A byte that was decoded may complete a further one, which began before it.
        while let Some(byte) = last_encoded(&decoded) {
            decoded.truncate(decoded.len() - 3);
            decoded.push(byte);
        }
    }
    decoded
}

/// Returns the byte that the last three bytes encode, if they encode one.
fn last_encoded(bytes: &[u8]) -> Option<u8> {
    let [.., b'%', high, low] = bytes else {
        return None;
    };
    let digit = |byte: u8| char::from(byte).to_digit(16);
    u8::try_from(digit(*high)? * 16 + digit(*low)?).ok()
}

fn is_separator(byte: u8) -> bool {
    matches!(byte, b'/' | b'\\')
}

/// Returns whether a decoded path begins with two slashes, apart from single dots between them.
fn has_host(path: &[u8]) -> bool {
    let segments = path.split(|byte| is_separator(*byte));
    let mut segments = segments.skip(1).filter(|name| *name != b".");
    segments.next().is_some_and(<[u8]>::is_empty)
}

/// Returns the names of a decoded path's segments up to their marks, without empty ones and single
/// dots.
fn names(path: &[u8]) -> Vec<&[u8]> {
    let segments = path.split(|byte| is_separator(*byte));
    let names = segments.filter_map(|name| name.split(|byte| MARKS.contains(byte)).next());
    names
        .filter(|name| !name.is_empty() && *name != b".")
        .collect()
}

/// Returns whether the names of `other` are among some names, in their order.
fn holds_in_order(names: &[&[u8]], other: &[&[u8]]) -> bool {
    let mut names = names.iter();
    let mut other = other.iter();
    other.all(|wanted| names.any(|name| name.eq_ignore_ascii_case(wanted)))
}
