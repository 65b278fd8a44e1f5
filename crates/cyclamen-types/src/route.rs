//! Routes: where requests go.

use crate::macros::name;

name! {
    /// The name of a route, which callers pass as the model name or the first path segment.
    Name
}
