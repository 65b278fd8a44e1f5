//! Splitting of event streams, filtering of headers that are forwarded between callers and
//! endpoints, and the memory that requests and responses share.

mod budget;
mod events;
mod headers;
pub mod intake;

pub use budget::{Budget, Reservation};
pub use events::{Event, EventBuffer, Overflow};
pub use headers::{end_to_end, has_ambiguous_length};
pub use intake::Intake;
