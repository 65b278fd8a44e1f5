//! What workers answer to orders.

/// What a worker made of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It has begun, or the state already holds.
    Accepted,
    /// It does not fit the worker's state.
    Unfitting,
    /// A higher fencing number was seen.
    Fenced,
    /// Another worker has the address.
    Misdirected,
    /// The worker refused it otherwise, with this status.
    Refused(u16),
    /// No connection was made.
    Unreachable,
    /// No answer came; the order may still be carried out.
    Lost,
}
