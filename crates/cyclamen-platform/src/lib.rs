//! Client of the platform's table service and instance list.
//!
//! The table service commits transactions: a set of conditions on rows, and
//! writes that take effect atomically if every condition holds. A response can
//! be lost after a transaction has taken effect, which [`Error::Lost`] reports.

mod client;
mod decode;
mod error;

pub mod instances;
pub mod keys;
pub mod transaction;

pub use client::{Client, Options};
pub use error::Error;
pub use transaction::{Condition, Outcome, Transaction, Write};
