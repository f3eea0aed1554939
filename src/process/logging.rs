//! Sets the log lines up.

use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt;

use super::config::{Config, LogFormat};

/// Writes log lines to standard error from here on.
///
/// A filter that cannot be read falls back to `info`.
pub fn init(config: &Config) {
    // The spans of tarpc would stand before each line of a call.
    let filter = format!("{},tarpc=off", config.log_filter);
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let started = match config.log_format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
    if let Err(error) = started {
        tracing::warn!(%error, "the log lines are set up already");
    }
}
