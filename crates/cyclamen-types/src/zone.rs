//! Availability zones.

use crate::macros::name;

name! {
    /// The name of an availability zone.
    Name
}
