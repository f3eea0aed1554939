//! Short scenarios, each named after the behaviour that it checks.

use std::time::Duration;

use googletest::prelude::*;
use reqwest::Method;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::env::{TestEnv, read_reply, upstream, wait_until};
use crate::objects::object_set;

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn each_entry_serves_lookups_and_bookings() {
    let env = TestEnv::start(2, &[upstream("a"), upstream("b"), upstream("c")]).await;

    for entry in 0..2 {
        let lookup = env.lookup(entry, "/bins/7?full=1").await;
        expect_that!(lookup.outcome, eq("result"));
        expect_that!(lookup.body, contains_substring("GET /bins/7?full=1"));

        let key = format!("key-{entry}");
        let booking = env.book(entry, &key).await;
        expect_that!(booking.outcome, eq("result"));
        expect_that!(booking.body, contains_substring(format!("booking {key}")));
        expect_that!(env.ledger.run_count_of_key(&key), eq(1));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_key_gets_the_first_result_at_every_entry() {
    let env = TestEnv::start(3, &[upstream("a"), upstream("b")]).await;
    let first = env.book(0, "once").await;

    for entry in 0..3 {
        let again = env.book(entry, "once").await;
        expect_that!(again.body, eq(&first.body));
    }

    expect_that!(env.ledger.run_count_of_key("once"), eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_calls_with_one_key_share_one_result() {
    let env = TestEnv::start(3, &[upstream("a"), upstream("b")]).await;
    let slow = |entry| {
        env.booking(entry, "twin")
            .header("x-service-time-ms", 300)
            .send()
    };

    let (first, second, third) = tokio::join!(slow(0), slow(1), slow(2));

    let bodies = [
        read_reply(first).await,
        read_reply(second).await,
        read_reply(third).await,
    ];
    for reply in &bodies {
        expect_that!(reply.body, eq(&bodies[0].body));
        expect_that!(reply.outcome, eq("result"));
    }
    expect_that!(env.ledger.run_count_of_key("twin"), eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_key_reused_for_another_request_is_rejected() {
    let env = TestEnv::start(2, &[upstream("a")]).await;
    env.book(0, "mixed").await;

    let other = read_reply(env.booking(1, "mixed").body("something else").send().await).await;

    expect_that!(other.status, eq(422));
    expect_that!(other.outcome, eq("not-run"));
    expect_that!(env.ledger.run_count_of_key("mixed"), eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_get_an_error_status_and_do_not_run() {
    let env = TestEnv::start(1, &[upstream("a")]).await;
    let url = format!("http://{}", env.caller_address(0));
    let post = |path: &str| env.client.post(format!("{url}{path}"));
    let cases = [
        // The outcome of a call with a key is `unknown`, since an earlier call with that
        // key may have run.
        (post("/nowhere"), 404),
        (post("/call/nothing/x").bearer_auth("paying-key"), 404),
        (post("/call/orders/x"), 401),
        (post("/call/orders/x").bearer_auth("wrong"), 401),
        (post("/call/orders/x").bearer_auth("paying-key"), 400),
        (
            env.booking(0, "k").header("chicorywing-timeout-ms", "soon"),
            400,
        ),
        (
            env.booking(0, "k")
                .header("chicorywing-context", "00.0.paying.payer"),
            403,
        ),
        (env.booking(0, "k").body(vec![b'x'; 8_388_609]), 413),
    ];

    for (request, status) in cases {
        let reply = read_reply(request.send().await).await;
        expect_that!(reply.status, eq(status), "{reply:?}");
        let sent_key = reply.body.contains("stands more than once")
            || reply.body.contains("context")
            || reply.status == 413;
        let outcome = if sent_key { "unknown" } else { "not-run" };
        expect_that!(reply.outcome, eq(outcome), "{reply:?}");
    }

    expect_that!(env.ledger.runs(), is_empty());
    expect_that!(env.lookup(0, "/after").await.outcome, eq("result"));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn garbage_on_the_peer_port_does_not_affect_calls() {
    use tokio::io::AsyncWriteExt;
    let env = TestEnv::start(2, &[upstream("a")]).await;

    for garbage in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        &[0xff; 64],
        &[0, 0, 0, 3, 1, 2, 3],
    ] {
        let address = env.address(8100, 0);
        let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
        stream.write_all(garbage).await.unwrap();
    }

    expect_that!(env.lookup(1, "/x").await.outcome, eq("result"));
    expect_that!(env.book(1, "after-garbage").await.outcome, eq("result"));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn remaining_processes_serve_after_each_kill() {
    let mut env = TestEnv::start(3, &[upstream("a"), upstream("b"), upstream("c")]).await;
    let mut entries = vec![0, 1, 2];

    // Leaves two entries running, since one alone would be isolated.
    for victim in ["up-0", "entry-0", "log", "list", "up-1"] {
        env.kill(victim).await;
        entries.retain(|entry| format!("entry-{entry}") != victim);

        for round in 0..5 {
            for entry in &entries {
                let lookup = env.lookup(*entry, "/any").await;
                expect_that!(lookup.outcome, eq("result"), "{victim} {round}: {lookup:?}");
                let booking = env.book(*entry, &format!("{victim}-{entry}-{round}")).await;
                expect_that!(booking.outcome, not(eq("failed")), "{victim}: {booking:?}");
            }
        }
    }

    expect_that!(env.ledger.max_runs_per_key(), eq(1));
}

// Guards against an instance that takes itself for isolated because its random choice of
// whom to gossip with fell on ended instances only.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn instances_beside_many_ended_ones_serve_without_log_and_list() {
    let mut env = TestEnv::start(6, &[upstream("a"), upstream("b"), upstream("c")]).await;

    for victim in ["entry-2", "entry-3", "entry-4", "entry-5", "log", "list"] {
        env.kill(victim).await;
    }

    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        for entry in [0, 1] {
            let lookup = env.lookup(entry, "/any").await;
            expect_that!(lookup.reason, not(eq("isolated")), "{lookup:?}");
        }
        sleep(Duration::from_millis(100)).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_data_centre_that_is_out_gets_no_calls() {
    let env = TestEnv::start(3, &[upstream("a"), upstream("b")]).await;
    let log = env.log_url();

    let (code, output) = env.cli(&["out", "a", "--log", &log]).await;
    expect_that!(code, eq(0), "{output}");
    wait_until("every entry has version 2", || async {
        let shown = env
            .cli(&["--json", "show", "--instances", &env.admin_addresses()])
            .await;
        shown.0 == 0 && shown.1.contains("\"version\":2")
    })
    .await;
    let before = env.ledger.run_count_at("up-0");
    for number in 0..30 {
        let reply = env.lookup(number % 3, "/x").await;
        expect_that!(reply.outcome, eq("result"));
    }
    expect_that!(env.ledger.run_count_at("up-0"), eq(before));

    let (code, _) = env.cli(&["back", "a", "--log", &log]).await;
    expect_that!(code, eq(0));
    wait_until("the data centre serves again", || async {
        env.lookup(0, "/x").await;
        env.ledger.run_count_at("up-0") > before
    })
    .await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_upstream_gets_no_new_calls() {
    let env = TestEnv::start(2, &[upstream("a"), upstream("b")]).await;
    env.lookup(0, "/x").await;

    env.mark_leaving(0, "a").await;
    sleep(Duration::from_secs(2)).await;
    let before = env.ledger.run_count_at("up-0");
    for number in 0..30 {
        expect_that!(env.lookup(number % 2, "/x").await.outcome, eq("result"));
    }

    expect_that!(env.ledger.run_count_at("up-0"), eq(before));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn only_one_of_two_concurrent_publishes_succeeds() {
    let env = TestEnv::start(1, &[upstream("a")]).await;
    let file = std::env::temp_dir().join(format!("race-{}.jsonc", std::process::id()));
    std::fs::write(&file, object_set(Some("b"))).unwrap();
    let path = file.display().to_string();
    let log = env.log_url();
    let args = ["publish", &path, "--log", &log, "--based-on", "1"];

    let ((first, first_text), (second, second_text)) = tokio::join!(env.cli(&args), env.cli(&args));

    let mut codes = [first, second];
    codes.sort_unstable();
    expect_that!(codes, eq([0, 3]), "{first_text} {second_text}");
    std::fs::remove_file(file).unwrap();
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_publish_with_a_lost_answer_is_applied_once() {
    let env = TestEnv::start(1, &[upstream("a")]).await;
    env.set_faults("log", json!({ "lose_answers": 1 })).await;

    env.publish(&object_set(Some("c"))).await;

    wait_until("entry 0 has version 2", || async {
        env.status(0)
            .await
            .is_some_and(|status| status.version == 2)
    })
    .await;
    let (_, current) = env.cli(&["current", "--log", &env.log_url()]).await;
    expect_that!(current, starts_with("// version 2 "));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_without_the_log_gets_the_objects_from_its_peers() {
    let mut env = TestEnv::start(2, &[upstream("a")]).await;
    env.set_faults("log", json!({ "is_down": true })).await;

    env.add_entry(2).await;

    wait_until("the new entry is ready", || env.is_ready(2)).await;
    expect_that!(env.lookup(2, "/x").await.outcome, eq("result"));
    expect_that!(env.book(2, "without-log").await.outcome, eq("result"));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_interrupts_no_call() {
    let mut env = TestEnv::start(3, &[upstream("a"), upstream("b"), upstream("c")]).await;
    let mut pending = Vec::new();
    for entry in 0..3 {
        for number in 0..2 {
            let key = format!("stop-{entry}-{number}");
            let request = env.booking(entry, &key).header("x-service-time-ms", 600);
            pending.push(tokio::spawn(async move {
                read_reply(request.send().await).await
            }));
        }
    }
    wait_until("some calls run", || async { env.ledger.runs().len() >= 3 }).await;

    let exited_cleanly = env.stop("entry-0").await;

    expect_that!(exited_cleanly, eq(true));
    for call in pending {
        let reply = call.await.unwrap();
        expect_that!(reply.outcome, eq("result"), "{reply:?}");
    }
    expect_that!(env.ledger.max_runs_per_key(), eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_entry_sends_nothing_to_a_data_centre_that_is_out() {
    let env = TestEnv::start(3, &[upstream("a"), upstream("b")]).await;
    // Takes the data centre out while an entry with calls sent to it is frozen.
    env.freeze("entry-0").await;
    let calls: Vec<_> = (0..10)
        .map(|number| {
            let request = env.request(Method::GET, 0, &format!("/held/{number}"));
            tokio::spawn(async move { read_reply(request.send().await).await })
        })
        .collect();
    env.cli(&["out", "a", "--log", &env.log_url()]).await;
    sleep(Duration::from_secs(5)).await;
    let before = env.ledger.run_count_at("up-0");

    env.resume("entry-0").await;
    for call in calls {
        call.await.unwrap();
    }

    expect_that!(env.ledger.run_count_at("up-0"), eq(before));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_holder_reads_the_log_before_it_sends() {
    let env = TestEnv::start(3, &[upstream("a"), upstream("b")]).await;
    let holder = env.holder("a").await.unwrap();
    env.freeze(&format!("entry-{holder}")).await;
    env.cli(&["out", "a", "--log", &env.log_url()]).await;
    // Longer than the timeout of a read of the log, so that the pending read fails.
    sleep(Duration::from_secs(6)).await;
    env.set_faults("log", json!({ "delay_ms": 1_000 })).await;
    for entry in (0..3).filter(|entry| *entry != holder) {
        env.freeze(&format!("entry-{entry}")).await;
    }
    let before = env.ledger.run_count_at("up-0");

    env.resume(&format!("entry-{holder}")).await;
    let resumed = Instant::now();
    while resumed.elapsed() < Duration::from_millis(900) {
        let request = env.request(Method::GET, holder, "/after");
        let request = request.timeout(Duration::from_millis(100));
        read_reply(request.send().await).await;
        sleep(Duration::from_millis(5)).await;
    }

    expect_that!(env.ledger.run_count_at("up-0"), eq(before));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn lookups_take_less_than_a_second_after_the_holder_is_killed() {
    let specs = [upstream("a"), upstream("b"), upstream("c")];
    let mut env = TestEnv::start(6, &specs).await;
    let holder = env.holder("a").await.unwrap();
    let entry = (holder + 1) % 6;
    env.lookup(entry, "/warm").await;

    env.kill(&format!("entry-{holder}")).await;
    let started = Instant::now();
    let mut max_latency = Duration::ZERO;
    while started.elapsed() < Duration::from_secs(2) {
        let sent = Instant::now();
        let reply = env.lookup(entry, "/x").await;
        expect_that!(reply.outcome, eq("result"), "{reply:?}");
        max_latency = max_latency.max(sent.elapsed());
    }

    expect_that!(max_latency, lt(Duration::from_secs(1)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn keys_do_not_run_again_after_two_of_three_entries_restart() {
    let mut env = TestEnv::start(3, &[upstream("a"), upstream("b"), upstream("c")]).await;
    let mut first_replies = Vec::new();
    for number in 0..12 {
        first_replies.push(env.book(0, &format!("lost-{number}")).await);
    }

    // Entry 0 still knows some of the keys; the restarted entries know none.
    for number in 1..3 {
        env.kill(&format!("entry-{number}")).await;
    }
    for number in 1..3 {
        env.add_entry(number).await;
    }
    env.wait_until_joined(3).await;
    let mut repeated_replies = Vec::new();
    for number in 0..12 {
        repeated_replies.push(env.book(number % 3, &format!("lost-{number}")).await);
    }

    for reply in &first_replies {
        expect_that!(reply.outcome, eq("result"));
    }
    for reply in &repeated_replies {
        expect_that!(
            reply.outcome,
            any!(eq("result"), eq("unknown")),
            "{reply:?}"
        );
    }
    expect_that!(env.ledger.max_runs_per_key(), eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn keys_do_not_run_again_after_all_entries_restart() {
    let mut env = TestEnv::start(2, &[upstream("a")]).await;
    let first = env.book(0, "before-the-restart").await;
    expect_that!(first.outcome, eq("result"));

    for number in 0..2 {
        env.kill(&format!("entry-{number}")).await;
    }
    for number in 0..2 {
        env.add_entry(number).await;
    }
    env.wait_until_joined(2).await;
    let again = env.book(1, "before-the-restart").await;

    expect_that!(again.outcome, eq("unknown"));
    expect_that!(env.ledger.run_count_of_key("before-the-restart"), eq(1));
    // A UUIDv7 key carries its creation time, which shows that it is new.
    sleep(Duration::from_secs(7)).await;
    let now = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap();
    let stamp = format!("{:012x}", now.as_millis());
    let key = format!("{}-{}-7000-8000-000000000000", &stamp[..8], &stamp[8..]);
    expect_that!(env.book(0, &key).await.outcome, eq("result"));
    expect_that!(env.lookup(0, "/x").await.outcome, eq("result"));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_poison_request_crashes_at_most_two_upstreams() {
    let specs = [upstream("a"); 6];
    let mut env = TestEnv::start(3, &specs).await;

    let mut last = env.lookup(0, "/x").await;
    for attempt in 0..12 {
        let request = env.request(Method::GET, attempt % 3, "/poison");
        last = read_reply(request.header("x-crash", "1").send().await).await;
    }

    let mut crashed = 0;
    for number in 0..6 {
        let address = env.address(7100, number);
        let health = env
            .client
            .get(format!("http://{address}/health"))
            .send()
            .await;
        crashed += usize::from(health.is_err());
    }
    expect_that!(crashed, le(2));
    expect_that!(last.reason, eq("poison"));
    // Other requests of the same caller to the same service still run.
    expect_that!(env.lookup(1, "/other").await.outcome, eq("result"));
    env.kill("log").await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_entry_accepts_no_calls() {
    let mut env = TestEnv::start(1, &[upstream("a")]).await;
    expect_that!(env.lookup(0, "/x").await.outcome, eq("result"));

    env.kill("log").await;
    env.kill("list").await;

    wait_until("the entry is not ready", || async {
        !env.is_ready(0).await
    })
    .await;
    let reply = env.lookup(0, "/x").await;
    expect_that!(reply.outcome, eq("not-run"));
    expect_that!(reply.reason, eq("isolated"));
    expect_that!(reply.retry_after, some(anything()));
    // The isolated entry cannot ask whether an earlier attempt with the key has run.
    let booking = env.book(0, "asked-while-isolated").await;
    expect_that!(booking.outcome, eq("unknown"));
}
