//! Reads and edits of the routes and pools tables.

use std::sync::Arc;

use cyclamen_cache::{Key, Revision, Row};
use cyclamen_platform::{Outcome, Transaction, keys};
use cyclamen_tables::edit;
use cyclamen_tables::{Document, Edit, Pools, Routes, Version, check};
use cyclamen_types::zone;
use rand::Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::node::Node;

/// Maximum number of versions in a history.
const MAX_HISTORY_VERSIONS: u64 = 20;
/// Maximum tries of an edit made by this entry itself, if the version changes concurrently.
const MAX_EDIT_TRIES: u32 = 5;

/// A response to an operator.
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

impl Response {
    pub(crate) fn of(status: u16, body: &impl Serialize) -> Self {
        match serde_json::to_value(body) {
            Ok(body) => Self { status, body },
            Err(error) => {
                log::error!("event=reply_not_encoded reason=\"{error}\"");
                let body = json!({"error": "the answer could not be encoded"});
                Self { status: 500, body }
            }
        }
    }

    pub(crate) fn error(status: u16, message: &str) -> Self {
        Self::of(status, &json!({"error": message}))
    }

    fn store_down() -> Self {
        Self::error(
            503,
            "the table service does not answer; ask again with the same edit id",
        )
    }
}

/// A snapshot of both tables, read from the table service.
struct Snapshot {
    routes: Document<Routes>,
    routes_revision: Revision,
    pools: Document<Pools>,
    pools_revision: Revision,
}

impl Snapshot {
    async fn read(node: &Node) -> Result<Self, Response> {
        let rows = node.platform.read([keys::routes(), keys::pools()]).await;
        let rows = rows.map_err(|_| Response::store_down())?;
        let (routes, routes_revision) = decode(&rows, &keys::routes());
        let (pools, pools_revision) = decode(&rows, &keys::pools());
        Ok(Self {
            routes,
            routes_revision,
            pools,
            pools_revision,
        })
    }

    /// Returns a transaction conditional on both tables being unchanged, as they are checked
    /// together.
    fn unchanged(&self) -> Transaction {
        Transaction::default()
            .when(keys::routes(), self.routes_revision)
            .when(keys::pools(), self.pools_revision)
    }
}

fn decode<T: DeserializeOwned + Default>(rows: &[Row], key: &Key) -> (Document<T>, Revision) {
    let row = rows.iter().find(|row| row.key == *key);
    let text = row.and_then(|row| row.value.as_deref());
    let document = text.and_then(|text| {
        let document = serde_json::from_str(text);
        document
            .inspect_err(|error| {
                log::warn!("event=table_not_understood key={key} reason=\"{error}\"");
            })
            .ok()
    });
    let revision = row.filter(|r| r.value.is_some()).map(|r| r.revision);
    (document.unwrap_or_default(), revision.unwrap_or_default())
}

/// Reads a table.
pub(crate) async fn read(node: &Node, table: &str) -> Response {
    match (Snapshot::read(node).await, table) {
        (Ok(snapshot), "routes") => Response::of(200, &snapshot.routes),
        (Ok(snapshot), "pools") => Response::of(200, &snapshot.pools),
        (Ok(_), _) => Response::error(404, "the tables are routes and pools"),
        (Err(response), _) => response,
    }
}

/// Reads the latest versions of a table.
pub(crate) async fn history(node: &Node, table: &str) -> Response {
    let newest = match Snapshot::read(node).await {
        Ok(snapshot) if table == "routes" => snapshot.routes.version,
        Ok(snapshot) => snapshot.pools.version,
        Err(response) => return response,
    };
    let oldest = newest.0.saturating_sub(MAX_HISTORY_VERSIONS - 1).max(1);
    let versions = (oldest..=newest.0).map(|v| keys::history(table, Version(v)));
    let Ok(rows) = node.platform.read(versions).await else {
        return Response::store_down();
    };
    let texts = rows.iter().filter_map(|row| row.value.as_deref());
    let documents: Vec<Value> = texts.filter_map(|t| serde_json::from_str(t).ok()).collect();
    Response::of(200, &documents)
}

/// Applies an edit of one table.
pub(crate) async fn apply(node: &Node, table: &str, body: &[u8]) -> Response {
    match table {
        "routes" => match parse::<Routes>(body) {
            Ok(edit) => apply_routes(node, edit).await,
            Err(response) => response,
        },
        "pools" => match parse::<Pools>(body) {
            Ok(edit) => apply_pools(node, edit).await,
            Err(response) => response,
        },
        _ => Response::error(404, "the tables are routes and pools"),
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<Edit<T>, Response> {
    let decoder = &mut serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(decoder).map_err(|error| {
        let fault = format!("{}: {}", error.path(), error.inner());
        Response::of(
            422,
            &json!({"error": "the edit is refused", "faults": [fault]}),
        )
    })
}

async fn apply_routes(node: &Node, edit: Edit<Routes>) -> Response {
    match Snapshot::read(node).await {
        Ok(snapshot) => {
            let faults = check::tables(&edit.body, &snapshot.pools.body);
            let outcome = edit.decide(&snapshot.routes);
            commit(
                node,
                "routes",
                keys::routes(),
                snapshot.unchanged(),
                outcome,
                &faults,
            )
            .await
        }
        Err(response) => response,
    }
}

async fn apply_pools(node: &Node, edit: Edit<Pools>) -> Response {
    match Snapshot::read(node).await {
        Ok(snapshot) => {
            let faults = check::tables(&snapshot.routes.body, &edit.body);
            let outcome = edit.decide(&snapshot.pools);
            commit(
                node,
                "pools",
                keys::pools(),
                snapshot.unchanged(),
                outcome,
                &faults,
            )
            .await
        }
        Err(response) => response,
    }
}

async fn commit<T: Serialize>(
    node: &Node,
    table: &str,
    key: Key,
    base: Transaction,
    outcome: edit::Outcome<T>,
    faults: &[check::Fault],
) -> Response {
    let document = match outcome {
        edit::Outcome::Repeated(version) => return accepted(version),
        edit::Outcome::Stale { current } => return stale(current),
        edit::Outcome::Accepted(document) => document,
    };
    if !faults.is_empty() {
        let faults: Vec<_> = faults.iter().map(ToString::to_string).collect();
        return Response::of(
            422,
            &json!({"error": "the edit is refused", "faults": faults}),
        );
    }
    let history = keys::history(table, document.version);
    let write = base.put(key.clone(), &document).put(history, &document);
    match node.platform.transact(&write).await {
        Ok(Outcome::Committed(revision)) => {
            log::info!(
                "event=edit_accepted table={table} version={}",
                document.version
            );
            let value = serde_json::to_string(&document).ok().map(Arc::from);
            let now = node.now();
            node.state().record_write(now, key, revision, value);
            accepted(document.version)
        }
        Ok(Outcome::Conflict(_)) => {
            Response::error(409, "another edit came first; read and try again")
        }
        Err(_) => Response::store_down(),
    }
}

fn accepted(version: Version) -> Response {
    Response::of(200, &json!({"version": version}))
}

fn stale(current: Version) -> Response {
    Response::of(
        409,
        &json!({"error": "another edit came first", "current": current}),
    )
}

/// Takes a zone out of service or puts it back, by an edit of the pools table.
pub(crate) async fn set_zone_out(node: &Node, name: &str, out: bool) -> Response {
    let Ok(name) = name.parse::<zone::Name>() else {
        return Response::error(400, "not a name of a zone");
    };
    let id: Arc<str> = format!("{:032x}", node.state().rng.random::<u128>()).into();
    let mut response = Response::store_down();
    for _ in 0..MAX_EDIT_TRIES {
        let pools = match Snapshot::read(node).await {
            Ok(snapshot) => snapshot.pools,
            Err(response) => return response,
        };
        if pools.body.zones_out.contains(&name) == out {
            return accepted(pools.version);
        }
        let mut body = pools.body;
        if out {
            body.zones_out.insert(name.clone())
        } else {
            body.zones_out.remove(&name)
        };
        let edit = Edit {
            id: id.clone(),
            replaces: pools.version,
            body,
        };
        response = apply_pools(node, edit).await;
        if response.status != 409 {
            return response;
        }
    }
    response
}
