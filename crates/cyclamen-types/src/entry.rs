//! Entry instances: the processes of the system itself.

use crate::macros::{name, number};

name! {
    /// The name of an entry instance, from its settings.
    Name
}

number! {
    /// The incarnation of an entry process; it differs after every restart.
    Incarnation
}
