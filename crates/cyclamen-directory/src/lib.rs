//! Routes, services and teams as configured by operators, and instances as listed by the platform.
//!
//! An adapter decodes them from the platform's storage format. A [`Catalog`] is
//! one version of the operators' configuration; a [`Registry`] holds the
//! instances that the platform lists.

mod registry;

pub mod catalog;
pub mod draft;
pub mod instance;
pub mod route;
pub mod service;
pub mod team;

pub use catalog::Catalog;
pub use draft::Draft;
pub use instance::Instance;
pub use registry::{Record, Registry};
pub use route::Route;
pub use service::Service;
pub use team::Team;
