//! The edges of the process: what an adapter of a platform has to bring.

mod dialect;
mod store;
mod worker;

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use cyclamen_cache::Revision;
use cyclamen_replica::Command;

pub use dialect::Dialect;
pub use store::{
    Commit, Error, Fault, Followed, Record, Row, Snapshot, Subject, Table, Transaction,
};
pub use worker::OrderAnswer;

/// A future that may move between threads.
pub type Pending<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// A platform's store, its workers, and the names it gives to things.
pub trait Platform: Send + Sync + 'static {
    /// The names of headers and paths.
    fn dialect(&self) -> &Dialect;

    /// Reads a whole table.
    fn read(&self, table: Table) -> Pending<Result<Snapshot, Error>>;

    /// Waits for rows of a table that change after a revision, for `wait` at most.
    fn follow(
        &self,
        table: Table,
        after: Revision,
        wait: Duration,
    ) -> Pending<Result<Followed, Error>>;

    /// Commits a transaction.
    fn commit(&self, transaction: Transaction) -> Pending<Result<Commit, Error>>;

    /// What a row is about.
    fn subject(&self, table: Table, key: &str) -> Subject;

    /// Decodes a row that is present.
    fn decode(&self, row: &Row) -> Result<Record, Fault>;

    /// Gives an order to a worker.
    fn order(&self, command: &Command) -> Pending<OrderAnswer>;

    /// Whether a worker answers a question within a time.
    fn answers(&self, address: SocketAddr, timeout: Duration) -> Pending<bool>;
}
