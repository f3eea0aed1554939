//! Sets up logging.

use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt;

use super::config::{Config, LogFormat};

/// Starts logging to standard error, in the format of the settings.
///
/// A filter that cannot be parsed is replaced by `info`.
pub fn init(config: &Config) {
    // Otherwise each log line of a call would start with the spans of tarpc.
    let filter = format!("{},tarpc=off", config.log_filter);
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let result = match config.log_format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
    if let Err(error) = result {
        tracing::warn!(%error, "logging is set up already; keeping the earlier configuration");
    }
}
