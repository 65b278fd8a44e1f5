//! Splitting of event streams, filtering of headers that are forwarded between callers and
//! endpoints, and the memory that responses share.

mod budget;
mod events;
mod headers;

pub use budget::{Budget, Reservation};
pub use events::{Event, EventBuffer, Overflow};
pub use headers::{end_to_end, has_ambiguous_length};
