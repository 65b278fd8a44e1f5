//! Stand-ins for the platform, model engines and plain services.
//!
//! They speak the protocols that the entries use, and fail on demand. They are
//! for tests, measurements and the demonstration, and are not shipped.

pub mod demo;
pub mod engine;
pub mod platform;
pub mod registration;
pub mod server;
pub mod service;
