//! Instances that host workers of an endpoint.

use crate::macros::{name, number};

name! {
    /// The name of an instance, from the list of live instances.
    Id
}

number! {
    /// The incarnation of a worker; it differs after every restart.
    Incarnation
}
