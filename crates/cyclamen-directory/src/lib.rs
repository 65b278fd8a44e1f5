//! What operators and the platform say: routes, services, teams and instances.
//!
//! An adapter decodes them from the form in which a platform keeps them. A
//! [`Catalog`] is one version of the operators' configuration; a [`Register`]
//! holds the instances that the platform lists.

mod registry;

pub mod catalog;
pub mod instance;
pub mod route;
pub mod service;
pub mod team;

pub use catalog::Catalog;
pub use instance::Instance;
pub use registry::{Entry, Register};
pub use route::Route;
pub use service::Service;
pub use team::Team;
