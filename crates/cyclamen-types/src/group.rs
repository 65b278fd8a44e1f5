//! Replica groups: the instances that serve one copy of a model together.

use crate::macros::{name, number};

name! {
    /// The name of a replica group, unique over its lifetime.
    Id
}

number! {
    /// A fencing token; an order with a lower token than one already seen is obsolete.
    Fence
}

number! {
    /// One permission to send a request to a replica group.
    Ticket
}
