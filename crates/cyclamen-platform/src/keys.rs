//! Keys of the rows in the table service.

use cyclamen_cache::Key;
use cyclamen_domain::Owner;
use cyclamen_tables::Version;
use cyclamen_types::domain;

/// The prefix of the rows that every entry caches.
pub const SHARED: &str = "shared/";
/// The prefix of the rows of entries.
pub const ENTRIES: &str = "shared/entry/";
/// The prefix of the rows of fabric domains.
pub const DOMAINS: &str = "shared/domain/";
const LEASES: &str = "lease/";
const CLAIMS: &str = "claim/";

/// Returns the key of the routes table.
pub fn routes() -> Key {
    Key::new(SHARED, "config/routes")
}

/// Returns the key of the pools table.
pub fn pools() -> Key {
    Key::new(SHARED, "config/pools")
}

/// Returns the key of one version of a table in its history.
pub fn history(table: &str, version: Version) -> Key {
    Key::new("history/", format!("{table}/{version}"))
}

/// Returns the key of an incarnation of an entry.
pub fn entry(owner: &Owner) -> Key {
    Key::new(ENTRIES, owner)
}

/// Returns the key of a fabric domain.
pub fn domain(name: &domain::Name) -> Key {
    Key::new(DOMAINS, name)
}

/// Returns the key of the lease of an incarnation of an entry.
pub fn lease(owner: &Owner) -> Key {
    Key::new(LEASES, owner)
}

/// Returns the key of a claim; `key` is derived from the caller's key and safe to use in a row key.
pub fn claim(key: &str) -> Key {
    Key::new(CLAIMS, key)
}
