//! Splits a byte stream into server-sent events.

use std::fmt;

use crate::budget::{Budget, Reservation};

/// Maximum size of the buffer, and thus of an event that is forwarded, in bytes.
const MAX_BUFFER_BYTES: usize = 1 << 20;

/// An event, including the blank line that terminates it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The id, if the event has a numeric one.
    pub id: Option<u64>,
    /// The bytes as received.
    pub bytes: Vec<u8>,
}

/// The error for exceeding the maximum size of an [`EventBuffer`], or the memory that is left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Overflow;

impl fmt::Display for Overflow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "event exceeds {MAX_BUFFER_BYTES} bytes or the memory left"
        )
    }
}

impl std::error::Error for Overflow {}

/// Splits received bytes into complete events and buffers the remainder.
#[derive(Debug, Default)]
pub struct EventBuffer {
    buffer: Vec<u8>,
    /// The index from which the search for the end of an event continues.
    scan_from: usize,
    /// The memory for the buffer, if it is limited.
    memory: Option<Reservation>,
}

impl EventBuffer {
    /// Creates an empty buffer whose bytes count towards a budget.
    pub fn new(budget: &Budget) -> Self {
        Self {
            memory: Some(budget.reservation()),
            ..Self::default()
        }
    }

    /// Appends received bytes; fails if the buffer would exceed its maximum size or its budget.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), Overflow> {
        let len = self.buffer.len() + bytes.len();
        let has_memory = self.memory.as_mut().is_none_or(|m| m.resize(len));
        if len > MAX_BUFFER_BYTES || !has_memory {
            return Err(Overflow);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.end_of_event()?;
        let rest = self.buffer.split_off(end);
        let bytes = std::mem::replace(&mut self.buffer, rest);
        self.scan_from = 0;
        Some(Event {
            id: id_of(&bytes),
            bytes,
        })
    }

    /// Returns whether the buffer holds bytes of an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the end of the first blank line; every line ending of the format is accepted.
    fn end_of_event(&mut self) -> Option<usize> {
        let mut at = self.scan_from;
        while let Some(step) = self.buffer[at..]
            .iter()
            .position(|b| matches!(b, b'\n' | b'\r'))
        {
            let line_end = after_line_end(&self.buffer, at + step)?;
            let line_is_blank = step == 0;
            if line_is_blank && line_end > 0 {
                return Some(line_end);
            }
            at = line_end;
            self.scan_from = at;
        }
        None
    }
}

/// Returns the index after a line ending, or `None` while a line feed may still follow.
fn after_line_end(buffer: &[u8], at: usize) -> Option<usize> {
    match (buffer[at], buffer.get(at + 1)) {
        (b'\n', _) => Some(at + 1),
        (_, Some(b'\n')) => Some(at + 2),
        (_, Some(_)) => Some(at + 1),
        (_, None) => None,
    }
}

fn id_of(event: &[u8]) -> Option<u64> {
    let lines = event.split(|b| matches!(b, b'\n' | b'\r'));
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let text = std::str::from_utf8(ids.next_back()?).ok()?;
    text.trim().parse().ok()
}
