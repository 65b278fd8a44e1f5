//! A plain service whose entries may not be repeated, and which counts their runs.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cyclamen_endpoint::REQUEST_ID_HEADER;
use serde::{Deserialize, Serialize};
use smol::Timer;
use trillium::{Conn, Handler, Method};

use crate::platform::json;
use crate::server;

/// How the service fails.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Milliseconds that every entry takes.
    pub slow_ms: u64,
    /// Entries run, but their answers are lost.
    pub lose_answers: bool,
}

/// Runs of one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The entry, as its caller named it.
    pub entry: String,
    /// How often it ran.
    pub runs: u32,
}

#[derive(Debug, Default)]
struct State {
    runs: BTreeMap<String, u32>,
    faults: Faults,
}

/// The service as a handler of HTTP requests.
#[derive(Debug, Clone, Default)]
pub struct Service {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Deserialize)]
struct Entry {
    entry: String,
}

impl Service {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes how the service fails.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
    }

    /// Every entry with the number of its runs.
    pub fn runs(&self) -> Vec<Run> {
        let state = self.state();
        let runs = state.runs.iter();
        runs.map(|(entry, runs)| Run {
            entry: entry.clone(),
            runs: *runs,
        })
        .collect()
    }

    async fn enter(&self, conn: Conn, body: &[u8]) -> Conn {
        let Ok(entry) = serde_json::from_slice::<Entry>(body) else {
            return conn.with_status(400).with_body("no entry").halt();
        };
        let faults = self.state().faults;
        Timer::after(Duration::from_millis(faults.slow_ms)).await;
        let runs = {
            let mut state = self.state();
            let runs = state.runs.entry(entry.entry.clone()).or_default();
            *runs += 1;
            *runs
        };
        let answer = Run {
            entry: entry.entry,
            runs,
        };
        if faults.lose_answers {
            // A body longer than its declared length cuts the answer short.
            let cut = trillium::Body::new_streaming(futures::io::empty(), Some(1_000));
            return conn.with_status(200).with_body(cut).halt();
        }
        json(conn, &answer)
    }
}

impl Handler for Service {
    async fn run(&self, mut conn: Conn) -> Conn {
        let body = server::body(&mut conn).await;
        if let Some(id) = conn.request_headers().get_str(REQUEST_ID_HEADER) {
            let id = id.to_string();
            conn.response_headers_mut().insert(REQUEST_ID_HEADER, id);
        }
        match (conn.method(), conn.path()) {
            (Method::Get, "/healthz") => conn.ok("well"),
            (Method::Post, "/admin/faults") => match serde_json::from_slice(&body) {
                Ok(faults) => {
                    self.set_faults(faults);
                    conn.ok("")
                }
                Err(_) => conn.with_status(400).halt(),
            },
            (Method::Get, _) => json(conn, &self.runs()),
            (Method::Post, _) => self.enter(conn, &body).await,
            _ => conn.with_status(405).halt(),
        }
    }
}
