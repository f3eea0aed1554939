//! Every way in which two upstreams may treat a request, with every event that
//! may come between, against what the gateway then says of it.

use std::sync::Arc;
use std::time::Duration;

use chicorywing::decision::directory::UpstreamState;
use chicorywing::decision::manifest::Route;
use chicorywing::gateway::forward::forward;
use chicorywing::gateway::outcome::Outcome;
use futures::{StreamExt, stream};
use http::StatusCode;
use strum::{EnumIter, IntoEnumIterator};
use tokio::time::{Instant, sleep, timeout};

use super::calls::{call, gateway_to};
use super::fake::{report, route};
use super::upstream::{Act, Upstream};

/// Timeout of the route.
const TIMEOUT_MS: u64 = 250;
/// Time beyond it by which the final answer must be there.
const LATE: Duration = Duration::from_millis(250);
/// Time after which an upstream must see that its caller has left.
const GONE: Duration = Duration::from_millis(500);
/// Cases that run at a time.
const AT_A_TIME: usize = 40;

const ACTS: [Act; 10] = [
    Act::Serve(Duration::ZERO),
    Act::Serve(Duration::from_millis(60)),
    Act::Fail,
    Act::Shed,
    Act::Misdirect,
    Act::Reset,
    Act::Hang,
    Act::Truncate,
    Act::Unstamped,
    Act::Stray,
];

/// What happens while the request is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter)]
enum Meanwhile {
    Nothing,
    CallerLeaves,
    StopBegins,
    FirstDrains,
    FirstDataCentreOut,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    first: Act,
    second: Act,
    is_idempotent: bool,
    meanwhile: Meanwhile,
}

fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for first in ACTS {
        for second in ACTS {
            for is_idempotent in [false, true] {
                for meanwhile in Meanwhile::iter() {
                    cases.push(Case {
                        first,
                        second,
                        is_idempotent,
                        meanwhile,
                    });
                }
            }
        }
    }
    cases
}

/// Whether an upstream that acts so has begun to work.
fn runs(act: Act) -> bool {
    !matches!(act, Act::Shed | Act::Misdirect)
}

struct Played {
    outcome: Option<Outcome>,
    took: Duration,
    /// Requests that reached each upstream.
    reached: [usize; 2],
    /// Connections of each that were closed during its work.
    closed: [usize; 2],
}

async fn play(case: Case) -> Played {
    let first = Upstream::start("first", case.first).await;
    let second = Upstream::start("second", case.second).await;
    // The first one is the better choice.
    second.set_load("1,0,2,100");
    let route = Route {
        is_idempotent: case.is_idempotent,
        timeout_ms: TIMEOUT_MS,
        ..route()
    };
    let gateway = gateway_to(&[&first, &second], &route);
    let began = Instant::now();
    let request = call(&route);
    let answering = forward(&gateway, &request);
    let event = async {
        sleep(Duration::from_millis(20)).await;
        match case.meanwhile {
            Meanwhile::Nothing | Meanwhile::CallerLeaves => {}
            Meanwhile::StopBegins => gateway.begin_stop(),
            Meanwhile::FirstDrains => {
                let mut report = report("first", first.address, UpstreamState::Draining);
                report.sequence = 2;
                gateway.view().directory.put(report, gateway.now_ms());
            }
            Meanwhile::FirstDataCentreOut => {
                gateway.view().evacuated.insert(super::fake::HOME.into());
            }
        }
    };
    let outcome = if case.meanwhile == Meanwhile::CallerLeaves {
        timeout(Duration::from_millis(20), answering).await.ok()
    } else {
        let (outcome, ()) = tokio::join!(answering, event);
        Some(outcome)
    };
    let took = began.elapsed();
    if outcome.is_none() {
        let is_closed = async {
            while first.closed() + second.closed() == 0 {
                sleep(Duration::from_millis(5)).await;
            }
        };
        // Only work that waits for its end can see the close.
        let _ = timeout(GONE, is_closed).await;
    }
    Played {
        outcome,
        took,
        reached: [first.runs().len(), second.runs().len()],
        closed: [first.closed(), second.closed()],
    }
}

/// What a case broke.
fn check(case: Case, played: &Played) -> Option<&'static str> {
    let [first, second] = played.reached;
    let ran = [(case.first, first), (case.second, second)]
        .iter()
        .filter(|(act, count)| runs(*act) && *count > 0)
        .count();
    let attempts = usize::try_from(route().attempts).unwrap();
    if first + second > attempts || first > 1 || second > 1 {
        return Some("more sends than the route allows");
    }
    if !case.is_idempotent && ran > 1 {
        return Some("ran twice");
    }
    let Some(outcome) = &played.outcome else {
        let waits = |act| matches!(act, Act::Hang | Act::Serve(_)) && act != ACTS[0];
        let is_at_work = (first > 0 && waits(case.first)) || (second > 0 && waits(case.second));
        let is_closed = played.closed[0] + played.closed[1] > 0;
        return (is_at_work && !is_closed).then_some("work goes on though the caller left");
    };
    if played.took > Duration::from_millis(TIMEOUT_MS) + LATE {
        return Some("no final answer in time");
    }
    let status = outcome.status();
    match outcome {
        Outcome::Answered(answer) => {
            let is_good = status == StatusCode::OK && answer.body == "good";
            let is_bad = status == StatusCode::INTERNAL_SERVER_ERROR && answer.body == "bad";
            (!is_good && !is_bad).then_some("not an upstream's whole answer")
        }
        Outcome::Own { return_after, .. } => {
            let is_refusal = status == StatusCode::SERVICE_UNAVAILABLE;
            if is_refusal && ran > 0 {
                return Some("told not run");
            }
            (is_refusal && return_after.is_none() && played.took < LATE)
                .then_some("refused without a time to return")
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn whatever_upstreams_do_a_request_runs_as_often_as_it_is_told() {
    let cases = Arc::new(cases());
    let played = stream::iter(cases.iter().copied())
        .map(|case| async move { (case, tokio::spawn(play(case)).await.unwrap()) })
        .buffer_unordered(AT_A_TIME);
    let broken: Vec<String> = played
        .filter_map(|(case, played)| async move {
            let what = check(case, &played)?;
            let Played {
                outcome,
                took,
                reached,
                closed,
            } = played;
            Some(format!(
                "{what}: {case:?}: {outcome:?} {took:?} {reached:?} {closed:?}"
            ))
        })
        .collect()
        .await;

    assert!(
        broken.is_empty(),
        "{} of {}:\n{}",
        broken.len(),
        cases.len(),
        broken.join("\n")
    );
}
