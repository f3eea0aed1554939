//! Starts a small deployment with stand-ins and makes two example calls.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use argh::FromArgs;
use chicorywing::connection::list::{ListedInstance, ListedState, Role};
use reqwest::{Client, Method};
use serde_json::json;
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep};

/// Timeout for each process to become healthy.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for an entry instance to exit after SIGTERM, before it is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between health checks.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Services of the example objects and their service time in milliseconds.
const SERVICES: [(&str, u64); 3] = [("bin-status", 5), ("settlements", 20), ("pickups", 8)];
/// Data centres of the example objects.
const DATA_CENTRES: [&str; 3] = ["akl-1", "akl-2", "akl-3"];

/// start entry instances, upstreams, log and list, and make two example calls
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "trial")]
pub struct TrialArgs {
    /// file of objects to publish
    #[argh(option, default = "PathBuf::from(\"examples/kowhai.jsonc\")")]
    objects: PathBuf,
    /// number of entry instances
    #[argh(option, default = "3")]
    entries: u16,
    /// first port to use; the others are up to 300 + entries above it
    #[argh(option, default = "7001")]
    port: u16,
    /// stop the deployment after the two calls
    #[argh(switch)]
    once: bool,
}

struct Deployment {
    port: u16,
    directory: PathBuf,
    entries: Vec<Child>,
    standins: Vec<Child>,
    client: Client,
}

/// Runs the deployment until ctrl-c, or with `--once` until the calls are done.
pub async fn run(args: &TrialArgs) -> std::io::Result<()> {
    let directory = std::env::temp_dir().join(format!("chicorywing-trial-{}", std::process::id()));
    std::fs::create_dir_all(&directory)?;
    let mut deployment = Deployment {
        port: args.port,
        directory,
        entries: Vec::new(),
        standins: Vec::new(),
        client: Client::builder()
            .no_proxy()
            .build()
            .map_err(std::io::Error::other)?,
    };
    deployment.start_platform().await?;
    deployment.start_upstreams().await?;
    deployment.start_entries(args.entries).await?;
    deployment.publish(&args.objects).await?;
    deployment.wait_ready(args.entries).await?;
    deployment.make_example_calls().await?;
    if !args.once {
        println!("\nThe deployment is running; press ctrl-c to stop it.");
        deployment.print_hints(args.entries);
        tokio::signal::ctrl_c().await?;
    }
    deployment.stop().await
}

impl Deployment {
    fn address(&self, offset: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], self.port + offset))
    }

    fn url(&self, offset: u16) -> String {
        format!("http://{}", self.address(offset))
    }

    async fn start_platform(&mut self) -> std::io::Result<()> {
        let log = self.address(0).to_string();
        let list = self.address(1).to_string();
        self.standins
            .push(spawn("standin", &["log", "--address", &log])?);
        self.standins
            .push(spawn("standin", &["list", "--address", &list])?);
        let health = format!("{}/health", self.url(0));
        let instances = format!("{}/instances", self.url(1));
        self.wait_until_healthy(&health).await?;
        self.wait_until_healthy(&instances).await
    }

    async fn start_upstreams(&mut self) -> std::io::Result<()> {
        let mut offset = 10;
        for (service, service_ms) in SERVICES {
            for data_centre in DATA_CENTRES {
                let name = format!("{service}-{data_centre}");
                let address = self.address(offset);
                let address_text = address.to_string();
                let service_ms = service_ms.to_string();
                let child = spawn(
                    "standin",
                    &[
                        "upstream",
                        "--name",
                        &name,
                        "--address",
                        &address_text,
                        "--service-ms",
                        &service_ms,
                    ],
                )?;
                self.standins.push(child);
                let health = format!("http://{address}/health");
                self.wait_until_healthy(&health).await?;
                self.register(&name, Role::Upstream, Some(service), data_centre, address)
                    .await?;
                offset += 1;
            }
        }
        Ok(())
    }

    async fn start_entries(&mut self, count: u16) -> std::io::Result<()> {
        for number in 0..count {
            let data_centre = DATA_CENTRES[usize::from(number) % DATA_CENTRES.len()];
            let name = format!("entry-{}", number + 1);
            let settings = json!({
                "name": name,
                "data_centre": data_centre,
                "caller_address": self.address(100 + number),
                "peer_address": self.address(200 + number),
                "admin_address": self.address(300 + number),
                "log_url": self.url(0),
                "list_url": self.url(1),
                "context_secret": "only-for-this-trial",
            });
            let file = self.directory.join(format!("{name}.jsonc"));
            std::fs::write(&file, settings.to_string())?;
            let log = std::fs::File::create(self.directory.join(format!("{name}.log")))?;
            let child = Command::new(sibling_program("chicorywingd")?)
                .arg("--settings")
                .arg(&file)
                .stderr(Stdio::from(log))
                .process_group(0)
                .kill_on_drop(true)
                .spawn()?;
            self.entries.push(child);
            let address = self.address(200 + number);
            self.register(&name, Role::Entry, None, data_centre, address)
                .await?;
        }
        Ok(())
    }

    async fn publish(&self, objects: &Path) -> std::io::Result<()> {
        let status = Command::new(sibling_program("chicorywing")?)
            .arg("publish")
            .arg(objects)
            .args(["--log", &self.url(0), "--author", "trial"])
            .status()
            .await?;
        if status.success() {
            return Ok(());
        }
        Err(std::io::Error::other(
            "publishing the objects failed; see the error above",
        ))
    }

    async fn wait_ready(&self, count: u16) -> std::io::Result<()> {
        for number in 0..count {
            let health = format!("{}/health/ready", self.url(100 + number));
            self.wait_until_healthy(&health).await?;
        }
        Ok(())
    }

    async fn make_example_calls(&self) -> std::io::Result<()> {
        let lookup = format!("{}/call/bin-status/bins/17", self.url(100));
        self.call(Method::GET, &lookup, None, "").await?;
        let booking = format!("{}/call/pickups/bookings", self.url(101));
        let body = "{\"bin\": 17, \"day\": \"Friday\"}";
        self.call(Method::POST, &booking, Some("booking-17-friday"), body)
            .await
    }

    async fn call(
        &self,
        method: Method,
        url: &str,
        key: Option<&str>,
        body: &'static str,
    ) -> std::io::Result<()> {
        println!("\n{method} {url}");
        let mut request = self
            .client
            .request(method, url)
            .bearer_auth("example-key-kitchens")
            .body(body);
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let response = request.send().await.map_err(std::io::Error::other)?;
        println!("{}", response.status());
        for (name, value) in response.headers() {
            if name.as_str().starts_with("chicorywing-") {
                println!("{name}: {}", value.to_str().unwrap_or("?"));
            }
        }
        let is_success = response.status().is_success();
        print!("{}", response.text().await.map_err(std::io::Error::other)?);
        if is_success {
            return Ok(());
        }
        Err(std::io::Error::other(
            "the example call failed; see the response above and the logs",
        ))
    }

    fn print_hints(&self, count: u16) {
        let instances: Vec<String> = (0..count)
            .map(|number| self.address(300 + number).to_string())
            .collect();
        println!("logs: {}", self.directory.display());
        println!(
            "try:  target/release/chicorywing show --instances {}",
            instances.join(",")
        );
        println!(
            "      target/release/chicorywing out akl-1 --log {}",
            self.url(0)
        );
    }

    async fn register(
        &self,
        name: &str,
        role: Role,
        service: Option<&str>,
        data_centre: &str,
        address: SocketAddr,
    ) -> std::io::Result<()> {
        let instance = ListedInstance {
            name: name.into(),
            role,
            service: service.map(Into::into),
            data_centre: data_centre.into(),
            address,
            state: ListedState::Live,
        };
        let url = format!("{}/instances/{name}", self.url(1));
        let response = self.client.put(url).json(&instance).send().await;
        response.map(|_| ()).map_err(std::io::Error::other)
    }

    async fn wait_until_healthy(&self, url: &str) -> std::io::Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        while Instant::now() < deadline {
            if let Ok(response) = self.client.get(url).send().await
                && response.status().is_success()
            {
                return Ok(());
            }
            sleep(POLL_INTERVAL).await;
        }
        Err(std::io::Error::other(format!(
            "{url} did not become healthy in {} s; check that its port is free",
            START_TIMEOUT.as_secs()
        )))
    }

    /// Stops the entry instances gracefully, then kills the stand-ins.
    async fn stop(mut self) -> std::io::Result<()> {
        println!("\nstopping");
        for child in &self.entries {
            let Some(id) = child.id() else {
                continue;
            };
            let status = Command::new("kill")
                .args(["-TERM", &id.to_string()])
                .status();
            status.await?;
        }
        for child in &mut self.entries {
            if tokio::time::timeout(STOP_TIMEOUT, child.wait())
                .await
                .is_err()
            {
                child.kill().await?;
            }
        }
        for child in &mut self.standins {
            child.kill().await?;
        }
        std::fs::remove_dir_all(&self.directory)
    }
}

/// Path of another program in the directory of this one.
fn sibling_program(program: &str) -> std::io::Result<PathBuf> {
    Ok(std::env::current_exe()?.with_file_name(program))
}

fn spawn(program: &str, args: &[&str]) -> std::io::Result<Child> {
    Command::new(sibling_program(program)?)
        .args(args)
        .process_group(0)
        .kill_on_drop(true)
        .spawn()
}
