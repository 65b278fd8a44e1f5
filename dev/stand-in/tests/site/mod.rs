//! A small site of separate processes on loopback.

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use cyclamen_domain::Listing;
use cyclamen_http::{Request, Response};
use cyclamen_platform::instances::List;
use cyclamen_platform::{Client, Options};
use cyclamen_stand_in::demo::{self, API_KEY, OPERATOR_TOKEN};
use cyclamen_stand_in::engine;
use futures::StreamExt;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use trillium::{Headers, Method};

/// Nothing here takes this long unless something hangs.
const HANG: Duration = Duration::from_secs(90);
const TICK: Duration = Duration::from_millis(50);

pub struct Process {
    child: Child,
}

impl Process {
    fn start(binary: &Path, arguments: &[&str]) -> Self {
        let child = Command::new(binary)
            .args(arguments)
            .stdout(Stdio::null())
            .stderr(if std::env::var_os("SHOW_LOGS").is_some() {
                Stdio::inherit()
            } else {
                Stdio::null()
            })
            .spawn()
            .unwrap();
        Self { child }
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    pub fn wait(&mut self) -> bool {
        self.child.wait().unwrap().success()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Entry {
    pub process: Process,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
}

/// Entries, a platform, engines of one domain in each of two zones, and a plain service.
pub struct Site {
    pub entries: Vec<Entry>,
    pub engines: Vec<Process>,
    pub service: SocketAddr,
    pub platform: SocketAddr,
    pub caller: cyclamen_http::Client,
    _others: Vec<Process>,
    folder: PathBuf,
}

pub const ZONES: [&str; 2] = ["sofia-a", "sofia-b"];

/// An address on loopback that no other listener of these tests uses.
///
/// The port is free only until it is used, so that two calls may find the same one; the
/// host part differs from call to call.
fn free_address() -> SocketAddr {
    static LAST: AtomicU16 = AtomicU16::new(1);
    let [high, low] = LAST.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let ip = IpAddr::from([127, 1, high, low]);
    TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap()
}

fn stand_in() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_cyclamenpath-stand-in"))
}

/// The shipped command line.
fn cyclamenpath() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_cyclamenpath-tested"))
}

impl Site {
    pub fn start(name: &str, entries: usize) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).unwrap();
        let platform = free_address();
        let at = platform.to_string();
        let mut others = vec![Process::start(&stand_in(), &["platform", "--listen", &at])];
        others.push(Process::start(
            &stand_in(),
            &[
                "service",
                "--listen",
                "127.0.0.1:0",
                "--platform",
                &at,
                "--service",
                "registry-app",
                "--zone",
                ZONES[0],
                "--domain",
                "registry-d1",
                "--instance",
                "registry-1",
            ],
        ));
        let engine = |zone: &&str| {
            let domain = format!("{zone}-d1");
            let arguments = [
                "engine",
                "--listen",
                "127.0.0.1:0",
                "--platform",
                &at,
                "--service",
                "herd-llm",
                "--zone",
                zone,
                "--domain",
                &domain,
            ];
            Process::start(&stand_in(), &arguments)
        };
        let engines = ZONES.iter().map(engine).collect();
        let mut site = Self {
            entries: Vec::new(),
            engines,
            service: platform,
            platform,
            caller: cyclamen_http::Client::new(cyclamen_http::Options::default()),
            _others: others,
            folder,
        };
        site.write_tables();
        site.service = site.listed("registry-1");
        for index in 0..entries {
            site.start_entry(index);
        }
        for index in 0..entries {
            site.until("the entry answers", || {
                site.complete(index, "hello", 2).is_ok()
            });
        }
        for index in 0..entries {
            site.until("the service answers", || {
                site.read(index).is_some_and(|r| r.is_success())
            });
        }
        site.until("every entry has a lease", || {
            site.status(0)["entries"]
                .as_array()
                .is_some_and(|all| all.len() == entries)
        });
        site
    }

    fn write_tables(&self) {
        let options = Options {
            address: self.platform,
            timeout: Duration::from_secs(2),
        };
        let client = Client::new(self.caller.clone(), options);
        let tables = demo::first_tables(demo::routes().unwrap(), demo::pools().unwrap());
        self.until("the tables are written", || {
            smol::block_on(client.transact(&tables)).is_ok()
        });
    }

    pub fn start_entry(&mut self, index: usize) {
        let listen = [0; 3].map(|_| free_address());
        let mut settings =
            demo::settings(&format!("entry-{index}"), self.platform, listen).unwrap();
        settings.peer_allowed.push(listen[2].ip());
        settings.zone = ZONES[index % ZONES.len()].parse().unwrap();
        let file = self.folder.join(format!("entry-{index}.json"));
        std::fs::write(&file, serde_json::to_vec(&settings).unwrap()).unwrap();
        let file = file.to_str().unwrap();
        self.entries.push(Entry {
            process: Process::start(&cyclamenpath(), &["entry", "--settings", file]),
            callers: listen[0],
            operators: listen[1],
        });
    }

    /// Where an instance listens, once the platform lists it.
    fn listed(&self, instance: &str) -> SocketAddr {
        let address = || {
            let listings = self.instances();
            let listing = listings.iter().find(|l| l.instance.as_str() == instance);
            listing.map(|l| l.address)
        };
        self.until("the instance is listed", || address().is_some());
        address().unwrap()
    }

    fn instances(&self) -> Vec<Listing> {
        let url = format!("http://{}/instances", self.platform);
        let list: Result<List, _> =
            smol::block_on(self.caller.get_json(&url, Duration::from_secs(5)));
        list.map(|list| list.instances).unwrap_or_default()
    }

    /// Waits for a condition.
    pub fn until(&self, what: &str, condition: impl Fn() -> bool) {
        let begin = Instant::now();
        while !condition() {
            assert!(
                begin.elapsed() < HANG,
                "{what} never became true: {:#}",
                self.statuses()
            );
            std::thread::sleep(TICK);
        }
    }

    fn headers() -> Headers {
        let mut headers = Headers::new();
        headers.insert("authorization", format!("Bearer {API_KEY}"));
        headers
    }

    /// Streams a completion through an entry; the text, or what went wrong.
    pub fn complete(&self, entry: usize, content: &str, tokens: u64) -> Result<String, Value> {
        smol::block_on(complete(
            self.caller.clone(),
            self.entries[entry].callers,
            content.to_string(),
            tokens,
        ))
    }

    /// Reads from the plain service through an entry instance.
    pub fn read(&self, entry: usize) -> Option<Response> {
        let request = Request {
            url: &format!("http://{}/registry-app/heads", self.entries[entry].callers),
            headers: Self::headers(),
            timeout: Duration::from_secs(20),
            ..Request::default()
        };
        smol::block_on(self.caller.call_unpooled(request)).ok()
    }

    /// Posts an entry to the plain service through an entry instance.
    pub fn post(&self, entry: usize, name: &str, key: Option<&str>) -> Result<Response, ()> {
        let mut headers = Self::headers();
        if let Some(key) = key {
            headers.insert("idempotency-key", key.to_string());
        }
        let request = Request {
            method: Method::Post,
            url: &format!("http://{}/registry-app/heads", self.entries[entry].callers),
            headers,
            body: json!({"entry": name}).to_string().into_bytes(),
            timeout: Duration::from_secs(20),
        };
        smol::block_on(self.caller.call_unpooled(request)).map_err(|_| ())
    }

    /// How often the service ran an entry.
    pub fn runs(&self, name: &str) -> u64 {
        let url = format!("http://{}/", self.service);
        let runs: Value =
            smol::block_on(self.caller.get_json(&url, Duration::from_secs(5))).unwrap();
        let runs = runs
            .as_array()
            .unwrap()
            .iter()
            .find(|run| run["entry"] == name);
        runs.map_or(0, |run| run["runs"].as_u64().unwrap())
    }

    /// Posts to an operators' listener.
    pub fn operate(&self, entry: usize, path: &str) -> Response {
        self.admin(
            self.entries[entry].operators,
            Method::Post,
            path,
            Value::Null,
        )
    }

    /// The status of an entry, or null if it does not answer.
    pub fn status(&self, entry: usize) -> Value {
        let request = Request {
            url: &format!("http://{}/status", self.entries[entry].operators),
            headers: operator_headers(),
            ..Request::default()
        };
        let reply = smol::block_on(self.caller.call_unpooled(request));
        reply.ok().and_then(|r| r.json().ok()).unwrap_or_default()
    }

    /// The status of every entry.
    fn statuses(&self) -> Value {
        (0..self.entries.len())
            .map(|entry| self.status(entry))
            .collect()
    }

    pub fn admin(&self, at: SocketAddr, method: Method, path: &str, body: Value) -> Response {
        let request = Request {
            method,
            url: &format!("http://{at}{path}"),
            headers: operator_headers(),
            body: body.to_string().into_bytes(),
            timeout: Duration::from_secs(10),
        };
        smol::block_on(self.caller.call_unpooled(request)).unwrap()
    }

    pub fn fail_platform(&self, faults: Value) {
        self.admin(self.platform, Method::Post, "/admin/faults", faults);
    }

    /// What went wrong in the engines that still run.
    pub fn violations(&self) -> engine::Violations {
        let instances = self.instances();
        let mut sum = engine::Violations::default();
        for zone in ZONES {
            let first = format!("{zone}-d1-w0");
            let listing = instances.iter().find(|l| l.instance.as_str() == first);
            let Some(listing) = listing else { continue };
            let url = format!("http://{}/admin/violations", listing.address);
            let seen: engine::Violations =
                smol::block_on(self.caller.get_json(&url, Duration::from_secs(5))).unwrap();
            sum.incomplete += seen.incomplete;
            sum.overloaded += seen.overloaded;
            sum.crashes += seen.crashes;
        }
        sum
    }
}

fn operator_headers() -> Headers {
    let mut headers = Headers::new();
    headers.insert("authorization", format!("Bearer {OPERATOR_TOKEN}"));
    headers
}

/// The text that the engines generate for a message.
pub fn expected(content: &str, tokens: u64) -> String {
    let messages = json!([{"role": "user", "content": content}]).to_string();
    (0..tokens)
        .map(|index| engine::token(&messages, index))
        .collect()
}

/// Streams a completion; the text, or the error in its place.
pub async fn complete(
    caller: cyclamen_http::Client,
    at: SocketAddr,
    content: String,
    tokens: u64,
) -> Result<String, Value> {
    let body = json!({
        "model": "herd-llm", "stream": true, "max_tokens": tokens,
        "messages": [{"role": "user", "content": content}],
    });
    let request = Request {
        method: Method::Post,
        url: &format!("http://{at}/v1/chat/completions"),
        headers: Site::headers(),
        body: body.to_string().into_bytes(),
        timeout: Duration::from_secs(30),
    };
    let opened = caller
        .open_event_stream(request)
        .await
        .map_err(|e| json!({"error": e.to_string()}))?;
    let mut events = opened.map_err(|reply| {
        let body: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
        let header = |name: &'static str| reply.headers.get_str(name).map(str::to_string);
        json!({
            "status": reply.status,
            "error": body["error"],
            "outcome": header("cyclamenpath-outcome"),
            "retry_after": header("retry-after"),
        })
    })?;
    let mut text = String::new();
    while let Some(event) = events.next().await {
        let event = event.map_err(|e| json!({"error": e.to_string()}))?;
        if event.data() == "[DONE]" {
            return Ok(text);
        }
        let part: Value = serde_json::from_str(event.data()).unwrap();
        if !part["error"].is_null() {
            return Err(part);
        }
        text.push_str(
            part["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default(),
        );
    }
    Err(json!({"error": "no end marker"}))
}
