//! A plain service whose operations are not idempotent, and which counts how often each one ran.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cyclamen_endpoint::REQUEST_ID_HEADER;
use serde::{Deserialize, Serialize};
use smol::Timer;
use trillium::{Conn, Handler, Method};

use crate::platform::respond_json;
use crate::server;

/// Faults to inject into the service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The duration of every operation, in milliseconds.
    pub slow_ms: u64,
    /// Operations run, but their responses are lost.
    pub lose_answers: bool,
}

/// The number of runs of one operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The name of the operation, as sent by the caller.
    pub entry: String,
    /// The number of runs.
    pub runs: u32,
    /// The target of the last run's request.
    pub target: String,
}

#[derive(Debug, Default)]
struct State {
    runs: BTreeMap<String, Run>,
    faults: Faults,
}

/// The HTTP handler of the service.
#[derive(Debug, Clone, Default)]
pub struct Service {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Deserialize)]
struct Operation {
    entry: String,
}

impl Service {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the faults of the service.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
    }

    /// Returns every operation with the number of its runs.
    pub fn runs(&self) -> Vec<Run> {
        self.state().runs.values().cloned().collect()
    }

    async fn execute(&self, conn: Conn, body: &[u8]) -> Conn {
        let Ok(operation) = serde_json::from_slice::<Operation>(body) else {
            return conn.with_status(400).with_body("no entry").halt();
        };
        let faults = self.state().faults;
        Timer::after(Duration::from_millis(faults.slow_ms)).await;
        let run = {
            let mut state = self.state();
            let name = operation.entry.clone();
            let run = state.runs.entry(name).or_insert_with(|| Run {
                entry: operation.entry,
                runs: 0,
                target: String::new(),
            });
            run.runs += 1;
            run.target = conn.path_and_query().to_string();
            run.clone()
        };
        if faults.lose_answers {
            // The body is empty but declares 1000 bytes, so the response is cut short.
            let truncated = trillium::Body::new_streaming(futures::io::empty(), Some(1_000));
            return conn.with_status(200).with_body(truncated).halt();
        }
        respond_json(conn, &run)
    }
}

impl Handler for Service {
    async fn run(&self, mut conn: Conn) -> Conn {
        let body = server::read_body(&mut conn).await;
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
            (Method::Get, _) => respond_json(conn, &self.runs()),
            (Method::Post, _) => self.execute(conn, &body).await,
            _ => conn.with_status(405).halt(),
        }
    }
}
