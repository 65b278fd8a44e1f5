//! Gateways: the project's own program as separate processes, by the command and the template of the deploy
//! file.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::client;

const SIGKILL: i32 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

/// Makes a process that is being started end with the one that starts it.
pub fn die_with_parent() -> std::io::Result<()> {
    unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as u64) };
    Ok(())
}

/// A gateway.
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Returns addresses of loopback with free ports.
fn free<const N: usize>() -> [SocketAddr; N] {
    let listeners = [(); N].map(|()| TcpListener::bind("127.0.0.1:0").expect("loopback"));
    listeners.map(|listener| listener.local_addr().expect("an address"))
}

impl Gateway {
    /// Writes the settings of a gateway by the template of the deploy file.
    pub fn new(folder: &Path, name: &str, store: SocketAddr, bounds: (u64, u64)) -> Self {
        let [front, ready, control, peer, metrics] = free();
        let template = std::fs::read_to_string("deploy/gateway.json").expect("the template");
        let json = |text: String| format!("\"{text}\"");
        let fields = [
            ("{{node_name|json}}", json(name.into())),
            ("{{zone|json}}", json("z1".into())),
            ("{{listen.front|json}}", json(front.to_string())),
            ("{{listen.ready|json}}", json(ready.to_string())),
            ("{{listen.control|json}}", json(control.to_string())),
            ("{{ip}}:{{internal_ports.0}}", peer.to_string()),
            ("{{ip}}:{{internal_ports.1}}", metrics.to_string()),
            ("{{platform.address|json}}", json(store.to_string())),
            ("{{limits.memory_mb|json}}", "260".into()),
            ("{{limits.max_fds|json}}", "4100".into()),
            ("{{bounds.config_ms|json}}", bounds.0.to_string()),
            ("{{bounds.drain_ms|json}}", bounds.1.to_string()),
        ];
        let settings = fields
            .iter()
            .fold(template, |text, (field, value)| text.replace(field, value));
        assert!(
            !settings.contains("{{"),
            "a field of the template is not known"
        );
        let file = folder.join(format!("{name}.json"));
        std::fs::write(&file, settings).expect("settings");
        Self {
            name: name.into(),
            front,
            ready,
            settings: file,
            log: folder.join(format!("{name}.log")),
            child: None,
        }
    }

    /// Starts the process; it ends with this one at the latest.
    pub fn start(&mut self) {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log);
        let log = log.expect("a log");
        let mut command = Command::new("target/release/cyclamenpath");
        command
            .args(["gateway", "--settings"])
            .arg(&self.settings)
            .args(["--grace-s", "8"])
            .env("CYCLAMENPATH_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log);
        unsafe { command.pre_exec(die_with_parent) };
        self.child = Some(command.spawn().expect("the gateway starts"));
    }

    /// Waits until the gateway says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let request = "GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
            let response = client::exchange(self.ready, request.as_bytes(), Duration::from_secs(1));
            if response.is_ok_and(|response| response.status() == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Sends a signal to the process.
    #[allow(dead_code)]
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Returns the lines of the log that hold a text.
    #[allow(dead_code)]
    pub fn lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(str::to_string).collect()
    }

    /// Returns whether something accepts connections of callers.
    #[allow(dead_code)]
    pub fn accepts(&self) -> bool {
        TcpStream::connect_timeout(&self.front, Duration::from_millis(300)).is_ok()
    }

    /// Returns the resident memory of the process, in kB.
    pub fn resident_kb(&self) -> u64 {
        let pid = self.child.as_ref().map_or(0, Child::id);
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        kb.unwrap_or(0)
    }

    /// Kills the process.
    pub fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.end();
    }
}
