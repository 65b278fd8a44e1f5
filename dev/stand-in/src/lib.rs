//! Stand-ins for the platform, model engines and plain services.
//!
//! They implement the protocols that the entries use and inject faults on request.
//! They serve tests, measurements and the demonstration, and are not released.

pub mod demo;
pub mod engine;
pub mod platform;
pub mod registration;
pub mod server;
pub mod service;
