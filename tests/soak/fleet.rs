//! The gateways, each a process of its own.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::process::{Child, Command};
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep};

use crate::proxy::Proxy;
use crate::world::{DATA_CENTRES, port};

const CALLER_PORT: u16 = 8000;
const READY_PORT: u16 = 8200;
const METRICS_PORT: u16 = 8400;
const PEER_PORT: u16 = 8600;
/// Time in which a planned stop must end.
const STOP_LIMIT: Duration = Duration::from_secs(6);
/// Memory that a gateway may take, in kilobytes.
const MEMORY_MAX_KB: u64 = 256 * 1024;
/// Descriptors that a gateway may hold.
const DESCRIPTORS_MAX: usize = 1_000;

#[derive(Debug)]
pub struct Gateway {
    pub caller: SocketAddr,
    pub ready: SocketAddr,
    /// The way to the store.
    pub link: Proxy,
    /// Whether the balancer sends new connections.
    pub is_in_rotation: AtomicBool,
    pub log: PathBuf,
    name: String,
    settings: serde_json::Value,
    file: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Gateway {
    pub fn new(
        number: usize,
        count: usize,
        host: [u8; 4],
        store: SocketAddr,
        link: Proxy,
        folder: &Path,
    ) -> Self {
        let name = format!("gate-{number}");
        let address = |first| SocketAddr::from((host, port(first, number)));
        let seeds: Vec<String> = (0..count.min(3))
            .map(|seed| SocketAddr::from((host, port(PEER_PORT, seed))).to_string())
            .collect();
        let settings = serde_json::json!({
            "name": name, "data_centre": DATA_CENTRES[number % DATA_CENTRES.len()],
            "caller_address": address(CALLER_PORT), "ready_address": address(READY_PORT),
            "metrics_address": address(METRICS_PORT), "peer_address": address(PEER_PORT),
            "seeds": seeds, "store_address": store, "memory_limit_mb": 256,
            "stop_limit": "6s", "repeat_ratio": "0.2", "repeat_slack": "56",
            "repeat_window": "10s", "cold_factor": "1.5", "cold_slack": "5",
            "probes_per_s": "60",
        });
        Self {
            caller: address(CALLER_PORT),
            ready: address(READY_PORT),
            link,
            is_in_rotation: AtomicBool::new(false),
            log: folder.join(format!("{name}.log")),
            file: folder.join(format!("{name}.jsonc")),
            name,
            settings,
            child: Mutex::default(),
        }
    }

    /// Starts the process unless it runs.
    pub async fn start(&self, is_first_start: bool) {
        let mut child = self.child.lock().await;
        if child.is_some() {
            return;
        }
        let mut settings = self.settings.clone();
        settings["is_first_start"] = is_first_start.to_string().into();
        std::fs::write(&self.file, settings.to_string()).unwrap();
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .unwrap();
        let started = Command::new(env!("CARGO_BIN_EXE_chicorywing-gateway"))
            .arg("--settings")
            .arg(&self.file)
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log))
            .kill_on_drop(true)
            .spawn();
        *child = Some(started.unwrap());
    }

    pub async fn is_running(&self) -> bool {
        self.child.lock().await.is_some()
    }

    /// Writes other settings; they are read after a signal or by themselves.
    pub fn change_settings(&self, probes_per_s: u32) {
        let mut settings = self.settings.clone();
        settings["is_first_start"] = "false".into();
        settings["probes_per_s"] = probes_per_s.to_string().into();
        std::fs::write(&self.file, settings.to_string()).unwrap();
    }

    pub async fn signal(&self, signal: &str) {
        let child = self.child.lock().await;
        let Some(id) = child.as_ref().and_then(Child::id) else {
            return;
        };
        let status = Command::new("kill")
            .args([signal, &id.to_string()])
            .status()
            .await;
        assert!(status.is_ok(), "no signals can be sent");
    }

    /// Kills the process; an error if it had ended by itself.
    pub async fn kill(&self) -> Result<(), String> {
        // Held until the process is gone, so that none starts beside it.
        let mut held = self.child.lock().await;
        let Some(child) = held.as_mut() else {
            return Ok(());
        };
        let ended = child.try_wait().map_err(|error| error.to_string())?;
        let killed = child.kill().await.map_err(|error| error.to_string());
        *held = None;
        match ended {
            Some(status) => Err(format!("{} ended by itself: {status}", self.name)),
            None => killed,
        }
    }

    /// Stops the process as planned; an error if it does not end well in time.
    ///
    /// It may be killed meanwhile, but not started again before it has ended.
    pub async fn stop(&self) -> Result<(), String> {
        let id = self.child.lock().await.as_ref().and_then(Child::id);
        self.signal("-TERM").await;
        let began = Instant::now();
        loop {
            let mut held = self.child.lock().await;
            // Another stop of the same process may have seen its end.
            let Some(child) = held.as_mut().filter(|child| child.id() == id) else {
                return Ok(());
            };
            if let Some(status) = child.try_wait().map_err(|error| error.to_string())? {
                *held = None;
                let text = format!("{} stopped with {status}", self.name);
                return if status.success() { Ok(()) } else { Err(text) };
            }
            if began.elapsed() > STOP_LIMIT {
                // It is dropped, and so killed.
                *held = None;
                return Err(format!("{} did not stop within {STOP_LIMIT:?}", self.name));
            }
            drop(held);
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// What the process takes beyond its limits.
    pub async fn check_limits(&self) -> Option<String> {
        let child = self.child.lock().await;
        let id = child.as_ref().and_then(Child::id)?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let peak = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))?;
        let peak_kb: u64 = peak.trim().trim_end_matches(" kB").parse().ok()?;
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).ok()?.count();
        let is_over = peak_kb > MEMORY_MAX_KB || descriptors > DESCRIPTORS_MAX;
        is_over.then(|| format!("{}: {peak_kb} KB, {descriptors} descriptors", self.name))
    }

    pub fn set_in_rotation(&self, is_in_rotation: bool) {
        self.is_in_rotation.store(is_in_rotation, Ordering::Relaxed);
    }
}
