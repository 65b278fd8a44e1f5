//! Routes: where requests go.

use crate::macros::name;

name! {
    /// The name of a route, which callers give as the model or the first path segment.
    Name
}
