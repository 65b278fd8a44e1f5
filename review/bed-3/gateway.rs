//! Gateways in processes of their own, started by the command of the deploy file.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::client;

/// A gateway; its process is killed when this is dropped.
pub struct Gateway {
    name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: File,
    child: Child,
}

/// Returns a loopback address of this process alone, so that ports that were free a moment ago stay so.
pub fn host() -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 77, high, low.clamp(1, 254))
}

fn free() -> SocketAddr {
    let listener = TcpListener::bind((host(), 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

fn spawn(settings: &Path, log: &File) -> Result<Child, String> {
    let program = "target/release/cyclamenpath";
    let mut command = Command::new(program);
    command
        .args(["gateway", "--settings"])
        .arg(settings)
        .args(["--grace-s", "8"]);
    command.stdin(Stdio::null());
    command.stdout(log.try_clone().map_err(|e| e.to_string())?);
    command.stderr(log.try_clone().map_err(|e| e.to_string())?);
    command
        .spawn()
        .map_err(|error| format!("{program}: {error}"))
}

impl Gateway {
    /// Starts a gateway with the settings that the template of the deploy file gives.
    pub fn start(
        temporary: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
    ) -> Result<Self, String> {
        let (callers, ready) = (free(), free());
        let settings = format!(
            r#"{{"name": "{name}", "zone": "{zone}", "caller_listen": "{callers}",
                "ready_listen": "{ready}", "peer_listen": "{}", "metrics_listen": "{}",
                "handover_listen": "{}", "peer_secret": "to be set by the operators",
                "store": "{store}", "machine": {{"memory_mb": 260, "max_fds": 4100}},
                "features": {{"follow_demand": false, "overload_control": true,
                    "observed_loads": false, "split_prompts": true, "shared_following": false}},
                "timing": {{"operators_freshness_ms": 2000, "instances_freshness_ms": 2000}}}}"#,
            free(),
            free(),
            free(),
        );
        let path = temporary.join(format!("{name}.json"));
        std::fs::write(&path, settings).map_err(|e| e.to_string())?;
        let log = File::create(temporary.join(format!("{name}.log"))).map_err(|e| e.to_string())?;
        let child = spawn(&path, &log)?;
        Ok(Self {
            name: name.into(),
            callers,
            ready,
            settings: path,
            log,
            child,
        })
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    pub fn wait_until_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if client::send(self.ready, ("GET", "/v1/readyz"), &[], b"").status == 200 {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(format!("{} is not ready", self.name))
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM, and waits until the process has ended.
    pub fn stop(&mut self) -> Result<(), String> {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", "TERM", &id]).status();
        status.map_err(|error| error.to_string())?;
        self.child
            .wait()
            .map(|_| ())
            .map_err(|error| error.to_string())
    }

    /// Starts the process again, with the same settings.
    pub fn restart(&mut self) -> Result<(), String> {
        self.child = spawn(&self.settings, &self.log)?;
        Ok(())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
