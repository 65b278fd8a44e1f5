//! Instances that host workers of an endpoint.

use crate::macros::{name, number};

name! {
    /// The name of an instance, from the list of live instances.
    Id
}

number! {
    /// One start of a worker; a restarted worker has another incarnation.
    Incarnation
}
