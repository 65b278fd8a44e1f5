//! Orders to workers as JSON.

use cyclamen_domain::Order;
use cyclamen_types::{group, pool};
use serde::{Deserialize, Serialize};

/// An order to a worker; one with a lower fencing token than a former one is obsolete.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Message {
    /// The fencing token of the order.
    pub fence: group::Fence,
    /// The group to join; leaves any group if there is none.
    pub join: Option<Join>,
}

/// The group to join.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Join {
    /// The group.
    pub group: group::Id,
    /// The pool whose model to load.
    pub pool: pool::Name,
    /// The place in the group, from zero.
    pub rank: usize,
    /// Members of the group.
    pub size: usize,
}

impl From<&Order> for Message {
    fn from(order: &Order) -> Self {
        match order {
            Order::Leave { fence } => Self {
                fence: *fence,
                join: None,
            },
            Order::Join {
                assignment,
                pool,
                rank,
                size,
            } => Self {
                fence: assignment.fence,
                join: Some(Join {
                    group: assignment.group.clone(),
                    pool: pool.clone(),
                    rank: *rank,
                    size: *size,
                }),
            },
        }
    }
}
