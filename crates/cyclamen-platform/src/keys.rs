//! Keys of the rows in the table service.

use cyclamen_cache::Key;
use cyclamen_domain::Owner;
use cyclamen_tables::Version;
use cyclamen_types::domain;

/// The prefix of rows that every entry follows.
pub const SHARED: &str = "shared/";
/// The prefix of the rows of entries.
pub const ENTRIES: &str = "shared/entry/";
/// The prefix of the rows of fabric domains.
pub const DOMAINS: &str = "shared/domain/";
const LEASES: &str = "lease/";
const CLAIMS: &str = "claim/";

/// The row of the routes table.
pub fn routes() -> Key {
    Key::new(SHARED, "config/routes")
}

/// The row of the pools table.
pub fn pools() -> Key {
    Key::new(SHARED, "config/pools")
}

/// The row of an earlier version of a table.
pub fn history(table: &str, version: Version) -> Key {
    Key::new("history/", format!("{table}/{version}"))
}

/// The row of one start of an entry.
pub fn entry(owner: &Owner) -> Key {
    Key::new(ENTRIES, owner)
}

/// The row of a fabric domain.
pub fn domain(name: &domain::Name) -> Key {
    Key::new(DOMAINS, name)
}

/// The row of the lease of one start of an entry.
pub fn lease(owner: &Owner) -> Key {
    Key::new(LEASES, owner)
}

/// The row of a claim; the key is the caller's, already made safe.
pub fn claim(key: &str) -> Key {
    Key::new(CLAIMS, key)
}
