//! Models that replica groups serve.

use crate::macros::name;

name! {
    /// The name of a model.
    Name
}
