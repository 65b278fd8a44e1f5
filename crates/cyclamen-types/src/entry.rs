//! Entry instances: the processes of the system itself.

use crate::macros::{name, number};

name! {
    /// The name of an entry instance, from its settings.
    Name
}

number! {
    /// One start of an entry; a restarted process has another incarnation.
    Incarnation
}
