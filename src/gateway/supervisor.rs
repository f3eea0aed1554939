//! Keeps background tasks running: one that panics takes neither the process nor its own
//! duty down.

use std::time::Duration;

use tokio::time::sleep;

/// Delay before a task that failed is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Runs a background task, and starts it again whenever it panics; `name` goes into the
/// log.
pub fn keep_running<F>(name: &'static str, start: impl Fn() -> F + Send + 'static)
where
    F: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        while let Err(error) = tokio::spawn(start()).await {
            tracing::error!(task = name, %error, "a background task has failed; starting it again");
            sleep(RESTART_DELAY).await;
        }
    });
}
