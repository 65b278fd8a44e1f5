//! Identifiers, numbers and time shared by every crate.
//!
//! Each module is named after one object of the system, and its types are
//! single nouns: `instance::Id`, `zone::Name`, `group::Id`.

mod macros;

pub mod domain;
pub mod entry;
pub mod error;
pub mod excerpt;
pub mod group;
pub mod instance;
pub mod model;
pub mod pool;
pub mod route;
pub mod team;
pub mod time;
pub mod zone;

pub use error::Error;
pub use time::Time;
