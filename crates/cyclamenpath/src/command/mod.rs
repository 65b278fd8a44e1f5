//! Implementations of the commands.

pub(crate) mod check;
pub(crate) mod configuration;
pub(crate) mod entry;
pub(crate) mod gateway;
pub(crate) mod key_digest;
pub(crate) mod schema;
pub(crate) mod status;
pub(crate) mod table;
pub(crate) mod zone;
