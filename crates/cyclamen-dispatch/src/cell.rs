//! Assignment of entries and fabric domains to cells.
//!
//! In a large fleet an entry cannot receive the request counts of all others.
//! The entries of an availability zone are divided into cells, and so are its
//! fabric domains: an entry prefers the domains of its cell and exchanges
//! counts at short intervals only with the few entries of the same cell.

use std::collections::BTreeSet;

use cyclamen_types::{domain, entry};

/// Largest number of entries in a cell, provided that the zone has enough domains.
const MAX_CELL_ENTRIES: usize = 8;

/// The cell of an entry.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Cell {
    /// The other entries.
    pub entries: BTreeSet<entry::Name>,
    /// The fabric domains.
    pub domains: BTreeSet<domain::Name>,
}

/// Returns the cell of an entry, from the entries and the fabric domains of its zone.
///
/// All entries that see the same names compute the same division. There are no
/// more cells than domains, so that each cell has at least one.
pub fn cell(
    own_name: &entry::Name,
    entries: &BTreeSet<entry::Name>,
    domains: &BTreeSet<domain::Name>,
) -> Cell {
    let wanted = entries.len().div_ceil(MAX_CELL_ENTRIES);
    let cells = wanted.min(domains.len()).max(1);
    let own_cell = entries
        .iter()
        .position(|name| name == own_name)
        .unwrap_or(0)
        % cells;
    let in_cell = |index: usize| index % cells == own_cell;
    let of_cell = entries.iter().enumerate().filter(|(i, _)| in_cell(*i));
    let domains = domains.iter().enumerate().filter(|(i, _)| in_cell(*i));
    Cell {
        entries: of_cell
            .map(|(_, name)| name.clone())
            .filter(|name| name != own_name)
            .collect(),
        domains: domains.map(|(_, name)| name.clone()).collect(),
    }
}
