//! Checks that a request never runs more often than allowed, and that the response to
//! the caller agrees with what ran.
//!
//! Covers every pair of upstream behaviours, for idempotent and other routes, with
//! every disturbance that can occur while the request is in flight.

use std::sync::Arc;
use std::time::Duration;

use chicorywing::decision::directory::UpstreamState;
use chicorywing::decision::manifest::Route;
use chicorywing::gateway::forward::forward;
use chicorywing::gateway::outcome::Outcome;
use chicorywing::gateway::probing::ProbeWaits;
use futures::{StreamExt, stream};
use http::StatusCode;
use strum::{EnumIter, IntoEnumIterator};
use tokio::time::{Instant, sleep, timeout};

use super::call_forwarding::{call, gateway_with_waits_to};
use super::fake::{report, route};
use super::upstream::{Behaviour, FakeUpstream};

/// The route's timeout.
const TIMEOUT_MS: u64 = 250;
/// Time after the route's timeout by which the final response must arrive.
const RESPONSE_MARGIN: Duration = Duration::from_millis(250);
/// Time within which an upstream must see that the caller disconnected.
const DISCONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Cases run concurrently.
const CASES_AT_ONCE: usize = 40;

const BEHAVIOURS: [Behaviour; 12] = [
    Behaviour::Serve(Duration::ZERO),
    Behaviour::Serve(Duration::from_millis(60)),
    Behaviour::Fail,
    Behaviour::FailWith(503),
    Behaviour::FailWith(429),
    Behaviour::Shed,
    Behaviour::Misdirect,
    Behaviour::Reset,
    Behaviour::Hang,
    Behaviour::Truncate,
    Behaviour::Unstamped,
    Behaviour::Stray,
];

/// What happens while the request is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter)]
enum Disturbance {
    Nothing,
    CallerLeaves,
    StopBegins,
    FirstDrains,
    FirstDataCentreEvacuated,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    first: Behaviour,
    second: Behaviour,
    is_idempotent: bool,
    disturbance: Disturbance,
}

fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for first in BEHAVIOURS {
        for second in BEHAVIOURS {
            for is_idempotent in [false, true] {
                for disturbance in Disturbance::iter() {
                    cases.push(Case {
                        first,
                        second,
                        is_idempotent,
                        disturbance,
                    });
                }
            }
        }
    }
    cases
}

/// Whether an upstream with this behaviour starts to run a request.
fn starts_work(behaviour: Behaviour) -> bool {
    !matches!(behaviour, Behaviour::Shed | Behaviour::Misdirect)
}

struct CaseResult {
    outcome: Option<Outcome>,
    took: Duration,
    /// Requests that each upstream received.
    reached: [usize; 2],
    /// Requests whose connection was closed while each upstream worked on them.
    disconnects: [usize; 2],
}

async fn run_case(case: Case) -> CaseResult {
    let first = FakeUpstream::start("first", case.first).await;
    let second = FakeUpstream::start("second", case.second).await;
    // Makes the first upstream the cheaper choice.
    second.set_load("1,0,2,100");
    let route = Route {
        is_idempotent: case.is_idempotent,
        timeout_ms: TIMEOUT_MS,
        ..route()
    };
    let gateway = gateway_with_waits_to(&[&first, &second], &route, ProbeWaits::default());
    let began = Instant::now();
    let request = call(&route);
    let forwarding = forward(&gateway, &request);
    let disturbance = async {
        sleep(Duration::from_millis(20)).await;
        match case.disturbance {
            Disturbance::Nothing | Disturbance::CallerLeaves => {}
            Disturbance::StopBegins => {
                gateway.begin_stop();
            }
            Disturbance::FirstDrains => {
                let mut report = report("first", first.address, UpstreamState::Draining);
                report.sequence = 2;
                gateway.view().directory.put(report, gateway.now_ms());
            }
            Disturbance::FirstDataCentreEvacuated => {
                gateway.view().evacuated.insert(super::fake::HOME.into());
            }
        }
    };
    let outcome = if case.disturbance == Disturbance::CallerLeaves {
        timeout(Duration::from_millis(20), forwarding).await.ok()
    } else {
        let (outcome, ()) = tokio::join!(forwarding, disturbance);
        Some(outcome)
    };
    let took = began.elapsed();
    if outcome.is_none() {
        let is_closed = async {
            while first.disconnects() + second.disconnects() == 0 {
                sleep(Duration::from_millis(5)).await;
            }
        };
        // Only a behaviour that waits can notice the close, so this may time out.
        let _ = timeout(DISCONNECT_TIMEOUT, is_closed).await;
    }
    CaseResult {
        outcome,
        took,
        reached: [first.runs().len(), second.runs().len()],
        disconnects: [first.disconnects(), second.disconnects()],
    }
}

/// Returns the rule that a case violated, if any.
fn check(case: Case, result: &CaseResult) -> Option<&'static str> {
    let [first, second] = result.reached;
    let ran = [(case.first, first), (case.second, second)]
        .iter()
        .filter(|(behaviour, count)| starts_work(*behaviour) && *count > 0)
        .count();
    let attempts = usize::try_from(route().attempts).unwrap();
    if first + second > attempts || first > 1 || second > 1 {
        return Some("sent more often than the route allows");
    }
    if !case.is_idempotent && ran > 1 {
        return Some("a non-idempotent request ran twice");
    }
    let Some(outcome) = &result.outcome else {
        let waits = |behaviour| {
            matches!(behaviour, Behaviour::Hang | Behaviour::Serve(_)) && behaviour != BEHAVIOURS[0]
        };
        let is_at_work = (first > 0 && waits(case.first)) || (second > 0 && waits(case.second));
        let is_closed = result.disconnects[0] + result.disconnects[1] > 0;
        return (is_at_work && !is_closed).then_some("the upstream works on after the caller left");
    };
    if result.took > Duration::from_millis(TIMEOUT_MS) + RESPONSE_MARGIN {
        return Some("the final response came too late");
    }
    let status = outcome.status();
    match outcome {
        Outcome::Answered(response) => {
            let is_good = status == StatusCode::OK && response.body == "good";
            let is_bad = status == StatusCode::INTERNAL_SERVER_ERROR && response.body == "bad";
            (!is_good && !is_bad).then_some("the response is not a whole one from an upstream")
        }
        Outcome::GatewayError { retry_after, .. } => {
            let is_refusal = status == StatusCode::SERVICE_UNAVAILABLE;
            if is_refusal && ran > 0 {
                return Some("reported as not run although it ran");
            }
            (is_refusal && retry_after.is_none() && result.took < RESPONSE_MARGIN)
                .then_some("refused without a retry delay")
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn every_response_agrees_with_what_the_upstreams_ran() {
    let cases = Arc::new(cases());
    let results = stream::iter(cases.iter().copied())
        .map(|case| async move { (case, tokio::spawn(run_case(case)).await.unwrap()) })
        .buffer_unordered(CASES_AT_ONCE);
    let violations: Vec<String> = results
        .filter_map(|(case, result)| async move {
            let rule = check(case, &result)?;
            let CaseResult {
                outcome,
                took,
                reached,
                disconnects,
            } = result;
            Some(format!(
                "{rule}: {case:?}: {outcome:?} {took:?} {reached:?} {disconnects:?}"
            ))
        })
        .collect()
        .await;

    assert!(
        violations.is_empty(),
        "{} of {}:\n{}",
        violations.len(),
        cases.len(),
        violations.join("\n")
    );
}
