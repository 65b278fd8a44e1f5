//! Orders to workers.

use std::net::SocketAddr;

use cyclamen_types::{group, instance, model};

/// An order to one worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Command {
    /// The worker.
    pub instance: instance::Id,
    /// The address at which the worker accepts orders.
    pub address: SocketAddr,
    /// The order.
    pub order: Order,
}

/// An operation that a worker is ordered to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Become a member of a replica group.
    Join {
        /// The group.
        group: group::Id,
        /// The fencing token of the membership.
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
        /// The fencing token of the membership.
        fence: group::Fence,
    },
    /// Stop serving, as the head of a group.
    Close {
        /// The group.
        group: group::Id,
        /// The fencing token of the membership.
        fence: group::Fence,
        /// How to end the requests in progress.
        mode: CloseMode,
    },
    /// End a membership immediately.
    Leave {
        /// The group.
        group: group::Id,
        /// The fencing token of the membership.
        fence: group::Fence,
    },
    /// Load the weights of a model onto the host.
    Stage {
        /// The model.
        model: model::Name,
    },
}

/// How a group that closes ends its requests in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseMode {
    /// Let them finish before closing.
    Drain,
    /// Abort them.
    Abort,
}

impl Order {
    /// Returns the name of the order in logs and metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Join { .. } => "join",
            Self::Open { .. } => "open",
            Self::Close { .. } => "close",
            Self::Leave { .. } => "leave",
            Self::Stage { .. } => "stage",
        }
    }

    /// Returns the model that the order names, if any.
    pub fn model(&self) -> Option<&model::Name> {
        match self {
            Self::Join { model, .. } | Self::Stage { model } => Some(model),
            Self::Open { .. } | Self::Close { .. } | Self::Leave { .. } => None,
        }
    }

    /// Returns the fencing token of the membership that the order concerns, if any.
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

/// The outcome of an order to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The worker has started to carry out the order, or is in the ordered state already.
    Accepted,
    /// The order is not valid in the worker's state.
    Unfitting,
    /// The worker has received a higher fencing token.
    Fenced,
    /// Another worker has the address.
    Misdirected,
    /// The worker refused the order for another reason, with this status.
    Refused(u16),
    /// No connection was made.
    Unreachable,
    /// No response was received; the order may still be carried out.
    Lost,
}

impl Outcome {
    /// Returns the name of the outcome in logs and metrics.
    pub fn kind(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Unfitting => "unfitting",
            Self::Fenced => "fenced",
            Self::Misdirected => "misdirected",
            Self::Refused(_) => "refused",
            Self::Unreachable => "unreachable",
            Self::Lost => "lost",
        }
    }
}
