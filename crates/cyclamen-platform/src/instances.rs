//! The platform's list of instances.

use cyclamen_domain::Listing;
use serde::{Deserialize, Serialize};

/// The list of live and leaving instances; it may lag behind their actual state.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct List {
    /// The instances.
    pub instances: Vec<Listing>,
}
