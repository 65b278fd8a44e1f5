//! Teams: the callers that share a contract.

use crate::macros::name;

name! {
    /// The name of a team.
    Name
}
