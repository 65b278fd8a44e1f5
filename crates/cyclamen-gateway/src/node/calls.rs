//! Counts of the calls to the store, for the log.

use std::collections::BTreeMap;
use std::fmt;

use crate::platform::Table;

/// The calls to the store since the last report, by kind and table, and the responses of other
/// entries that proved a table to be known.
#[derive(Debug, Clone, Default)]
pub(crate) struct Calls {
    made: BTreeMap<(&'static str, Table), u64>,
    proofs: BTreeMap<Table, u64>,
}

impl Calls {
    pub(crate) fn record(&mut self, call: &'static str, table: Table) {
        *self.made.entry((call, table)).or_default() += 1;
    }

    pub(crate) fn record_proof(&mut self, table: Table) {
        *self.proofs.entry(table).or_default() += 1;
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.made.is_empty() && self.proofs.is_empty()
    }
}

impl fmt::Display for Calls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let made = self.made.iter();
        let made = made.map(|((call, table), count)| format!("{call}_{}={count}", table.as_str()));
        let proofs = self.proofs.iter();
        let proofs = proofs.map(|(table, count)| format!("proofs_{}={count}", table.as_str()));
        let fields: Vec<String> = made.chain(proofs).collect();
        f.write_str(&fields.join(" "))
    }
}
