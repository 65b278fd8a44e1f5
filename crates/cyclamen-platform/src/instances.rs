//! The platform's list of instances.

use cyclamen_domain::Listing;
use serde::{Deserialize, Serialize};

/// The list of live and leaving instances, which lags behind.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct List {
    /// The instances.
    pub instances: Vec<Listing>,
}
