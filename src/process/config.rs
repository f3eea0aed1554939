//! The settings of the daemon, read at its start.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use crate::version::reader::{self, Fields, Located, Problem, Reader, SettingsError};
use strum::{Display, EnumString};

/// Minimum length of `context_secret`.
const MIN_SECRET_BYTES: usize = 16;
/// Maximum of `worker_threads`.
const MAX_WORKER_THREADS: u64 = 64;

/// Format of the log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum LogFormat {
    /// Plain text for people.
    Text,
    /// One JSON object per line for programs.
    Json,
}

/// Validated settings of the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Unique name of the instance.
    pub name: Arc<str>,
    /// Data centre in which the instance runs.
    pub data_centre: Arc<str>,
    /// Listening address for callers.
    pub caller_address: SocketAddr,
    /// Listening address for other instances.
    pub peer_address: SocketAddr,
    /// Listening address for operators.
    pub admin_address: SocketAddr,
    /// URL of the platform's log.
    pub log_url: Arc<str>,
    /// URL of the platform's list of instances.
    pub list_url: Arc<str>,
    /// Secret that signs contexts, shared by all instances of the deployment.
    pub context_secret: Arc<str>,
    /// Format of the log lines.
    pub log_format: LogFormat,
    /// Filter of the log lines, in the syntax of `tracing_subscriber`.
    pub log_filter: Arc<str>,
    /// UDP address to which metrics are sent in the statsd format; `None` to send
    /// none.
    pub metrics_address: Option<SocketAddr>,
    /// Worker threads of the async runtime.
    pub worker_threads: usize,
}

impl Config {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// [`SettingsError`] if the file cannot be read or is invalid; it lists all
    /// problems.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        reader::load(path, read)
    }

    /// Parses and validates the text of a settings file; `source` names it in
    /// problems.
    ///
    /// # Errors
    /// All problems of the text.
    pub fn parse(text: &str, source: &str) -> Result<Self, Vec<Problem>> {
        reader::parse(text, source, read)
    }
}

fn read(reader: &mut Reader<'_>, fields: &mut Fields<'_>) -> Option<Config> {
    let name = fields.text(reader, "name");
    let data_centre = fields.text(reader, "data_centre");
    let caller_address = read_address(reader, fields, "caller_address");
    let peer_address = read_address(reader, fields, "peer_address");
    let admin_address = read_address(reader, fields, "admin_address");
    let log_url = read_url(reader, fields, "log_url");
    let list_url = read_url(reader, fields, "list_url");
    let secret = read_secret(reader, fields);
    let log_format = read_format(reader, fields);
    let log_filter = fields.optional_text(reader, "log_filter");
    let metrics = fields.optional_text(reader, "metrics_address");
    let metrics_address = metrics.and_then(|text| parse_address(reader, "metrics_address", &text));
    let threads = fields.number_or(reader, "worker_threads", 1, MAX_WORKER_THREADS, 2);
    Some(Config {
        name: name?.value,
        data_centre: data_centre?.value,
        caller_address: caller_address?,
        peer_address: peer_address?,
        admin_address: admin_address?,
        log_url: log_url?,
        list_url: list_url?,
        context_secret: secret?,
        log_format,
        log_filter: log_filter.map_or_else(|| "info".into(), |filter| filter.value),
        metrics_address,
        worker_threads: usize::try_from(threads.value).unwrap_or(1),
    })
}

fn read_address(
    reader: &mut Reader<'_>,
    fields: &mut Fields<'_>,
    name: &str,
) -> Option<SocketAddr> {
    let text = fields.text(reader, name)?;
    parse_address(reader, name, &text)
}

fn parse_address(
    reader: &mut Reader<'_>,
    name: &str,
    text: &Located<Arc<str>>,
) -> Option<SocketAddr> {
    let address = text.value.parse().ok();
    if address.is_none() {
        let message = format!(
            "\"{name}\" is \"{}\"; write an IP address and a port, such as 127.0.0.1:8001",
            text.value
        );
        reader.report(text.offset, message);
    }
    address
}

fn read_url(reader: &mut Reader<'_>, fields: &mut Fields<'_>, name: &str) -> Option<Arc<str>> {
    let text = fields.text(reader, name)?;
    if !text.value.starts_with("http://") {
        let message = format!(
            "\"{name}\" is \"{}\"; write an address that begins with http://",
            text.value
        );
        reader.report(text.offset, message);
        return None;
    }
    Some(text.value)
}

fn read_secret(reader: &mut Reader<'_>, fields: &mut Fields<'_>) -> Option<Arc<str>> {
    let text = fields.text(reader, "context_secret")?;
    if text.value.len() < MIN_SECRET_BYTES {
        let message =
            format!("\"context_secret\" has fewer than {MIN_SECRET_BYTES} bytes; use a longer one");
        reader.report(text.offset, message);
        return None;
    }
    Some(text.value)
}

fn read_format(reader: &mut Reader<'_>, fields: &mut Fields<'_>) -> LogFormat {
    let Some(text) = fields.optional_text(reader, "log_format") else {
        return LogFormat::Text;
    };
    if let Ok(format) = text.value.parse() {
        return format;
    }
    let message = format!(
        "\"log_format\" is \"{}\"; write \"text\" or \"json\"",
        text.value
    );
    reader.report(text.offset, message);
    LogFormat::Text
}
