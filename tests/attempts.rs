//! Attempts of one request side by side, without a network.

use std::sync::Arc;
use std::time::Duration;

use chicorywing::gateway::attempts::Attempts;
use chicorywing::gateway::handed::AttemptHistory;
use googletest::prelude::*;
use tokio::time::timeout;

const MOMENT: Duration = Duration::from_millis(1);

fn history(tried: &[&str], sends: usize, may_have_run: bool) -> AttemptHistory {
    AttemptHistory {
        tried: tried.iter().map(|id| Arc::from(*id)).collect(),
        sends,
        may_have_run,
    }
}

async fn are_all_overdue(attempts: &Attempts) -> bool {
    timeout(MOMENT, attempts.all_overdue()).await.is_ok()
}

// Guards against another attempt beside one that is still expected to be answered.
#[gtest]
#[tokio::test(start_paused = true)]
async fn all_attempts_are_overdue_only_if_each_one_is() {
    let attempts = Attempts::default();
    expect_that!(are_all_overdue(&attempts).await, eq(false));
    let mut first = attempts.begin();
    expect_that!(are_all_overdue(&attempts).await, eq(false));
    first.set_overdue();
    first.set_overdue();
    expect_that!(are_all_overdue(&attempts).await, eq(true));

    let mut second = attempts.begin();
    expect_that!(are_all_overdue(&attempts).await, eq(false));
    drop(first);
    expect_that!(are_all_overdue(&attempts).await, eq(false));
    second.set_overdue();
    expect_that!(are_all_overdue(&attempts).await, eq(true));

    drop(second);
    expect_that!(are_all_overdue(&attempts).await, eq(false));
}

// Guards against a waiting request that misses the end of the only attempt that was not overdue.
#[gtest]
#[tokio::test(start_paused = true)]
async fn the_end_of_an_attempt_leaves_the_overdue_ones() {
    let attempts = Attempts::default();
    let mut first = attempts.begin();
    first.set_overdue();
    let second = attempts.begin();

    let waiting = async {
        tokio::join!(attempts.all_overdue(), async { drop(second) });
    };

    expect_that!(timeout(MOMENT, waiting).await, ok(anything()));
}

// Guards against attempts in flight that do not count towards those of the route.
#[gtest]
fn sends_count_the_attempts_that_run() {
    let attempts = Attempts::after(history(&["up-1"], 1, true));
    let first = attempts.begin();

    expect_that!(attempts.sends(), eq(2));

    drop(first);
    expect_that!(attempts.sends(), eq(1));
}

// Guards against a history that another instance returns replacing what was tried meanwhile.
#[gtest]
fn the_history_of_another_instance_is_added() {
    let before = history(&["up-1"], 1, false);
    let mut known = history(&["up-1", "up-2"], 2, false);

    known.add(&before, history(&["up-1", "up-3"], 2, true));

    expect_that!(known, eq(&history(&["up-1", "up-2", "up-3"], 3, true)));
}
