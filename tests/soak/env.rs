//! The processes, stand-ins and records of one seed.

mod manifest;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::watch;
use tokio::time::Instant;

use crate::balancer;
use crate::crashing;
use crate::cuts;
use crate::gateway::Gateway;
use crate::ledger::Ledger;
use crate::limits;
use crate::owners::Owners;
use crate::proxy::{Proxy, ProxyMode};
use crate::slow_stops;
use crate::store::{Store, StoreMode};
use crate::upstream::{Fault, RunningUpstream, Said, UpstreamConfig};

/// Services of the upstreams.
pub const SERVICES: [&str; 2] = ["bins", "bookings"];
/// Data centres of gateways and upstreams.
pub const DATA_CENTRES: [&str; 2] = ["a", "b"];
/// Number of callers for which each service gets one more upstream in each data
/// centre. At this ratio the callers use less than half of the capacity.
const CALLERS_PER_EXTRA_UPSTREAM: usize = 10;
const STORE_PORT: u16 = 7000;
const CUT_STORE_PORT: u16 = 7001;
const SILENT_PORT: u16 = 7002;
const STORE_PROXY_PORT: u16 = 7100;
const UPSTREAM_PORT: u16 = 7300;
const UPSTREAM_PROXY_PORT: u16 = 7400;

/// Size of the test environment of a seed.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub gateways: usize,
    pub callers: usize,
    /// Length of the fault phase in seconds, and the number of faults drawn for it.
    pub fault_phase_s: u64,
}

impl Size {
    pub fn upstreams(&self) -> usize {
        let per_service_and_data_centre = 1 + self.callers.div_ceil(CALLERS_PER_EXTRA_UPSTREAM);
        SERVICES.len() * DATA_CENTRES.len() * per_service_and_data_centre
    }
}

/// Time during which faults may keep one gateway, or all (`None`), from meeting the
/// time bounds.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    pub gateway: Option<usize>,
    pub from_ms: u64,
    pub until_ms: u64,
    /// Whether it may close connections of callers and lose log lines.
    pub is_kill: bool,
}

/// A version of the configuration that the store accepted.
#[derive(Clone, Copy, Debug)]
pub struct Version {
    pub number: u64,
    pub accepted_ms: u64,
}

impl Version {
    /// Service of the route `move`, which changes with every version.
    pub fn moving_service(self) -> &'static str {
        SERVICES[usize::try_from(self.number % 2).unwrap()]
    }
}

/// Time during which a data centre is evacuated; `until_ms` is `u64::MAX` until it
/// ends.
#[derive(Clone, Copy, Debug)]
pub struct Evacuation {
    pub data_centre: &'static str,
    pub from_ms: u64,
    pub until_ms: u64,
}

#[derive(Debug)]
pub struct TestEnv {
    pub store: Arc<Store>,
    _silent: std::net::TcpListener,
    pub ledger: Ledger,
    pub gateways: Vec<Gateway>,
    pub upstreams: tokio::sync::Mutex<Vec<Option<RunningUpstream>>>,
    pub upstream_proxies: Vec<Proxy>,
    /// In plays that need to know gateways by their connections.
    pub owners: Option<Arc<Owners>>,
    /// Gateways that most callers use, in plays of [`slow_stops`]; all gateways if it is empty.
    pub focus: Mutex<Vec<usize>>,
    pub size: Size,
    pub seed: u64,
    started: Instant,
    host: [u8; 4],
    folder: PathBuf,
    started_upstreams: AtomicUsize,
    disturbances: Mutex<Vec<Disturbance>>,
    versions: Mutex<Vec<Version>>,
    evacuations: Mutex<Vec<Evacuation>>,
    violations: Mutex<Vec<String>>,
    stopping: watch::Sender<bool>,
}

impl TestEnv {
    pub async fn start(seed: u64, size: Size) -> Arc<Self> {
        static COUNT: AtomicU8 = AtomicU8::new(1);
        let [high, low, ..] = std::process::id().to_be_bytes()[2..] else {
            unreachable!("a process id has four bytes");
        };
        let host = [127, high | 128, low, COUNT.fetch_add(1, Ordering::Relaxed)];
        let folder =
            std::env::temp_dir().join(format!("chicorywing-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let store_address = SocketAddr::from((host, STORE_PORT));
        let cut = limits::cut_gateways(seed, size.gateways);
        let cut_address = SocketAddr::from((host, CUT_STORE_PORT));
        let cut_store = Store::start(cut_address, None).await;
        let mirror = (!cut.is_empty()).then(|| Arc::clone(&cut_store));
        let store = Store::start(store_address, mirror).await;
        // Accepts connections and never answers, like an instance behind a cut.
        let silent = std::net::TcpListener::bind(SocketAddr::from((host, SILENT_PORT))).unwrap();
        for number in 0..size.gateways {
            if cut.is_empty() {
                break;
            }
            let without_it = if cut.contains(&number) {
                &store
            } else {
                &cut_store
            };
            let entry = format!(
                "{} {}",
                silent.local_addr().unwrap(),
                DATA_CENTRES[number % DATA_CENTRES.len()]
            );
            without_it.put(
                "keyed.instances",
                &format!("instance/gate-{number}"),
                entry.as_bytes(),
            );
        }
        let mut gateways = Vec::new();
        for number in 0..size.gateways {
            let proxy_address = SocketAddr::from((host, port(STORE_PROXY_PORT, number)));
            let store_address = if cut.contains(&number) {
                cut_address
            } else {
                store_address
            };
            let proxy = Proxy::start(proxy_address, store_address, None).await;
            let mut gateway =
                Gateway::new(number, size.gateways, host, proxy_address, proxy, &folder);
            if cut.contains(&number) {
                gateway.set_seed(silent.local_addr().unwrap());
            }
            gateways.push(gateway);
        }
        let has_cuts = cuts::is_played(seed) || slow_stops::has_cuts(seed);
        let owners = has_cuts.then(|| Owners::of(&gateways));
        let mut upstream_proxies = Vec::new();
        for position in 0..size.upstreams() {
            let from = SocketAddr::from((host, port(UPSTREAM_PROXY_PORT, position)));
            let to = SocketAddr::from((host, port(UPSTREAM_PORT, position)));
            upstream_proxies.push(Proxy::start(from, to, owners.clone()).await);
        }
        let env = Arc::new(Self {
            store,
            _silent: silent,
            ledger: Ledger::default(),
            gateways,
            upstreams: tokio::sync::Mutex::default(),
            upstream_proxies,
            owners,
            focus: Mutex::default(),
            size,
            seed,
            started: Instant::now(),
            host,
            folder,
            started_upstreams: AtomicUsize::new(0),
            disturbances: Mutex::default(),
            versions: Mutex::default(),
            evacuations: Mutex::default(),
            violations: Mutex::default(),
            stopping: watch::Sender::new(false),
        });
        env.publish();
        for position in 0..size.upstreams() {
            let running =
                RunningUpstream::start(&env, env.new_upstream_config(position), false).await;
            env.upstreams.lock().await.push(Some(running));
        }
        for gateway in &env.gateways {
            gateway.start(true).await;
        }
        balancer::start(&env);
        balancer::wait_ready(&env).await;
        env
    }

    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap()
    }

    /// Configuration of a new upstream process at a position, with an id of its own.
    pub fn new_upstream_config(&self, position: usize) -> UpstreamConfig {
        let incarnation = self.started_upstreams.fetch_add(1, Ordering::Relaxed);
        let per_service = self.size.upstreams() / SERVICES.len();
        let address = SocketAddr::from((self.host, port(UPSTREAM_PORT, position)));
        let proxy_address = SocketAddr::from((self.host, port(UPSTREAM_PROXY_PORT, position)));
        let is_direct = crashing::is_played(self.seed);
        UpstreamConfig {
            id: format!("up-{position}-{incarnation}"),
            service: SERVICES[position / per_service],
            data_centre: DATA_CENTRES[position % DATA_CENTRES.len()],
            address,
            advertised_address: if is_direct { address } else { proxy_address },
        }
    }

    /// Writes the next version of the configuration to the store.
    pub fn publish(&self) {
        let mut versions = self.versions.lock().unwrap();
        let number = versions.last().map_or(2, |version| version.number + 1);
        let version = Version {
            number,
            accepted_ms: self.now_ms(),
        };
        versions.push(version);
        let manifest = manifest::of(version, self.seed).to_string();
        self.store.put("keyed.op", "config", manifest.as_bytes());
    }

    /// Writes what is in force again, as operators do after the store has lost records.
    pub fn write_again(&self) {
        if let Some(version) = self.versions().last() {
            let manifest = manifest::of(*version, self.seed).to_string();
            self.store.put("keyed.op", "config", manifest.as_bytes());
        }
        let evacuations = self.evacuations().clone();
        for data_centre in DATA_CENTRES {
            let mut own = evacuations
                .iter()
                .filter(|one| one.data_centre == data_centre);
            let is_out = own.any(|one| one.until_ms == u64::MAX);
            let value: &[u8] = if is_out { b"{}" } else { b"" };
            let key = format!("evacuate/{data_centre}");
            self.store.put("keyed.op", &key, value);
        }
    }

    pub fn versions(&self) -> Vec<Version> {
        self.versions.lock().unwrap().clone()
    }

    pub fn evacuate(&self, data_centre: &'static str) {
        let evacuation = Evacuation {
            data_centre,
            from_ms: self.now_ms(),
            until_ms: u64::MAX,
        };
        self.evacuations.lock().unwrap().push(evacuation);
        self.store
            .put("keyed.op", &format!("evacuate/{data_centre}"), b"{}");
    }

    pub fn end_evacuation(&self, data_centre: &'static str) {
        let now_ms = self.now_ms();
        for evacuation in self.evacuations.lock().unwrap().iter_mut() {
            if evacuation.data_centre == data_centre && evacuation.until_ms == u64::MAX {
                evacuation.until_ms = now_ms;
            }
        }
        self.store
            .put("keyed.op", &format!("evacuate/{data_centre}"), b"");
    }

    pub fn evacuations(&self) -> MutexGuard<'_, Vec<Evacuation>> {
        self.evacuations.lock().unwrap()
    }

    /// Records that a disturbance of one gateway, or of all (`None`), begins now.
    /// Returns its index for [`Self::end_disturbance`].
    pub fn begin_disturbance(&self, gateway: Option<usize>, is_kill: bool) -> usize {
        let mut disturbances = self.disturbances.lock().unwrap();
        disturbances.push(Disturbance {
            gateway,
            from_ms: self.now_ms(),
            until_ms: u64::MAX,
            is_kill,
        });
        disturbances.len() - 1
    }

    pub fn end_disturbance(&self, index: usize) {
        self.disturbances.lock().unwrap()[index].until_ms = self.now_ms();
    }

    pub fn disturbances(&self) -> Vec<Disturbance> {
        self.disturbances.lock().unwrap().clone()
    }

    pub fn record_violation(&self, what: String) {
        self.violations.lock().unwrap().push(what);
    }

    pub fn violations(&self) -> Vec<String> {
        self.violations.lock().unwrap().clone()
    }

    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    pub fn stop_callers(&self) {
        self.stopping.send_replace(true);
    }

    /// Ends all faults and starts the gateways and upstreams that are down.
    pub async fn end_faults(self: &Arc<Self>) {
        self.store.set_mode(StoreMode::Healthy);
        for proxy in &self.upstream_proxies {
            proxy.set_mode(ProxyMode::Pass);
        }
        for gateway in &self.gateways {
            gateway.store_proxy.set_mode(ProxyMode::Pass);
            gateway.upstream_link.set_mode(ProxyMode::Pass);
            gateway.signal("-CONT").await;
            if !gateway.is_running().await {
                gateway.start(false).await;
            }
        }
        for data_centre in DATA_CENTRES {
            self.end_evacuation(data_centre);
        }
        for running in self.upstreams.lock().await.iter().flatten() {
            running.upstream.name_limit(self, None);
            running.upstream.say(Said::default());
        }
        for (position, slot) in self.upstreams.lock().await.iter_mut().enumerate() {
            match slot {
                Some(running) => running.upstream.set_fault(Fault::None),
                None => {
                    *slot = Some(
                        RunningUpstream::start(self, self.new_upstream_config(position), true)
                            .await,
                    );
                }
            }
        }
    }

    /// Stops all gateways with SIGTERM. Returns those that exceeded a resource limit
    /// or failed to stop.
    pub async fn stop_gateways(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for gateway in &self.gateways {
            violations.extend(gateway.check_limits().await);
        }
        let stops = self.gateways.iter().map(Gateway::stop);
        for stopped in futures::future::join_all(stops).await {
            violations.extend(stopped.err());
        }
        violations
    }

    /// Removes the logs, unless the seed failed: then prints their folder.
    pub fn keep_or_remove_logs(&self, has_failed: bool) {
        if has_failed {
            println!("seed {}: logs in {}", self.seed, self.folder.display());
            return;
        }
        if let Err(error) = std::fs::remove_dir_all(&self.folder) {
            println!("could not remove {}: {error}", self.folder.display());
        }
    }
}

pub fn port(first: u16, number: usize) -> u16 {
    first + u16::try_from(number).unwrap()
}
