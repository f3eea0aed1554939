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
use crate::objects::{PAYING_KEY, object_set};
use crate::proxy::Proxy;

/// Time within which a condition must hold, a request must end and a stopped process must
/// exit.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

const LOG_PORT: u16 = 7001;
const LIST_PORT: u16 = 7002;
const LEDGER_PORT: u16 = 7003;
const UPSTREAM_PORT: u16 = 7100;
const PROXY_PORT: u16 = 7200;
const CALLER_PORT: u16 = 8000;
const PEER_PORT: u16 = 8100;
const ADMIN_PORT: u16 = 8200;

/// What a caller got; the outcome is `failed` if no complete answer arrived.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub outcome: String,
    pub reason: String,
    pub upstream: String,
    pub retry_after: Option<String>,
    pub body: String,
}

/// An upstream to start; with `has_proxy`, the list names its proxy's address.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamSpec {
    pub data_centre: &'static str,
    pub service_ms: u64,
    pub has_proxy: bool,
}

pub fn upstream(data_centre: &'static str) -> UpstreamSpec {
    UpstreamSpec {
        data_centre,
        service_ms: 5,
        has_proxy: false,
    }
}

pub struct TestEnv {
    pub client: Client,
    pub ledger: Ledger,
    pub proxies: BTreeMap<String, Proxy>,
    host: [u8; 4],
    folder: PathBuf,
    children: BTreeMap<String, Child>,
    upstreams: Vec<String>,
    entry_count: usize,
}

impl TestEnv {
    /// Starts the log, the list, the upstreams `up-0`, `up-1`, ... and the entries, in data
    /// centres a, b, c in turn, and publishes the objects of the tests.
    pub async fn start(entry_count: usize, upstreams: &[UpstreamSpec]) -> Self {
        let mut env = Self::new();
        env.start_platform().await;
        for (number, spec) in upstreams.iter().enumerate() {
            env.add_upstream(number, *spec).await;
        }
        env.publish(&object_set(None)).await;
        for number in 0..entry_count {
            env.add_entry(number).await;
        }
        env.entry_count = entry_count;
        env.wait_until_joined(entry_count).await;
        env
    }

    fn new() -> Self {
        static COUNT: AtomicU8 = AtomicU8::new(1);
        let [high, low, ..] = std::process::id().to_be_bytes()[2..] else {
            unreachable!("a process id has four bytes");
        };
        let host = [127, high | 1, low, COUNT.fetch_add(1, Ordering::Relaxed)];
        let name = format!("chicorywing-test-{}-{}", std::process::id(), host[3]);
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).unwrap();
        Self {
            client: new_client(),
            ledger: Ledger::default(),
            proxies: BTreeMap::new(),
            host,
            folder,
            children: BTreeMap::new(),
            upstreams: Vec::new(),
            entry_count: 0,
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
        let addresses =
            (0..self.entry_count).map(|entry| self.address(ADMIN_PORT, entry).to_string());
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
        let mut listed_address = address;
        if spec.has_proxy {
            listed_address = self.address(PROXY_PORT, number);
            let proxy = Proxy::start(listed_address, address).await;
            self.proxies.insert(name.clone(), proxy);
        }
        self.put_upstream(&name, spec.data_centre, listed_address, ListedState::Live)
            .await;
        self.upstreams.push(name);
    }

    pub async fn spawn_upstream(&mut self, number: usize, spec: UpstreamSpec) {
        let name = format!("up-{number}");
        let address = self.address(UPSTREAM_PORT, number).to_string();
        let ledger = self.address(LEDGER_PORT, 0).to_string();
        let service_ms = spec.service_ms.to_string();
        let args = [
            "upstream",
            "--name",
            &name,
            "--address",
            &address,
            "--service-ms",
            &service_ms,
            "--ledger",
            &ledger,
        ];
        self.spawn(&name, env!("CARGO_BIN_EXE_standin"), &args);
        self.wait_for_url(&format!("http://{address}/health")).await;
    }

    pub async fn put_upstream(
        &self,
        name: &str,
        data_centre: &str,
        address: SocketAddr,
        state: ListedState,
    ) {
        self.put_instance(ListedInstance {
            name: name.into(),
            role: Role::Upstream,
            service: Some("orders".into()),
            data_centre: data_centre.into(),
            address,
            state,
        })
        .await;
    }

    /// The address of an upstream in the list: that of its proxy if it has one.
    pub fn upstream_address(&self, number: usize) -> SocketAddr {
        let has_proxy = self.proxies.contains_key(&format!("up-{number}"));
        let port = if has_proxy { PROXY_PORT } else { UPSTREAM_PORT };
        self.address(port, number)
    }

    pub async fn mark_leaving(&self, number: usize, data_centre: &str) {
        let address = self.address(UPSTREAM_PORT, number);
        let name = format!("up-{number}");
        self.put_upstream(&name, data_centre, address, ListedState::Leaving)
            .await;
    }

    async fn put_instance(&self, instance: ListedInstance) {
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
        self.put_instance(ListedInstance {
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

    /// Waits until every running entry is ready and has `count` members in its view.
    pub async fn wait_until_joined(&self, count: usize) {
        for entry in 0..self.entry_count {
            if !self.children.contains_key(&format!("entry-{entry}")) {
                continue;
            }
            wait_until(
                &format!("entry {entry} is ready and sees {count} members"),
                || async {
                    let status = self.status(entry).await;
                    status.is_some_and(|status| status.is_ready && status.members.len() == count)
                },
            )
            .await;
        }
    }

    pub async fn status(&self, entry: usize) -> Option<Status> {
        let address = self.address(ADMIN_PORT, entry);
        let request = self.client.get(format!("http://{address}/status"));
        let response = request.timeout(Duration::from_secs(1)).send().await.ok()?;
        response.json().await.ok()
    }

    /// Returns the recent decisions of an entry, or none if it does not answer.
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

    /// Runs the operators' program `chicorywing`; returns its exit code and output.
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

    /// Sends a GET call without an idempotency key.
    pub async fn lookup(&self, entry: usize, path: &str) -> Reply {
        read_reply(self.request(Method::GET, entry, path).send().await).await
    }

    /// Builds a POST call with an idempotency key, which must run at most once.
    pub fn booking(&self, entry: usize, key: &str) -> RequestBuilder {
        self.request(Method::POST, entry, "/book")
            .header(headers::IDEMPOTENCY_KEY, key)
            .body(format!("booking {key}"))
    }

    pub async fn book(&self, entry: usize, key: &str) -> Reply {
        read_reply(self.booking(entry, key).send().await).await
    }

    /// Sets the faults of a stand-in, replacing earlier ones.
    pub async fn set_faults(&self, name: &str, faults: Value) {
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

    /// Stops a process with SIGTERM; returns whether it exits with code 0 in time.
    pub async fn stop(&mut self, name: &str) -> bool {
        self.signal(name, "-TERM").await;
        let mut child = self.children.remove(name).unwrap();
        let exit = tokio::time::timeout(WAIT_TIMEOUT, child.wait()).await;
        exit.is_ok_and(|status| status.is_ok_and(|status| status.success()))
    }

    /// Returns the entry that holds the pool of a data centre.
    pub async fn holder(&self, data_centre: &str) -> Option<usize> {
        for entry in 0..self.entry_count {
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

    /// Whether a process was started and neither killed nor stopped.
    pub fn is_running(&self, name: &str) -> bool {
        self.children.contains_key(name)
    }
}

impl Drop for TestEnv {
    fn drop(&mut self) {
        // Keeps the logs if the test failed or `KEEP_LOGS` is set.
        if !std::thread::panicking() && std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// The reply of a call without a complete answer.
pub fn failed_reply() -> Reply {
    Reply {
        status: 0,
        outcome: String::from("failed"),
        reason: String::new(),
        upstream: String::new(),
        retry_after: None,
        body: String::new(),
    }
}

pub async fn read_reply(sent: reqwest::Result<Response>) -> Reply {
    let mut reply = failed_reply();
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

/// Polls a condition until it holds.
///
/// # Panics
/// If it does not hold within `WAIT_TIMEOUT`.
pub async fn wait_until<F, Fut>(description: &str, mut condition: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(
            Instant::now() < deadline,
            "condition not met within {WAIT_TIMEOUT:?}: {description}"
        );
        sleep(Duration::from_millis(20)).await;
    }
}

fn new_client() -> Client {
    let builder = Client::builder().no_proxy().timeout(WAIT_TIMEOUT);
    builder.build().unwrap()
}
