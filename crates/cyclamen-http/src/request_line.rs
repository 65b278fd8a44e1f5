//! Request lines whose targets the HTTP library does not see.
//!
//! The library reads targets as browsers read URLs: it removes dot segments and encodes some
//! characters. It is given the target in hexadecimal digits instead, which it leaves as they are;
//! the transport writes the target itself.

use std::io;

use crate::target::Target;

/// Returns the path of a URL that stands for a target.
pub(crate) fn encode(target: &Target) -> String {
    let bytes = target.as_str().bytes();
    let digits = bytes.flat_map(|byte| [byte >> 4, byte & 15]);
    let digits = digits.filter_map(|digit| char::from_digit(digit.into(), 16));
    std::iter::once('/').chain(digits).collect()
}

/// A request line as it is written.
#[derive(Debug)]
pub(crate) struct RequestLine {
    bytes: Vec<u8>,
    /// The number of these bytes that are written.
    written: usize,
    /// The length of the line that the library writes.
    replaced: usize,
}

impl RequestLine {
    /// Reads the request line at the beginning of a head, and puts the target into it.
    pub(crate) fn decode(head: &[u8]) -> io::Result<Self> {
        decode(head).ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "no encoded target"))
    }

    /// Returns the bytes that are left to be written.
    pub(crate) fn unwritten(&self) -> &[u8] {
        self.bytes.get(self.written..).unwrap_or_default()
    }

    /// Records that some more bytes are written.
    pub(crate) fn advance(&mut self, count: usize) {
        self.written += count;
    }

    /// Returns the length of the line that the library writes.
    pub(crate) fn replaced(&self) -> usize {
        self.replaced
    }
}

fn decode(head: &[u8]) -> Option<RequestLine> {
    let end = head.windows(2).position(|bytes| bytes == b"\r\n")?;
    let line = std::str::from_utf8(head.get(..end)?).ok()?;
    let (method, rest) = line.split_once(" /")?;
    let (digits, version) = rest.split_once(' ')?;
    let target = decode_digits(digits)?;
    Some(RequestLine {
        bytes: format!("{method} {target} {version}").into_bytes(),
        written: 0,
        replaced: end,
    })
}

fn decode_digits(digits: &str) -> Option<Target> {
    let pairs = digits.as_bytes().chunks(2);
    let bytes = pairs.map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok());
    let bytes: Option<Vec<u8>> = bytes.collect();
    std::str::from_utf8(&bytes?).ok()?.parse().ok()
}
