//! Everything that one seed plays with.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::watch;
use tokio::time::Instant;

use crate::balancer;
use crate::fleet::Gateway;
use crate::ledger::Ledger;
use crate::proxy::{Mode as Link, Proxy};
use crate::store::{Mode, Store};
use crate::upstream::{Fault, Place, Running};

/// Services of the upstreams.
pub const SERVICES: [&str; 2] = ["bins", "bookings"];
/// Data centres of gateways and upstreams.
pub const DATA_CENTRES: [&str; 2] = ["a", "b"];
/// Callers for whom one more upstream of each service stands in each data
/// centre; they take less than half of what the upstreams bear.
const CALLERS_EACH: usize = 10;
const STORE_PORT: u16 = 7000;
const STORE_PROXY_PORT: u16 = 7100;
const UPSTREAM_PORT: u16 = 7300;
const UPSTREAM_PROXY_PORT: u16 = 7400;

/// How large a seed is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub gateways: usize,
    pub callers: usize,
    pub faults_s: u64,
}

impl Size {
    /// Number of upstreams.
    pub fn upstreams(&self) -> usize {
        let each = 1 + self.callers.div_ceil(CALLERS_EACH);
        SERVICES.len() * DATA_CENTRES.len() * each
    }
}

/// Time in which a gateway, or all of them, may be out of touch.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    pub gateway: Option<usize>,
    pub from_ms: u64,
    pub until_ms: u64,
    /// Whether it ends connections of callers or loses lines.
    pub is_kill: bool,
}

/// An accepted version.
#[derive(Clone, Copy, Debug)]
pub struct Version {
    pub number: u64,
    pub accepted_ms: u64,
}

impl Version {
    /// Where requests of the moving route go.
    pub fn moving_service(self) -> &'static str {
        SERVICES[usize::try_from(self.number % 2).unwrap()]
    }
}

/// Time for which a data centre is out.
#[derive(Clone, Copy, Debug)]
pub struct Out {
    pub data_centre: &'static str,
    pub from_ms: u64,
    pub until_ms: u64,
}

#[derive(Debug)]
pub struct World {
    pub store: Arc<Store>,
    pub ledger: Ledger,
    pub gateways: Vec<Gateway>,
    pub upstreams: tokio::sync::Mutex<Vec<Option<Running>>>,
    pub links: Vec<Proxy>,
    pub size: Size,
    seed: u64,
    started: Instant,
    host: [u8; 4],
    folder: PathBuf,
    lives: AtomicUsize,
    disturbances: Mutex<Vec<Disturbance>>,
    versions: Mutex<Vec<Version>>,
    outs: Mutex<Vec<Out>>,
    broken: Mutex<Vec<String>>,
    stopping: watch::Sender<bool>,
}

impl World {
    pub async fn start(seed: u64, size: Size) -> Arc<Self> {
        static COUNT: AtomicU8 = AtomicU8::new(1);
        let [high, low, ..] = std::process::id().to_be_bytes()[2..] else {
            unreachable!("an id has four bytes");
        };
        let host = [127, high | 128, low, COUNT.fetch_add(1, Ordering::Relaxed)];
        let folder =
            std::env::temp_dir().join(format!("chicorywing-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let store_address = SocketAddr::from((host, STORE_PORT));
        let store = Store::start(store_address).await;
        let mut gateways = Vec::new();
        for number in 0..size.gateways {
            let link = SocketAddr::from((host, port(STORE_PROXY_PORT, number)));
            let proxy = Proxy::start(link, store_address).await;
            gateways.push(Gateway::new(
                number,
                size.gateways,
                host,
                link,
                proxy,
                &folder,
            ));
        }
        let mut links = Vec::new();
        for position in 0..size.upstreams() {
            let from = SocketAddr::from((host, port(UPSTREAM_PROXY_PORT, position)));
            let to = SocketAddr::from((host, port(UPSTREAM_PORT, position)));
            links.push(Proxy::start(from, to).await);
        }
        let world = Arc::new(Self {
            store,
            ledger: Ledger::default(),
            gateways,
            upstreams: tokio::sync::Mutex::default(),
            links,
            size,
            seed,
            started: Instant::now(),
            host,
            folder,
            lives: AtomicUsize::new(0),
            disturbances: Mutex::default(),
            versions: Mutex::default(),
            outs: Mutex::default(),
            broken: Mutex::default(),
            stopping: watch::Sender::new(false),
        });
        world.publish();
        for position in 0..size.upstreams() {
            let running = Running::start(&world, world.place(position), false).await;
            world.upstreams.lock().await.push(Some(running));
        }
        for gateway in &world.gateways {
            gateway.start(true).await;
        }
        balancer::start(&world);
        balancer::wait_ready(&world).await;
        world
    }

    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap()
    }

    /// A new upstream in a position.
    pub fn place(&self, position: usize) -> Place {
        let life = self.lives.fetch_add(1, Ordering::Relaxed);
        let each = self.size.upstreams() / SERVICES.len();
        Place {
            id: format!("up-{position}-{life}"),
            service: SERVICES[position / each],
            data_centre: DATA_CENTRES[position % DATA_CENTRES.len()],
            address: SocketAddr::from((self.host, port(UPSTREAM_PORT, position))),
            listed: SocketAddr::from((self.host, port(UPSTREAM_PROXY_PORT, position))),
        }
    }

    /// Publishes the next version.
    pub fn publish(&self) {
        let mut versions = self.versions.lock().unwrap();
        let number = versions.last().map_or(2, |version| version.number + 1);
        let version = Version {
            number,
            accepted_ms: self.now_ms(),
        };
        versions.push(version);
        let manifest = manifest(version).to_string();
        self.store.put("keyed.op", "config", manifest.as_bytes());
    }

    pub fn versions(&self) -> Vec<Version> {
        self.versions.lock().unwrap().clone()
    }

    /// Takes a data centre out.
    pub fn take_out(&self, data_centre: &'static str) {
        let out = Out {
            data_centre,
            from_ms: self.now_ms(),
            until_ms: u64::MAX,
        };
        self.outs.lock().unwrap().push(out);
        self.store
            .put("keyed.op", &format!("evacuate/{data_centre}"), b"{}");
    }

    /// Brings a data centre back.
    pub fn bring_back(&self, data_centre: &'static str) {
        let now_ms = self.now_ms();
        for out in self.outs.lock().unwrap().iter_mut() {
            if out.data_centre == data_centre && out.until_ms == u64::MAX {
                out.until_ms = now_ms;
            }
        }
        self.store
            .put("keyed.op", &format!("evacuate/{data_centre}"), b"");
    }

    pub fn outs(&self) -> MutexGuard<'_, Vec<Out>> {
        self.outs.lock().unwrap()
    }

    /// Notes that a gateway, or all, may be out of touch from now on.
    pub fn disturb(&self, gateway: Option<usize>, is_kill: bool) -> usize {
        let mut disturbances = self.disturbances.lock().unwrap();
        disturbances.push(Disturbance {
            gateway,
            from_ms: self.now_ms(),
            until_ms: u64::MAX,
            is_kill,
        });
        disturbances.len() - 1
    }

    /// Notes the end of a disturbance.
    pub fn calm(&self, number: usize) {
        self.disturbances.lock().unwrap()[number].until_ms = self.now_ms();
    }

    pub fn disturbances(&self) -> Vec<Disturbance> {
        self.disturbances.lock().unwrap().clone()
    }

    /// Notes a broken promise.
    pub fn violate(&self, what: String) {
        self.broken.lock().unwrap().push(what);
    }

    pub fn broken(&self) -> Vec<String> {
        self.broken.lock().unwrap().clone()
    }

    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    pub fn stop_callers(&self) {
        self.stopping.send_replace(true);
    }

    /// Ends all faults.
    pub async fn heal(self: &Arc<Self>) {
        self.store.set(Mode::Well);
        for link in &self.links {
            link.set(Link::Pass);
        }
        for gateway in &self.gateways {
            gateway.link.set(Link::Pass);
            gateway.signal("-CONT").await;
            if !gateway.is_running().await {
                gateway.start(false).await;
            }
        }
        for data_centre in DATA_CENTRES {
            self.bring_back(data_centre);
        }
        for (position, slot) in self.upstreams.lock().await.iter_mut().enumerate() {
            match slot {
                Some(running) => running.upstream.set(Fault::None),
                None => *slot = Some(Running::start(self, self.place(position), true).await),
            }
        }
    }

    /// Stops all gateways as planned; returns what they broke.
    pub async fn stop_fleet(&self) -> Vec<String> {
        let mut broken = Vec::new();
        for gateway in &self.gateways {
            broken.extend(gateway.check_limits().await);
        }
        let stops = self.gateways.iter().map(Gateway::stop);
        for stopped in futures::future::join_all(stops).await {
            broken.extend(stopped.err());
        }
        broken
    }

    /// Keeps the logs of a seed that failed, and names their folder.
    pub fn keep_logs(&self, is_wanted: bool) {
        if is_wanted {
            println!("seed {}: logs in {}", self.seed, self.folder.display());
            return;
        }
        if let Err(error) = std::fs::remove_dir_all(&self.folder) {
            println!("{}: {error}", self.folder.display());
        }
    }
}

pub fn port(first: u16, number: usize) -> u16 {
    first + u16::try_from(number).unwrap()
}

fn manifest(version: Version) -> serde_json::Value {
    let [bins, bookings] = SERVICES;
    let mut routes = serde_json::Map::new();
    let mut add = |name: &str, kind: &str, service: &str, attempts: u32| {
        let route = serde_json::json!({
            "host": "soak.test", "path-prefix": format!("/{name}/"), "kind": kind,
            "timeout": "1500ms", "target-latency": "400ms", "priority": 1,
            "service": service, "attempts": attempts,
        });
        routes.insert(name.to_owned(), route);
    };
    add("look", "safe", bins, 3);
    add("book", "unsafe", bookings, 2);
    add("move", "safe", version.moving_service(), 3);
    for number in 3..=version.number {
        add(&format!("new-{number}"), "safe", bins, 3);
    }
    let service = serde_json::json!({
        "health-path": "/healthz", "max-conns": 220, "protocol": "h1", "tls": false,
        "warmup": "3s", "warmup-per-s": 4,
    });
    serde_json::json!({
        "version": version.number, "routes": routes, "base-rev": 0,
        "services": { bins: service, bookings: service },
        "limits": {
            "max-header-bytes": 16384, "max-body-bytes": 65536,
            "header-timeout": "3000ms", "idle-timeout": "15s",
        },
    })
}
