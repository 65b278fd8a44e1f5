//! Outcomes of orders to workers.

/// The outcome of an order to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
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
