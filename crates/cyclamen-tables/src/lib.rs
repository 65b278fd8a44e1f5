//! The routes and pools tables: types, checks and versioned edits.
//!
//! Operators configure the system with two tables, which refer to each other by
//! name. The platform's table service stores them; this crate decides which
//! edits are accepted and reports the faults of those that are rejected.

pub mod check;
pub mod edit;
pub mod key;
pub mod pools;
pub mod routes;

pub use check::Fault;
pub use edit::{Document, Edit, Version};
pub use pools::{Pool, Pools};
pub use routes::{Route, Routes, Team};
