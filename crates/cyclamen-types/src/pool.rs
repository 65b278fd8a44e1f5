//! Pools: which instances serve.

use crate::macros::name;

name! {
    /// The name of a pool, which joins routes to it.
    Name
}

name! {
    /// A label that the platform gives to the instances of one service.
    Service
}
