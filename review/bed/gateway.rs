//! The project's gateway, as a process of its own.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
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
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Gateway {
    /// Writes the settings, as the template of the deploy file renders them, and starts the process.
    pub fn start(folder: &Path, name: &str, zone: &str, store: SocketAddr) -> Result<Self, String> {
        let ports: Vec<SocketAddr> = free_addresses(5)?;
        let settings = folder.join(format!("{name}.json"));
        let text = format!(
            "{{\"name\":\"{name}\",\"zone\":\"{zone}\",\"caller_listen\":\"{}\",\
             \"ready_listen\":\"{}\",\"peer_listen\":\"{}\",\"metrics_listen\":\"{}\",\
             \"handover_listen\":\"{}\",\"peer_secret\":\"to be set by the operators\",\
             \"store\":\"{store}\",\"timing\":{{\"operators_freshness_ms\":2000,\
             \"instances_freshness_ms\":2000}}}}",
            ports[0], ports[1], ports[2], ports[3], ports[4]
        );
        fs::write(&settings, text).map_err(|error| error.to_string())?;
        let mut gateway = Self {
            name: name.to_string(),
            front: ports[0],
            ready: ports[1],
            log: folder.join(format!("{name}.log")),
            settings,
            child: None,
        };
        gateway.spawn()?;
        Ok(gateway)
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
            let answer = http::call(self.ready, request, Duration::from_millis(500));
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

fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, String> {
    let listeners: Result<Vec<_>, _> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0"))
        .collect();
    let listeners = listeners.map_err(|error| error.to_string())?;
    let addresses = listeners.iter().map(TcpListener::local_addr);
    addresses
        .collect::<Result<_, _>>()
        .map_err(|e| e.to_string())
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
