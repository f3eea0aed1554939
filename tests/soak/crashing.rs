//! A request that ends each upstream that runs it, and whose caller sends it again.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use strum::IntoEnumIterator;
use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use crate::caller::{ANSWER_TIMEOUT, DEADLINE_MS};
use crate::cuts;
use crate::env::TestEnv;
use crate::faults;
use crate::ledger::End;
use crate::slow_stops;
use crate::store::StoreMode;
use crate::wire;

/// Text in a request that ends the upstream.
pub const MARK: &str = "ends-upstreams";
/// Prefix of the ids of requests that this module sends.
pub const ID_PREFIX: &str = "crash-";
/// Pause after which the caller sends the request again.
const RESEND_PAUSE: Duration = Duration::from_millis(300);
/// The same for [`Play::Slow`].
const SLOW_PAUSE: Duration = Duration::from_secs(5);
/// Length of a play.
const PLAY_TIME: Duration = Duration::from_secs(22);
/// Reasons that a gateway gives when it stops a request.
const STOPPED: [&str; 2] = ["crashes-upstreams", "copy-running"];
/// Ends after which the request must be stopped.
const ENDS_TO_KNOW: usize = 3;
/// Time after the last of them from which on further runs count.
const STABLE_WINDOW_MS: u64 = 3_000;
/// Most runs that may still count.
const MAX_LATE_RUNS: usize = 3;

/// Whether the seed plays such a request. Upstreams then have no proxy before them,
/// since one would accept connections for an upstream that has ended.
pub fn is_played(seed: u64) -> bool {
    let has_proxies = cuts::is_played(seed) || slow_stops::Play::of(seed).is_some();
    (301..=400).contains(&seed) || (seed > 100 && seed.is_multiple_of(2) && !has_proxies)
}

/// How such requests are played without drawn faults, by hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
pub enum Play {
    Idempotent,
    /// Not idempotent; only the body differs from ordinary requests.
    InTheBodyOnly,
    Several,
    /// The caller returns every five seconds.
    Slow,
    GatewaysRestartedInTurn,
    StoreAway,
    /// Upstreams end for other reasons, too, while callers send the same harmless
    /// request all the time.
    OtherEnds,
}

impl Play {
    /// The play of a seed from 301 on.
    pub fn of(seed: u64) -> Option<Self> {
        Self::iter().nth(usize::try_from(seed.checked_sub(301)?).ok()?)
    }

    fn requests(self) -> usize {
        if self == Self::Several { 4 } else { 1 }
    }

    fn is_idempotent(self) -> bool {
        !matches!(self, Self::InTheBodyOnly | Self::Several)
    }

    fn pause(self) -> Duration {
        if self == Self::Slow {
            SLOW_PAUSE
        } else {
            RESEND_PAUSE
        }
    }
}

/// Plays the requests of a seed for [`PLAY_TIME`], and what happens meanwhile.
pub async fn play(env: &Arc<TestEnv>, play: Play) {
    for number in 0..play.requests() {
        let target = if play.is_idempotent() {
            Target::Path
        } else {
            Target::Body(number)
        };
        repeat(env, target, play.pause());
    }
    let until = Instant::now() + PLAY_TIME;
    if play == Play::StoreAway {
        sleep(Duration::from_millis(500)).await;
        env.store.set_mode(StoreMode::Refusing);
    }
    let mut round = 0;
    while Instant::now() < until {
        match play {
            Play::GatewaysRestartedInTurn => {
                let number = round % env.gateways.len();
                let disturbance = env.begin_disturbance(Some(number), true);
                let gateway = &env.gateways[number];
                if let Err(error) = gateway.stop().await {
                    env.record_violation(error);
                }
                gateway.start(false).await;
                env.end_disturbance(disturbance);
            }
            Play::OtherEnds => {
                if round == 0 {
                    for _ in 0..6 {
                        repeat(env, Target::Harmless, Duration::from_millis(20));
                    }
                }
                let upstreams = env.upstreams.lock().await;
                let up: Vec<String> = upstreams
                    .iter()
                    .flatten()
                    .map(|running| running.upstream.config.id.clone())
                    .collect();
                drop(upstreams);
                if let Some(id) = up.choose(&mut rand::rng()) {
                    faults::crash_and_replace(&Arc::downgrade(env), id.clone());
                }
                sleep(Duration::from_secs(1)).await;
            }
            _ => sleep(Duration::from_secs(1)).await,
        }
        round += 1;
    }
}

/// What a repeated request asks for.
#[derive(Clone, Copy, Debug)]
enum Target {
    /// A path that ends upstreams.
    Path,
    /// An ordinary path, with a body that ends upstreams.
    Body(usize),
    /// A request that all its callers send alike and that ends nothing.
    Harmless,
}

/// Sends the request of the seed through random gateways until the callers stop.
pub fn start(env: &Arc<TestEnv>) {
    let target = if env.seed.is_multiple_of(4) {
        Target::Body(0)
    } else {
        Target::Path
    };
    repeat(env, target, RESEND_PAUSE);
}

fn repeat(env: &Arc<TestEnv>, target: Target, pause: Duration) {
    let env = Arc::clone(env);
    tokio::spawn(async move {
        while !env.is_stopping() {
            send(&env, target).await;
            sleep(pause).await;
        }
    });
}

async fn send(env: &TestEnv, target: Target) {
    let gateway = env.gateways.choose(&mut rand::rng()).unwrap();
    let Ok(stream) = TcpStream::connect(gateway.caller_address).await else {
        return;
    };
    let mut stream = BufReader::new(stream);
    let (start_line, body) = match target {
        Target::Path => ("GET /look/ends-upstreams HTTP/1.1", String::new()),
        Target::Body(number) => ("POST /book/x HTTP/1.1", format!("{MARK}-{number}")),
        Target::Harmless => ("GET /look/same HTTP/1.1", String::new()),
    };
    let headers = [
        ("host", "soak.test"),
        (
            "x-request-id",
            &format!("{ID_PREFIX}{:x}", rand::random::<u64>()),
        ),
        ("x-deadline-ms", &DEADLINE_MS.to_string()),
    ];
    let written = wire::write(&mut stream, start_line, &headers, body.as_bytes()).await;
    if written.is_err() {
        return;
    }
    let answer = timeout(ANSWER_TIMEOUT, wire::read(&mut stream)).await;
    if let (Target::Harmless, Ok(Some(answer))) = (target, answer) {
        let reason = String::from_utf8_lossy(&answer.body).into_owned();
        let status = answer.start_fields().1.to_owned();
        let is_own = answer.header("x-server-stamp").is_empty();
        let label = if is_own {
            format!("{status} {reason}")
        } else {
            status
        };
        *env.ledger.harmless().entry(label).or_default() += 1;
    }
}

/// Returns a violation if a play ended more upstreams than it takes to know its
/// requests, or stopped a harmless one.
pub fn check_play(env: &TestEnv, play: Play) -> Vec<String> {
    let mut stopped = 0;
    for request in env.ledger.requests().iter() {
        if let End::Answered { body, .. } = &request.end {
            stopped += usize::from(STOPPED.contains(&body.as_str()));
        }
    }
    let harmless = env.ledger.harmless().clone();
    for reason in STOPPED {
        stopped += harmless.get(&format!("503 {reason}")).copied().unwrap_or(0);
    }
    let ends_ms = env.ledger.crashes_ms().clone();
    println!(
        "{play:?}: upstreams ended at {ends_ms:?} ms; the same harmless request: {harmless:?}"
    );
    let mut violations = Vec::new();
    if ends_ms.len() > ENDS_TO_KNOW * play.requests() {
        violations.push(format!("{play:?}: {} upstreams ended", ends_ms.len()));
    }
    if stopped > 0 {
        violations.push(format!(
            "{play:?}: {stopped} harmless requests were stopped"
        ));
    }
    violations
}

/// Returns a violation if the request ran too often after it was known.
pub fn check(env: &TestEnv) -> Option<String> {
    let ends_ms = env.ledger.crashes_ms().clone();
    if !is_played(env.seed) {
        return None;
    }
    println!("seed {}: upstreams ended at {ends_ms:?} ms", env.seed);
    let known_ms = ends_ms.get(ENDS_TO_KNOW - 1)? + STABLE_WINDOW_MS;
    let late = ends_ms.iter().filter(|at_ms| **at_ms > known_ms).count();
    (late > MAX_LATE_RUNS).then(|| {
        format!("a request that ended {ENDS_TO_KNOW} upstreams ran {late} times later: {ends_ms:?}")
    })
}
