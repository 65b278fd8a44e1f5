//! The project's gateway, as a process of its own.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// The ids of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all gateways that run.
pub fn kill_all() {
    for id in RUNNING.lock().unwrap().drain(..) {
        let _ = Command::new("kill").arg("-9").arg(id.to_string()).status();
    }
}

/// A gateway; dropping it kills its process.
pub struct Gateway {
    pub name: String,
    zone: String,
    pub front: SocketAddr,
    /// The address on which it listens for other gateways.
    pub peer: SocketAddr,
    /// The addresses of callers, readiness, other gateways, metrics and handovers.
    listen: Vec<SocketAddr>,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Gateway {
    /// Creates a gateway whose process does not run yet.
    pub fn new(folder: &Path, name: &str, zone: &str) -> Result<Self, String> {
        let listen = free_addresses(5)?;
        Ok(Self {
            name: name.to_string(),
            zone: zone.to_string(),
            front: listen[0],
            peer: listen[2],
            settings: folder.join(format!("{name}.json")),
            log: folder.join(format!("{name}.log")),
            listen,
            child: None,
        })
    }

    /// Writes the settings, as the template of the deploy file renders them, and starts the process.
    pub fn start(&mut self, store: SocketAddr) -> Result<(), String> {
        let listen = &self.listen;
        let text = format!(
            "{{\"name\":\"{}\",\"zone\":\"{}\",\"caller_listen\":\"{}\",\
             \"ready_listen\":\"{}\",\"peer_listen\":\"{}\",\"metrics_listen\":\"{}\",\
             \"handover_listen\":\"{}\",\"peer_secret\":\"to be set by the operators\",\
             \"store\":\"{store}\",\"timing\":{{\"operators_freshness_ms\":2000,\
             \"instances_freshness_ms\":2000}}}}",
            self.name, self.zone, listen[0], listen[1], listen[2], listen[3], listen[4]
        );
        fs::write(&self.settings, text).map_err(|error| error.to_string())?;
        self.spawn()
    }

    /// Starts the process with the settings that it had.
    pub fn spawn(&mut self) -> Result<(), String> {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(|error| error.to_string())?;
        let child = Command::new("target/release/cyclamenpath")
            .arg("gateway")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().map_err(|error| error.to_string())?)
            .stdout(log)
            .spawn();
        let child = child.map_err(|error| format!("gateway: {error}"))?;
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Returns the id of the process, if one runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            RUNNING.lock().unwrap().retain(|id| *id != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the process says that it is ready.
    pub fn wait_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(15);
        let request = b"GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
        while Instant::now() < until {
            let answer = http::call(self.listen[1], request, Duration::from_millis(500));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("{} is not ready", self.name))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns addresses on which nothing listens, below the ports that connections get.
fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, String> {
    const FIRST: u16 = 20_000;
    const SPAN: u16 = 10_000;
    static NEXT: AtomicU16 = AtomicU16::new(0);
    // Scripts that run at the same time begin far from each other.
    let offset = (std::process::id().wrapping_mul(173) % u32::from(SPAN)) as u16;
    let mut free = Vec::new();
    for _ in 0..SPAN {
        let port = FIRST + (offset + NEXT.fetch_add(1, Ordering::Relaxed) % SPAN) % SPAN;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            free.push(address);
        }
        if free.len() == count {
            return Ok(free);
        }
    }
    Err("no free ports".to_string())
}

/// A new folder for settings and logs, removed on drop unless `KEEP` is set.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Result<Self, String> {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&path).map_err(|error| error.to_string())?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}
