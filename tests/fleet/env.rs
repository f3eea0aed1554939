//! A small deployment of real processes for one test.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use chicorywing::connection::list::{ListedInstance, ListedState, Role};
use chicorywing::process::admin::Status;
use chicorywing::process::decisions::DecisionRecord;
use chicorywing::request::headers;
use reqwest::{Client, Method, RequestBuilder, Response};
use serde_json::{Value, json};
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep};

use crate::ledger::Ledger;
use crate::objects::{PAYING_KEY, set};
use crate::relay::Relay;

/// Time in which a condition of a test must come true.
pub const LIMIT: Duration = Duration::from_secs(20);

const LOG_PORT: u16 = 7001;
const LIST_PORT: u16 = 7002;
const LEDGER_PORT: u16 = 7003;
const UPSTREAM_PORT: u16 = 7100;
const RELAY_PORT: u16 = 7200;
const CALLER_PORT: u16 = 8000;
const PEER_PORT: u16 = 8100;
const ADMIN_PORT: u16 = 8200;

/// What a caller got.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub outcome: String,
    pub reason: String,
    pub upstream: String,
    pub retry_after: Option<String>,
    pub body: String,
}

/// One upstream of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamSpec {
    pub data_centre: &'static str,
    pub service_ms: u64,
    pub has_relay: bool,
}

pub fn upstream(data_centre: &'static str) -> UpstreamSpec {
    UpstreamSpec {
        data_centre,
        service_ms: 5,
        has_relay: false,
    }
}

pub struct TestEnv {
    pub client: Client,
    pub ledger: Ledger,
    pub relays: BTreeMap<String, Relay>,
    host: [u8; 4],
    folder: PathBuf,
    children: BTreeMap<String, Child>,
    upstreams: Vec<String>,
    entries: usize,
}

impl TestEnv {
    /// Starts log, list, `entries` in data centres a, b, c in turn and the
    /// upstreams `up-0`, `up-1`, ... and publishes the set of the tests.
    pub async fn start(entries: usize, upstreams: &[UpstreamSpec]) -> Self {
        let mut env = Self::bare();
        env.start_platform().await;
        for (number, spec) in upstreams.iter().enumerate() {
            env.add_upstream(number, *spec).await;
        }
        env.publish(&set(None)).await;
        for number in 0..entries {
            env.add_entry(number).await;
        }
        env.entries = entries;
        env.wait_joined(entries).await;
        env
    }

    fn bare() -> Self {
        static COUNT: AtomicU8 = AtomicU8::new(1);
        let [high, low, ..] = std::process::id().to_be_bytes()[2..] else {
            unreachable!("an id has four bytes");
        };
        let host = [127, high | 1, low, COUNT.fetch_add(1, Ordering::Relaxed)];
        let name = format!("chicorywing-test-{}-{}", std::process::id(), host[3]);
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).unwrap();
        Self {
            client: new_client(),
            ledger: Ledger::default(),
            relays: BTreeMap::new(),
            host,
            folder,
            children: BTreeMap::new(),
            upstreams: Vec::new(),
            entries: 0,
        }
    }

    pub fn address(&self, port: u16, number: usize) -> SocketAddr {
        SocketAddr::from((self.host, port + u16::try_from(number).unwrap()))
    }

    pub fn caller_address(&self, entry: usize) -> SocketAddr {
        self.address(CALLER_PORT, entry)
    }

    pub fn log_url(&self) -> String {
        format!("http://{}", self.address(LOG_PORT, 0))
    }

    pub fn admin_addresses(&self) -> String {
        let addresses = (0..self.entries).map(|entry| self.address(ADMIN_PORT, entry).to_string());
        addresses.collect::<Vec<_>>().join(",")
    }

    pub async fn start_platform(&mut self) {
        let log = self.address(LOG_PORT, 0).to_string();
        let list = self.address(LIST_PORT, 0).to_string();
        self.ledger.serve(self.address(LEDGER_PORT, 0)).await;
        self.spawn(
            "log",
            env!("CARGO_BIN_EXE_standin"),
            &["log", "--address", &log],
        );
        self.spawn(
            "list",
            env!("CARGO_BIN_EXE_standin"),
            &["list", "--address", &list],
        );
        self.wait_for_url(&format!("http://{log}/health")).await;
        self.wait_for_url(&format!("http://{list}/instances")).await;
    }

    pub async fn add_upstream(&mut self, number: usize, spec: UpstreamSpec) {
        let name = format!("up-{number}");
        let address = self.address(UPSTREAM_PORT, number);
        self.spawn_upstream(number, spec).await;
        let mut listed = address;
        if spec.has_relay {
            listed = self.address(RELAY_PORT, number);
            let relay = Relay::start(listed, address).await;
            self.relays.insert(name.clone(), relay);
        }
        self.list_upstream(&name, spec.data_centre, listed, ListedState::Live)
            .await;
        self.upstreams.push(name);
    }

    pub async fn spawn_upstream(&mut self, number: usize, spec: UpstreamSpec) {
        let name = format!("up-{number}");
        let address = self.address(UPSTREAM_PORT, number).to_string();
        let ledger = self.address(LEDGER_PORT, 0).to_string();
        let time = spec.service_ms.to_string();
        let args = [
            "upstream",
            "--name",
            &name,
            "--address",
            &address,
            "--service-ms",
            &time,
            "--ledger",
            &ledger,
        ];
        self.spawn(&name, env!("CARGO_BIN_EXE_standin"), &args);
        self.wait_for_url(&format!("http://{address}/health")).await;
    }

    pub async fn list_upstream(
        &self,
        name: &str,
        data_centre: &str,
        address: SocketAddr,
        state: ListedState,
    ) {
        self.put_listed(ListedInstance {
            name: name.into(),
            role: Role::Upstream,
            service: Some("orders".into()),
            data_centre: data_centre.into(),
            address,
            state,
        })
        .await;
    }

    /// Where the list says that an upstream listens.
    pub fn upstream_address(&self, number: usize) -> SocketAddr {
        let has_relay = self.relays.contains_key(&format!("up-{number}"));
        let port = if has_relay { RELAY_PORT } else { UPSTREAM_PORT };
        self.address(port, number)
    }

    pub async fn mark_leaving(&self, number: usize, data_centre: &str) {
        let address = self.address(UPSTREAM_PORT, number);
        let name = format!("up-{number}");
        self.list_upstream(&name, data_centre, address, ListedState::Leaving)
            .await;
    }

    async fn put_listed(&self, instance: ListedInstance) {
        let list = self.address(LIST_PORT, 0);
        let url = format!("http://{list}/instances/{}", instance.name);
        self.client.put(url).json(&instance).send().await.unwrap();
    }

    pub async fn add_entry(&mut self, number: usize) {
        let name = format!("entry-{number}");
        let data_centre = ["a", "b", "c"][number % 3];
        let settings = json!({
            "name": name,
            "data_centre": data_centre,
            "caller_address": self.address(CALLER_PORT, number),
            "peer_address": self.address(PEER_PORT, number),
            "admin_address": self.address(ADMIN_PORT, number),
            "log_url": self.log_url(),
            "list_url": format!("http://{}", self.address(LIST_PORT, 0)),
            "context_secret": "a-secret-of-the-tests",
        });
        let file = self.folder.join(format!("{name}.jsonc"));
        std::fs::write(&file, settings.to_string()).unwrap();
        let file = file.display().to_string();
        self.spawn(
            &name,
            env!("CARGO_BIN_EXE_chicorywingd"),
            &["--settings", &file],
        );
        self.put_listed(ListedInstance {
            name: name.as_str().into(),
            role: Role::Entry,
            service: None,
            data_centre: data_centre.into(),
            address: self.address(PEER_PORT, number),
            state: ListedState::Live,
        })
        .await;
    }

    fn spawn(&mut self, name: &str, program: &str, args: &[&str]) {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .unwrap();
        let child = Command::new(program)
            .args(args)
            .stderr(Stdio::from(log))
            .stdout(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        self.children.insert(name.to_owned(), child);
    }

    /// Waits until every entry sees `count` instances and is ready.
    pub async fn wait_joined(&self, count: usize) {
        for entry in 0..self.entries {
            if !self.children.contains_key(&format!("entry-{entry}")) {
                continue;
            }
            wait_until(&format!("entry {entry} sees {count} instances"), || async {
                let status = self.status(entry).await;
                status.is_some_and(|status| status.is_ready && status.members.len() == count)
            })
            .await;
        }
    }

    pub async fn status(&self, entry: usize) -> Option<Status> {
        let address = self.address(ADMIN_PORT, entry);
        let request = self.client.get(format!("http://{address}/status"));
        let response = request.timeout(Duration::from_secs(1)).send().await.ok()?;
        response.json().await.ok()
    }

    /// The decisions that an entry remembers; none if it does not answer.
    pub async fn decisions(&self, entry: usize) -> Vec<DecisionRecord> {
        let address = self.address(ADMIN_PORT, entry);
        let request = self.client.get(format!("http://{address}/decisions"));
        let Ok(response) = request.timeout(Duration::from_secs(1)).send().await else {
            return Vec::new();
        };
        response.json().await.unwrap_or_default()
    }

    pub async fn is_ready(&self, entry: usize) -> bool {
        let url = format!("http://{}/health/ready", self.caller_address(entry));
        let request = self.client.get(url).timeout(Duration::from_secs(1));
        request
            .send()
            .await
            .is_ok_and(|answer| answer.status().is_success())
    }

    async fn wait_for_url(&self, url: &str) {
        wait_until(url, || async {
            let answer = self.client.get(url).send().await;
            answer.is_ok_and(|answer| answer.status().is_success())
        })
        .await;
    }

    pub async fn publish(&self, text: &str) {
        let file = self.folder.join("objects.jsonc");
        std::fs::write(&file, text).unwrap();
        let file = file.display().to_string();
        let (code, output) = self
            .cli(&["publish", &file, "--log", &self.log_url()])
            .await;
        assert_eq!(code, 0, "{output}");
    }

    /// Runs the operators' program; returns its exit code and output.
    pub async fn cli(&self, args: &[&str]) -> (i32, String) {
        let output = Command::new(env!("CARGO_BIN_EXE_chicorywing"))
            .args(args)
            .output()
            .await
            .unwrap();
        let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
        text.push_str(&String::from_utf8_lossy(&output.stderr));
        (output.status.code().unwrap_or(-1), text)
    }

    pub fn request(&self, method: Method, entry: usize, path: &str) -> RequestBuilder {
        let url = format!("http://{}/call/orders{path}", self.caller_address(entry));
        self.client
            .request(method, url)
            .bearer_auth(PAYING_KEY)
            .header(headers::TIMEOUT_MS, 5_000)
            .timeout(Duration::from_secs(15))
    }

    pub async fn lookup(&self, entry: usize, path: &str) -> Reply {
        read(self.request(Method::GET, entry, path).send().await).await
    }

    pub fn booking(&self, entry: usize, key: &str) -> RequestBuilder {
        self.request(Method::POST, entry, "/book")
            .header(headers::IDEMPOTENCY_KEY, key)
            .body(format!("booking {key}"))
    }

    pub async fn book(&self, entry: usize, key: &str) -> Reply {
        read(self.booking(entry, key).send().await).await
    }

    /// Tells a stand-in what to do wrong.
    pub async fn control(&self, name: &str, faults: Value) {
        let address = match name {
            "log" => self.address(LOG_PORT, 0),
            "list" => self.address(LIST_PORT, 0),
            other => {
                let number = other.trim_start_matches("up-").parse().unwrap();
                self.address(UPSTREAM_PORT, number)
            }
        };
        let url = format!("http://{address}/control");
        self.client.post(url).json(&faults).send().await.unwrap();
    }

    pub async fn kill(&mut self, name: &str) {
        let mut child = self.children.remove(name).unwrap();
        child.kill().await.unwrap();
    }

    pub async fn signal(&self, name: &str, signal: &str) {
        let id = self.children[name].id().unwrap().to_string();
        let status = Command::new("kill").args([signal, &id]).status().await;
        assert!(status.unwrap().success());
    }

    pub async fn freeze(&self, name: &str) {
        self.signal(name, "-STOP").await;
    }

    pub async fn resume(&self, name: &str) {
        self.signal(name, "-CONT").await;
    }

    /// Ends a process by a planned stop and returns whether it ended well.
    pub async fn stop(&mut self, name: &str) -> bool {
        self.signal(name, "-TERM").await;
        let mut child = self.children.remove(name).unwrap();
        let ended = tokio::time::timeout(LIMIT, child.wait()).await;
        ended.is_ok_and(|status| status.is_ok_and(|status| status.success()))
    }

    /// The entry that holds the pool of a data centre.
    pub async fn holder(&self, data_centre: &str) -> Option<usize> {
        for entry in 0..self.entries {
            let Some(status) = self.status(entry).await else {
                continue;
            };
            let is_held =
                |pool: &chicorywing::process::admin::PoolStatus| &*pool.data_centre == data_centre;
            if status.pools.iter().any(is_held) {
                return Some(entry);
            }
        }
        None
    }

    /// Whether a process has neither been killed nor stopped.
    pub fn is_running(&self, name: &str) -> bool {
        self.children.contains_key(name)
    }
}

impl Drop for TestEnv {
    fn drop(&mut self) {
        // Logs stay where a test failed.
        if !std::thread::panicking() && std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// The reply of a call whose caller is gone.
pub fn read_nothing() -> Reply {
    Reply {
        status: 0,
        outcome: String::from("failed"),
        reason: String::new(),
        upstream: String::new(),
        retry_after: None,
        body: String::new(),
    }
}

pub async fn read(sent: reqwest::Result<Response>) -> Reply {
    let mut reply = read_nothing();
    let Ok(response) = sent else {
        return reply;
    };
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    reply.status = response.status().as_u16();
    let outcome = header(headers::OUTCOME).unwrap_or_default();
    reply.reason = header(headers::REASON).unwrap_or_default();
    reply.upstream = header(headers::UPSTREAM).unwrap_or_default();
    reply.retry_after = header("retry-after");
    if let Ok(body) = response.text().await {
        reply.outcome = outcome;
        reply.body = body;
    }
    reply
}

/// Waits until a condition holds.
pub async fn wait_until<F, Fut>(what: &str, mut condition: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let until = Instant::now() + LIMIT;
    while !condition().await {
        assert!(Instant::now() < until, "not within {LIMIT:?}: {what}");
        sleep(Duration::from_millis(20)).await;
    }
}

fn new_client() -> Client {
    let builder = Client::builder().no_proxy().timeout(LIMIT);
    builder.build().unwrap()
}
