//! Responses whose items are decoded one by one, so that an odd one costs itself only.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex, PoisonError};

use cyclamen_cache::{Delta, Key, Revision, Row};
use cyclamen_domain::Listing;
use cyclamen_types::excerpt::{Excerpt, Word};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::error::Error;
use crate::instances::List;

#[derive(Debug, Deserialize)]
struct WireList<'a> {
    #[serde(borrow)]
    instances: Vec<&'a RawValue>,
}

#[derive(Debug, Deserialize)]
struct WireDelta<'a> {
    since: Revision,
    as_of: Revision,
    #[serde(borrow)]
    rows: Vec<&'a RawValue>,
}

/// A row whose fields are not decoded yet.
#[derive(Debug, Default, Deserialize)]
struct WireRow<'a> {
    #[serde(default, borrow)]
    key: Option<&'a RawValue>,
    #[serde(default, borrow)]
    revision: Option<&'a RawValue>,
    #[serde(default, borrow)]
    value: Option<&'a RawValue>,
}

/// The digests of the items of the last list that could not be decoded, to log each once; clones
/// share them.
#[derive(Debug, Clone, Default)]
pub(crate) struct OddItems(Arc<Mutex<BTreeSet<u64>>>);

impl OddItems {
    /// Decodes the list of instances without those that cannot be decoded.
    ///
    /// # Errors
    ///
    /// If the response is no list.
    pub(crate) fn list(&self, body: &[u8]) -> Result<List, Error> {
        let text = String::from_utf8_lossy(body);
        let wire: WireList<'_> = serde_json::from_str(&text).map_err(|_| Error::Lost)?;
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut odd = BTreeSet::new();
        let mut instances = Vec::new();
        for item in wire.instances {
            match serde_json::from_str::<Listing>(item.get()) {
                Ok(listing) => instances.push(listing),
                Err(error) => {
                    let digest = digest(item.get());
                    if !known.contains(&digest) && odd.insert(digest) {
                        let reason = error.to_string();
                        let reason = Excerpt(&reason);
                        log::warn!("event=listing_not_understood reason=\"{reason}\"");
                    }
                    odd.insert(digest);
                }
            }
        }
        *known = odd;
        Ok(List { instances })
    }
}

fn digest(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}

/// Decodes changed rows; one that cannot be read has an empty value, as of the delta's revision if its
/// own cannot be read, and one without a key is skipped.
///
/// # Errors
///
/// If the response is no delta.
pub(crate) fn delta(body: &[u8]) -> Result<Delta, Error> {
    let text = String::from_utf8_lossy(body);
    let wire: WireDelta<'_> = serde_json::from_str(&text).map_err(|_| Error::Lost)?;
    let as_of = wire.as_of;
    let rows = wire.rows.into_iter();
    Ok(Delta {
        since: wire.since,
        as_of,
        rows: rows.filter_map(|item| row(item, as_of)).collect(),
    })
}

fn row(item: &RawValue, as_of: Revision) -> Option<Row> {
    let wire: WireRow<'_> = serde_json::from_str(item.get()).unwrap_or_default();
    let key: Option<Key> = field(wire.key);
    let revision: Option<Revision> = field(wire.revision).filter(|r| *r <= as_of);
    let value: Option<Option<Arc<str>>> = match wire.value {
        None => Some(None),
        Some(value) => field(Some(value)),
    };
    if key.is_none() || revision.is_none() || value.is_none() {
        let name = key.as_ref().map_or("", |key| &*key.0);
        log::warn!(
            "event=row_not_understood key={} revision={as_of}",
            Word(name)
        );
        return Some(Row {
            key: key?,
            revision: revision.unwrap_or(as_of),
            value: Some("".into()),
        });
    }
    Some(Row {
        key: key?,
        revision: revision?,
        value: value?,
    })
}

fn field<'a, T: Deserialize<'a>>(field: Option<&'a RawValue>) -> Option<T> {
    serde_json::from_str(field?.get()).ok()
}
