//! Which entries share which fabric domains.
//!
//! In a large fleet no entry can hear from all others what they have in
//! progress. The entries of an availability zone divide into cells, and so do
//! its fabric domains: an entry sends first to the domains of its cell and
//! hears often from the few entries that do the same.

use std::collections::BTreeSet;

use cyclamen_types::{domain, entry};

/// The most entries of a cell, as long as there are domains enough.
const CELL_SIZE: usize = 8;

/// The entries and fabric domains that belong together.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Cell {
    /// The other entries.
    pub entries: BTreeSet<entry::Name>,
    /// The fabric domains.
    pub domains: BTreeSet<domain::Name>,
}

/// The cell of an entry, from the entries and the fabric domains of its zone.
///
/// Every entry that knows the same names comes to the same division. There are
/// no more cells than domains, so that each cell has one.
pub fn cell(
    me: &entry::Name,
    entries: &BTreeSet<entry::Name>,
    domains: &BTreeSet<domain::Name>,
) -> Cell {
    let wanted = entries.len().div_ceil(CELL_SIZE);
    let cells = wanted.min(domains.len()).max(1);
    let mine = entries.iter().position(|name| name == me).unwrap_or(0) % cells;
    let in_cell = |index: usize| index % cells == mine;
    let of_cell = entries.iter().enumerate().filter(|(i, _)| in_cell(*i));
    let domains = domains.iter().enumerate().filter(|(i, _)| in_cell(*i));
    Cell {
        entries: of_cell
            .map(|(_, name)| name.clone())
            .filter(|name| name != me)
            .collect(),
        domains: domains.map(|(_, name)| name.clone()).collect(),
    }
}
