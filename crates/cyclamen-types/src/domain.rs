//! Fabric domains: instances connected by one fast network.

use crate::macros::name;

name! {
    /// The name of a fabric domain.
    Name
}
