//! What is passed on between callers and endpoints: whole events and headers.

mod events;
mod headers;

pub use events::{Event, Events, Overflow};
pub use headers::{end_to_end, is_framed_twice};
