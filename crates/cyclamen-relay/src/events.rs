//! A stream of server-sent events, cut into whole events.

use std::fmt;

/// The largest event that is passed on, in bytes.
const EVENT_LIMIT: usize = 1 << 20;

/// One event with the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its id, if it has one that is a number.
    pub id: Option<u64>,
    /// Its bytes as they were received.
    pub bytes: Vec<u8>,
}

/// An event that is larger than what is kept in memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Overflow;

impl fmt::Display for Overflow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an event is larger than {EVENT_LIMIT} bytes")
    }
}

impl std::error::Error for Overflow {}

/// Cuts received bytes into whole events; what comes after the last one is kept.
#[derive(Debug, Default)]
pub struct Events {
    buffer: Vec<u8>,
    /// Where the search for the end of an event goes on.
    searched: usize,
}

impl Events {
    /// Takes received bytes.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), Overflow> {
        if self.buffer.len() + bytes.len() > EVENT_LIMIT {
            return Err(Overflow);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.end_of_event()?;
        let rest = self.buffer.split_off(end);
        let bytes = std::mem::replace(&mut self.buffer, rest);
        self.searched = 0;
        Some(Event {
            id: id_of(&bytes),
            bytes,
        })
    }

    /// Whether bytes of an event that is not whole are left.
    pub fn is_torn(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The end of the first blank line, by any of the line ends that the format allows.
    fn end_of_event(&mut self) -> Option<usize> {
        let mut at = self.searched;
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
            self.searched = at;
        }
        None
    }
}

/// The index after a line end; nothing while a line feed may still follow.
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
