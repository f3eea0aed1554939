//! Load generator: concurrent callers, each with one call in flight.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use argh::FromArgs;
use chicorywing::request::headers;
use rand::RngExt;
use reqwest::{Client, Method};
use serde::Serialize;
use tokio::time::{Instant, sleep};

/// make calls and report their latencies and outcomes as JSON
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub struct LoadArgs {
    /// URL to call; repeat it to spread the callers over several
    #[argh(option)]
    url: Vec<String>,
    /// number of concurrent callers
    #[argh(option, default = "8")]
    callers: usize,
    /// total number of calls
    #[argh(option, default = "1000")]
    calls: u64,
    /// mean pause of a caller between calls, in milliseconds
    #[argh(option, default = "0")]
    pause_ms: u64,
    /// API key to send
    #[argh(option, default = "String::from(\"example-key-kitchens\")")]
    key: String,
    /// make POST calls with an idempotency key instead of GET calls
    #[argh(switch)]
    bookings: bool,
    /// timeout of a call, in milliseconds
    #[argh(option, default = "2000")]
    timeout_ms: u64,
}

/// Latencies and outcomes of all calls.
#[derive(Debug, Default, Serialize)]
struct Report {
    calls: u64,
    result: u64,
    not_run: u64,
    unknown: u64,
    failed: u64,
    seconds: f64,
    p50_us: u64,
    p99_us: u64,
    p999_us: u64,
    #[serde(rename = "most_us")]
    max_us: u64,
}

#[derive(Debug)]
struct Caller {
    args: Arc<LoadArgs>,
    client: Client,
    url: String,
    number: usize,
    remaining: Arc<AtomicU64>,
}

/// Latency of a call in microseconds, and its outcome.
type Sample = (u64, String);

/// Makes the calls and prints the report.
pub async fn run(args: LoadArgs) -> std::io::Result<()> {
    if args.url.is_empty() {
        return Err(std::io::Error::other("no --url is given; name one"));
    }
    let args = Arc::new(args);
    let remaining = Arc::new(AtomicU64::new(args.calls));
    let started = Instant::now();
    let mut callers = Vec::new();
    for number in 0..args.callers {
        let caller = Caller {
            client: Client::builder()
                .no_proxy()
                .tcp_nodelay(true)
                .build()
                .map_err(std::io::Error::other)?,
            url: args.url[number % args.url.len()].clone(),
            number,
            args: Arc::clone(&args),
            remaining: Arc::clone(&remaining),
        };
        callers.push(tokio::spawn(caller.run()));
    }
    let mut samples = Vec::new();
    for caller in callers {
        samples.extend(caller.await.map_err(std::io::Error::other)?);
    }
    let report = summarise(samples, started.elapsed());
    println!("{}", serde_json::to_string(&report)?);
    Ok(())
}

impl Caller {
    async fn run(self) -> Vec<Sample> {
        let mut samples = Vec::new();
        let mut call_number = 0_u64;
        while self.claim_call() {
            call_number += 1;
            let started = Instant::now();
            let outcome = self.call(call_number).await;
            let took_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
            samples.push((took_us, outcome));
            if self.args.pause_ms > 0 {
                // Random, so that the callers' calls don't synchronise.
                let pause_us = rand::rng().random_range(0..self.args.pause_ms * 2_000);
                sleep(Duration::from_micros(pause_us)).await;
            }
        }
        samples
    }

    fn claim_call(&self) -> bool {
        let claimed =
            self.remaining
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |remaining| {
                    remaining.checked_sub(1)
                });
        claimed.is_ok()
    }

    async fn call(&self, call_number: u64) -> String {
        let method = if self.args.bookings {
            Method::POST
        } else {
            Method::GET
        };
        let mut request = self
            .client
            .request(method, &self.url)
            .bearer_auth(&self.args.key)
            .header(headers::TIMEOUT_MS, self.args.timeout_ms);
        if self.args.bookings {
            let nonce: u64 = rand::random();
            let key = format!("{}-{call_number}-{nonce:x}", self.number);
            request = request.header(headers::IDEMPOTENCY_KEY, key);
        }
        let Ok(response) = request.send().await else {
            return String::from("failed");
        };
        let outcome = response
            .headers()
            .get(headers::OUTCOME)
            .and_then(|outcome| outcome.to_str().ok())
            .map(String::from);
        let is_success = response.status().is_success();
        if response.bytes().await.is_err() {
            return String::from("failed");
        }
        match outcome {
            Some(outcome) => outcome,
            None if is_success => String::from("result"),
            None => String::from("failed"),
        }
    }
}

fn summarise(samples: Vec<Sample>, elapsed: Duration) -> Report {
    let mut report = Report {
        seconds: elapsed.as_secs_f64(),
        ..Report::default()
    };
    let mut times = Vec::with_capacity(samples.len());
    for (took_us, outcome) in samples {
        report.calls += 1;
        times.push(took_us);
        match outcome.as_str() {
            "result" => report.result += 1,
            "not-run" => report.not_run += 1,
            "unknown" => report.unknown += 1,
            _ => report.failed += 1,
        }
    }
    times.sort_unstable();
    report.p50_us = quantile(&times, 500);
    report.p99_us = quantile(&times, 990);
    report.p999_us = quantile(&times, 999);
    report.max_us = times.last().copied().unwrap_or(0);
    report
}

fn quantile(sorted: &[u64], permille: usize) -> u64 {
    let index = (sorted.len() * permille).div_ceil(1000).saturating_sub(1);
    sorted.get(index).copied().unwrap_or(0)
}
