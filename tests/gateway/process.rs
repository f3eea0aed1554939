//! The gateway's program as a process of its own.

use std::process::Stdio;
use std::time::Duration;

use googletest::prelude::*;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

const TEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which a started process installs its signal handlers.
const START_TIME: Duration = Duration::from_millis(500);

async fn signal(child: &Child, signal: &str) {
    let id = child.id().unwrap().to_string();
    let status = Command::new("kill").args([signal, &id]).status().await;
    assert!(status.unwrap().success());
}

// Guards against a process that is asked to reload its settings while it starts being
// ended by the signal.
#[gtest]
#[tokio::test]
async fn a_signal_to_reload_settings_during_the_start_does_not_end_the_process() {
    let folder = std::env::temp_dir().join(format!("chicorywing-start-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    // Reading it waits until the test writes, like a slow file system.
    let settings = folder.join("settings.jsonc");
    let made = Command::new("mkfifo").arg(&settings).status().await;
    assert!(made.unwrap().success());
    let mut child = Command::new(env!("CARGO_BIN_EXE_chicorywing-gateway"))
        .arg("--settings")
        .arg(&settings)
        .stderr(Stdio::null())
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    sleep(START_TIME).await;

    signal(&child, "-HUP").await;

    sleep(START_TIME).await;
    expect_that!(child.try_wait().unwrap(), none());
    // It then reads what is no settings file, and says so.
    std::fs::write(&settings, "{}").unwrap();
    let ended = timeout(TEST_TIMEOUT, child.wait()).await.unwrap().unwrap();
    expect_that!(ended.code(), some(eq(2)));
    std::fs::remove_dir_all(&folder).unwrap();
}
