//! Versions of which this build cannot read a part: the rest is served.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chicorywing::decision::directory::UpstreamState;
use chicorywing::decision::manifest::{Route, Target};
use chicorywing::gateway::forward::forward;
use chicorywing::gateway::outcome::{Outcome, Reason};
use chicorywing::gateway::state::Gateway;
use chicorywing::gateway::store::Platform;
use googletest::prelude::*;
use serde_json::{Value, json};
use tokio::process::Command;
use tokio::time::Instant;

use super::fake::{FakeStore, SERVICE, call, gateway, manifest, report, route, within};
use super::odd_entries::follow;
use super::raw_store::RawStore;
use super::upstream::{Behaviour, FakeUpstream};

const TEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which a request that this build cannot serve is refused.
const REFUSAL_LIMIT: Duration = Duration::from_millis(50);

fn config(version: u64, odd_kind: &str, odd_service: &Value) -> Value {
    let route = |prefix: &str, kind: &str, service: &Value| {
        json!({
            "host": "h.example", "path-prefix": prefix, "kind": kind, "timeout": "2s",
            "target-latency": "500ms", "service": service,
        })
    };
    json!({
        "version": version,
        "routes": {
            "good": route("/good/", "safe", &json!(SERVICE)),
            "odd": route("/odd/", odd_kind, odd_service),
        },
        "services": {SERVICE: {"health-path": "/health"}},
        "limits": {
            "max-header-bytes": 16_384, "max-body-bytes": 65_536, "header-timeout": "3s",
            "idle-timeout": "5s",
        },
    })
}

fn version<P: Platform>(gateway: &Gateway<P>) -> u64 {
    gateway.manifest().map_or(0, |manifest| manifest.version)
}

fn metric<P: Platform>(gateway: &Gateway<P>, name: &str) -> String {
    let text = gateway.metrics.text();
    let line = text.lines().find(|line| line.starts_with(name));
    line.unwrap_or_default().to_owned()
}

// Guards against a version that an instance does not take because of one value, and against
// instances that read it differently when they start.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn instances_in_service_and_those_that_start_take_a_version_with_an_unread_value() {
    let store = RawStore::start().await;
    let known = config(1, "safe", &json!(SERVICE)).to_string();
    store.write("keyed.op", b"config", known.as_bytes());
    let in_service = follow(&store);
    within(TEST_TIMEOUT, "version 1", || version(&in_service) == 1).await;

    let newer = config(2, "stream", &json!(SERVICE)).to_string();
    store.write("keyed.op", b"config", newer.as_bytes());
    within(TEST_TIMEOUT, "version 2", || version(&in_service) == 2).await;
    let started = follow(&store);
    within(TEST_TIMEOUT, "version 2 at the start", || {
        version(&started) == 2
    })
    .await;

    for gateway in [&in_service, &started] {
        let manifest = gateway.manifest().unwrap();
        let good = manifest.route("h.example", "/good/1").unwrap();
        let odd = manifest.route("h.example", "/odd/1").unwrap();
        expect_that!(good.is_idempotent, eq(true));
        expect_that!(odd.is_idempotent, eq(false));
        expect_that!(odd.targets.len(), eq(1));
        let line = || metric(gateway, "chicorywing_unread_values");
        within(TEST_TIMEOUT, "the gauge", || line().ends_with(" 1")).await;
    }
}

// Guards against requests that wait for a route or service that cannot be read, or that are
// served by another one.
#[gtest]
#[tokio::test]
async fn closed_routes_and_services_refuse_at_once_and_others_are_served() {
    let upstream = FakeUpstream::start("up-1", Behaviour::Serve(Duration::ZERO)).await;
    let gateway = gateway(&FakeStore::new());
    let closed = Route {
        name: "closed".into(),
        targets: Vec::new(),
        ..route()
    };
    let of_closed_service = Route {
        name: "closed-service".into(),
        targets: vec![Target {
            service: "unread".into(),
            weight: 1.0,
        }],
        ..route()
    };
    {
        let routes = [route(), closed.clone(), of_closed_service.clone()];
        let mut view = gateway.view();
        view.manifest = Some(Arc::new(manifest(2, &routes)));
        let report = report(&upstream.id, upstream.address, UpstreamState::Ready);
        view.directory.put(report, 0);
    }
    gateway.set_instances_loaded();

    for unread in [closed, of_closed_service] {
        let began = Instant::now();
        let outcome = forward(&gateway, &call(&unread, "body")).await;

        let reason = match &outcome {
            Outcome::GatewayError { reason, .. } => Some(*reason),
            Outcome::Answered(_) => None,
        };
        expect_that!(reason, some(eq(Reason::NoUpstream)));
        expect_that!(outcome.status().as_u16(), eq(503));
        expect_that!(began.elapsed(), lt(REFUSAL_LIMIT));
    }
    let served = forward(&gateway, &call(&route(), "body")).await;
    expect_that!(served.status().as_u16(), eq(200));
    expect_that!(upstream.runs().len(), eq(1));
}

/// Runs the check of the command line on a version; returns its code and output.
async fn check(name: &str, text: &str) -> (Option<i32>, String) {
    let file = format!("chicorywing-{}-{name}.json", std::process::id());
    let path = std::env::temp_dir().join(file);
    std::fs::write(&path, text).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_chicorywing-gateway"))
        .arg("--check-version")
        .arg(&path)
        .output()
        .await
        .unwrap();
    std::fs::remove_file(&path).unwrap();
    let shown = [output.stdout, output.stderr].concat();
    let folder = format!("{}/", std::env::temp_dir().display());
    let text = String::from_utf8(shown).unwrap().replace(&folder, "");
    (output.status.code(), text)
}

// Guards against an operator who learns only from callers what a build cannot read.
#[gtest]
#[tokio::test]
async fn the_command_line_names_unread_values_before_they_are_published() {
    let good = config(1, "download", &json!(SERVICE)).to_string();
    let odd = serde_json::to_string_pretty(&config(1, "stream", &json!(7))).unwrap();
    let replies = HashMap::from([
        ("good", check("good", &good).await),
        ("odd", check("odd", &odd).await),
        ("none", check("none", "{\"version\": 1}").await),
    ]);

    let id = std::process::id();
    expect_that!(replies["good"], eq(&(Some(0), String::new())));
    let (code, text) = &replies["odd"];
    let kind = "route odd: kind is \"stream\"; use safe, unsafe or download. Until then, \
                its requests run at most once\n";
    expect_that!(*code, some(eq(2)));
    expect_that!(
        *text,
        contains_substring(format!("chicorywing-{id}-odd.json:"))
    );
    expect_that!(*text, contains_substring(kind));
    expect_that!(
        *text,
        contains_substring("route odd: service is 7; use the name of a service")
    );
    let (code, text) = &replies["none"];
    expect_that!(*code, some(eq(2)));
    expect_that!(*text, contains_substring("missing field `routes`"));
}
