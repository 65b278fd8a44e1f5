//! Orders to workers.

use std::net::SocketAddr;

use cyclamen_types::{group, instance, model};

/// An order to one worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Command {
    /// The worker.
    pub instance: instance::Id,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// What it is to do.
    pub order: Order,
}

/// What a worker is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Become a member of a replica group.
    Join {
        /// The group.
        group: group::Id,
        /// The fencing number of the membership.
        fence: group::Fence,
        /// The model to serve.
        model: model::Name,
        /// All members; the first one is the head.
        members: Vec<instance::Id>,
    },
    /// Begin to serve, as the head of a group whose members are all ready.
    Open {
        /// The group.
        group: group::Id,
        /// The fencing number of the membership.
        fence: group::Fence,
    },
    /// Cease to serve, as the head of a group.
    Close {
        /// The group.
        group: group::Id,
        /// The fencing number of the membership.
        fence: group::Fence,
        /// What becomes of the work in progress.
        ending: Ending,
    },
    /// Give up a membership at once.
    Leave {
        /// The group.
        group: group::Id,
        /// The fencing number of the membership.
        fence: group::Fence,
    },
    /// Load the weights of a model onto the host.
    Stage {
        /// The model.
        model: model::Name,
    },
}

/// What becomes of the work in progress of a group that closes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// It ends first.
    Wait,
    /// It is cut off.
    Cut,
}

impl Order {
    /// The order's name in logs and metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Join { .. } => "join",
            Self::Open { .. } => "open",
            Self::Close { .. } => "close",
            Self::Leave { .. } => "leave",
            Self::Stage { .. } => "stage",
        }
    }

    /// The model that the order is about, if any.
    pub fn model(&self) -> Option<&model::Name> {
        match self {
            Self::Join { model, .. } | Self::Stage { model } => Some(model),
            Self::Open { .. } | Self::Close { .. } | Self::Leave { .. } => None,
        }
    }

    /// The fencing number that the order carries, if it is about a membership.
    pub fn fence(&self) -> Option<group::Fence> {
        match self {
            Self::Join { fence, .. }
            | Self::Open { fence, .. }
            | Self::Close { fence, .. }
            | Self::Leave { fence, .. } => Some(*fence),
            Self::Stage { .. } => None,
        }
    }
}
