//! The rows that could not be read when a table was last read as a whole.

use std::collections::BTreeMap;
use std::sync::Arc;

use cyclamen_cache::Revision;
use cyclamen_types::excerpt::Word;

use crate::platform::{Row, Table};

/// The rows of each table that could not be read, to log each revision of a row once.
#[derive(Debug, Default)]
pub(crate) struct OddRows(BTreeMap<Table, BTreeMap<Arc<str>, Revision>>);

impl OddRows {
    /// Records which rows of a table could not be read, and logs those that are new with this event.
    pub(crate) fn record<'a>(
        &mut self,
        table: Table,
        event: &'static str,
        rows: impl IntoIterator<Item = &'a Row>,
    ) {
        let known = self.0.remove(&table).unwrap_or_default();
        let mut odd = BTreeMap::new();
        for row in rows {
            if known.get(&row.key).is_none_or(|r| *r < row.revision) {
                log::warn!(
                    "event={event} key={} revision={}",
                    Word(&row.key),
                    row.revision
                );
            }
            odd.insert(row.key.clone(), row.revision);
        }
        self.0.insert(table, odd);
    }
}
