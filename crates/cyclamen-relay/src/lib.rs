//! Splitting of event streams and filtering of headers that are forwarded between
//! callers and endpoints.

mod events;
mod headers;

pub use events::{Event, EventBuffer, Overflow};
pub use headers::{end_to_end, has_ambiguous_length};
