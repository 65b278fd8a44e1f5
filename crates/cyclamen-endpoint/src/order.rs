//! The JSON form of orders to workers.

use cyclamen_domain::Order;
use cyclamen_types::{group, pool};
use serde::{Deserialize, Serialize};

/// An order to a worker; it is obsolete if an earlier order had a higher fencing token.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Message {
    /// The fencing token of the order.
    pub fence: group::Fence,
    /// The group to join; `None` orders the worker to leave its current group, if any.
    pub join: Option<Join>,
}

/// The group to join.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Join {
    /// The group.
    pub group: group::Id,
    /// The pool whose model the worker loads.
    pub pool: pool::Name,
    /// The zero-based position in the group.
    pub rank: usize,
    /// Number of members of the group.
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
