//! Pools: the instances of one service.

use crate::macros::name;

name! {
    /// The name of a pool, by which routes refer to it.
    Name
}

name! {
    /// A label that the platform gives to the instances of one service.
    Service
}
