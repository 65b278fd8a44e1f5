//! Transactions of the table service.

use std::sync::Arc;

use cyclamen_cache::{Key, Revision};
use serde::{Deserialize, Serialize};

/// A condition on one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The row.
    pub key: Key,
    /// The revision that the row must have; zero if the row must be absent.
    pub revision: Revision,
}

/// A write of one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The row.
    pub key: Key,
    /// The new value as JSON text, or `None` to delete the row.
    pub value: Option<Arc<str>>,
}

/// Writes that take effect atomically if every condition holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// The conditions.
    pub conditions: Vec<Condition>,
    /// The writes.
    pub writes: Vec<Write>,
    /// A row whose value could not be encoded, because of which the transaction must not be sent.
    #[serde(skip)]
    pub(crate) not_encoded: Option<Key>,
}

impl Transaction {
    /// Adds the condition that a row has this revision, or is absent if it is zero.
    pub fn when(mut self, key: Key, revision: Revision) -> Self {
        self.conditions.push(Condition { key, revision });
        self
    }

    /// Adds a write of a value.
    ///
    /// If the value cannot be encoded, [`Client::transact`](crate::Client::transact) does not send
    /// the transaction.
    pub fn put(mut self, key: Key, value: &impl Serialize) -> Self {
        match serde_json::to_string(value) {
            Ok(value) => self.writes.push(Write {
                key,
                value: Some(value.into()),
            }),
            Err(error) => {
                log::error!("event=value_not_encoded key={key} reason=\"{error}\"");
                self.not_encoded = Some(key);
            }
        }
        self
    }

    /// Adds a deletion of a row.
    pub fn delete(mut self, key: Key) -> Self {
        self.writes.push(Write { key, value: None });
        self
    }
}

/// The outcome of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The writes took effect at this revision.
    Committed(Revision),
    /// The conditions on these rows did not hold.
    Conflict(Vec<Key>),
}
