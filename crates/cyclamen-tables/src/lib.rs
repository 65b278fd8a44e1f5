//! The routes and pools tables: types, checks and versioned edits.
//!
//! Operators steer the system by two tables that are joined by name. The
//! platform's table service holds them; this crate decides which edits are
//! accepted and says what is wrong with those that are not.

pub mod check;
pub mod edit;
pub mod key;
pub mod pools;
pub mod routes;

pub use check::Fault;
pub use edit::{Document, Edit, Version};
pub use pools::{Pool, Pools};
pub use routes::{Route, Routes, Team};
