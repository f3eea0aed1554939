//! The gateway's settings file: parsing and validation.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use super::view::Instance;
use crate::decision::locality::Prices;
use crate::decision::retry_budget::RetryLimit;
use crate::decision::rollout::ExposureLimit;
use crate::version::reader::{self, Fields, Located, Problem, Reader, SettingsError};

/// Largest accepted memory limit, and the default.
const MAX_MEMORY_MB: u64 = 1 << 20;
/// Time in which a bad version gets its last request, where a deployment names none.
const DEFAULT_ROLLBACK_MS: u64 = 5_000;

/// Prices used where the settings name none: a kilobyte costs as much as a millisecond.
const DEFAULT_PRICES: Prices = Prices {
    per_byte: 0.001,
    per_ms: 1.0,
};

/// How an instance prefers upstreams of its own data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum TrafficMode {
    /// By a fixed weight and cost factor for each request.
    #[default]
    Static,
    /// By shares that follow the loads of the data centres.
    Adaptive,
}

/// Handling of the traffic between data centres.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DataCentreTraffic {
    /// How the data centre of a request's upstream is chosen.
    pub mode: TrafficMode,
    /// Prices of that traffic.
    pub prices: Prices,
}

impl Default for DataCentreTraffic {
    fn default() -> Self {
        Self {
            mode: TrafficMode::default(),
            prices: DEFAULT_PRICES,
        }
    }
}

/// The validated settings of one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance, unique among all instances.
    pub name: Arc<str>,
    /// Data centre in which the instance runs.
    pub data_centre: Arc<str>,
    /// Address to which callers connect.
    pub caller_address: SocketAddr,
    /// Address at which the platform's balancer checks readiness.
    pub ready_address: SocketAddr,
    /// Address at which metrics are scraped.
    pub metrics_address: SocketAddr,
    /// Address to which other instances connect.
    pub peer_address: SocketAddr,
    /// Peer addresses of some instances, used until others are known.
    pub seeds: Vec<SocketAddr>,
    /// Whether all instances start for the first time, so that none is registered.
    pub is_first_start: bool,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Memory that the process may use, in megabytes.
    pub memory_limit_mb: u64,
    /// Time from the stop signal to the forced end of the process, in
    /// milliseconds.
    pub stop_limit_ms: u64,
    /// Limit on the retries of all instances together.
    pub retry_limit: RetryLimit,
    /// Limit on the requests of all instances to a cold upstream, as a multiple of
    /// the rate that it can serve.
    pub cold_factor: f64,
    /// Requests allowed beyond that limit in any one second.
    pub cold_slack: f64,
    /// Probes per second that one upstream may get from all instances together.
    pub probes_per_s: f64,
    /// Limits on the requests to a bad new version; without them, versions of upstreams make
    /// no difference.
    pub exposure_limit: Option<ExposureLimit>,
    /// Handling of the traffic between data centres.
    pub data_centre_traffic: DataCentreTraffic,
    /// Filter of log lines in the syntax of `tracing_subscriber`'s `EnvFilter`.
    pub log_filter: Arc<str>,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read or has problems; it lists all of
    /// them.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        reader::load(path, read)
    }

    /// The entry under which this instance registers.
    #[must_use]
    pub fn as_instance(&self) -> Instance {
        Instance {
            address: self.peer_address,
            data_centre: Arc::clone(&self.data_centre),
        }
    }

    /// Parses and checks the text of a settings file; `source` names it in problems.
    ///
    /// # Errors
    /// Returns all problems of the text.
    pub fn parse(text: &str, source: &str) -> Result<Self, Vec<Problem>> {
        reader::parse(text, source, read)
    }
}

/// Reads every field before it returns `None`, so that all problems are reported.
fn read(reader: &mut Reader<'_>, fields: &mut Fields<'_>) -> Option<Settings> {
    let name = fields.text(reader, "name");
    let data_centre = fields.text(reader, "data_centre");
    let caller_address = address(reader, fields, "caller_address");
    let ready_address = address(reader, fields, "ready_address");
    let metrics_address = address(reader, fields, "metrics_address");
    let peer_address = address(reader, fields, "peer_address");
    let store_address = address(reader, fields, "store_address");
    let is_first_start = boolean(reader, fields, "is_first_start");
    let memory = fields.number_or(reader, "memory_limit_mb", 1, MAX_MEMORY_MB, MAX_MEMORY_MB);
    let stop_limit_ms = duration_ms(reader, fields, "stop_limit");
    let ratio = decimal(reader, fields, "repeat_ratio");
    let slack = decimal(reader, fields, "repeat_slack");
    let window_ms = duration_ms(reader, fields, "repeat_window");
    let cold_factor = decimal(reader, fields, "cold_factor");
    let cold_slack = decimal(reader, fields, "cold_slack");
    let probes_per_s = decimal(reader, fields, "probes_per_s");
    let expose_share = optional(reader, fields, "expose_share", parse_share);
    let expose_slack = optional(reader, fields, "expose_slack", parse_decimal);
    let rollback_ms = optional(reader, fields, "rollback", parse_duration_ms);
    let exposure_limit = expose_share.map(|share| ExposureLimit {
        share,
        slack: expose_slack.unwrap_or(0.0),
        rollback_ms: rollback_ms.unwrap_or(DEFAULT_ROLLBACK_MS),
    });
    let data_centre_traffic = data_centre_traffic(reader, fields);
    let log_filter = fields.optional_text(reader, "log_filter");
    let mut seeds = Vec::new();
    for seed in fields.texts(reader, "seeds") {
        seeds.extend(parse_address(reader, "seeds", &seed));
    }
    Some(Settings {
        name: name?.value,
        data_centre: data_centre?.value,
        caller_address: caller_address?,
        ready_address: ready_address?,
        metrics_address: metrics_address?,
        peer_address: peer_address?,
        seeds,
        is_first_start: is_first_start?,
        store_address: store_address?,
        memory_limit_mb: memory.value,
        stop_limit_ms: stop_limit_ms?,
        retry_limit: RetryLimit {
            ratio: ratio?,
            slack: slack?,
            window_ms: window_ms?,
        },
        cold_factor: cold_factor?,
        cold_slack: cold_slack?,
        probes_per_s: probes_per_s?,
        exposure_limit,
        data_centre_traffic: data_centre_traffic?,
        log_filter: log_filter.map_or_else(|| "info".into(), |filter| filter.value),
    })
}

fn address(reader: &mut Reader<'_>, fields: &mut Fields<'_>, name: &str) -> Option<SocketAddr> {
    let text = fields.text(reader, name)?;
    parse_address(reader, name, &text)
}

fn parse_address(
    reader: &mut Reader<'_>,
    name: &str,
    text: &Located<Arc<str>>,
) -> Option<SocketAddr> {
    let remedy = "write an IP address and a port, such as 127.0.0.1:8001";
    checked(reader, name, text, text.value.parse().ok(), remedy)
}

fn duration_ms(reader: &mut Reader<'_>, fields: &mut Fields<'_>, name: &str) -> Option<u64> {
    let text = fields.text(reader, name)?;
    let remedy = "write a number with its unit, such as 1500ms or 2.5s";
    checked(reader, name, &text, parse_duration_ms(&text.value), remedy)
}

fn boolean(reader: &mut Reader<'_>, fields: &mut Fields<'_>, name: &str) -> Option<bool> {
    let text = fields.text(reader, name)?;
    let remedy = "write \"true\" or \"false\"";
    checked(reader, name, &text, text.value.parse().ok(), remedy)
}

/// Reads the mode and the prices, which have defaults.
fn data_centre_traffic(
    reader: &mut Reader<'_>,
    fields: &mut Fields<'_>,
) -> Option<DataCentreTraffic> {
    let mut traffic = Some(DataCentreTraffic::default());
    if let Some(text) = fields.optional_text(reader, "data_centre_traffic") {
        let remedy = "write \"static\" or \"adaptive\"";
        let mode = text.value.parse().ok();
        let mode = checked(reader, "data_centre_traffic", &text, mode, remedy);
        traffic = traffic
            .zip(mode)
            .map(|(traffic, mode)| DataCentreTraffic { mode, ..traffic });
    }
    if let Some(text) = fields.optional_text(reader, "price_per_byte") {
        let remedy = "write a finite number of 0 or more in quotes, such as \"0.001\"";
        let price = text.value.parse().ok();
        let price = price.filter(|price: &f64| price.is_finite() && *price >= 0.0);
        let price = checked(reader, "price_per_byte", &text, price, remedy);
        traffic = traffic.zip(price).map(|(mut traffic, price)| {
            traffic.prices.per_byte = price;
            traffic
        });
    }
    if let Some(text) = fields.optional_text(reader, "price_per_ms") {
        let remedy = "write a finite number above 0 in quotes, such as \"1\"";
        let price = text.value.parse().ok();
        // The price of a byte is divided by it.
        let price = price.filter(|price: &f64| price.is_normal() && *price > 0.0);
        let price = checked(reader, "price_per_ms", &text, price, remedy);
        traffic = traffic.zip(price).map(|(mut traffic, price)| {
            traffic.prices.per_ms = price;
            traffic
        });
    }
    traffic
}

fn decimal(reader: &mut Reader<'_>, fields: &mut Fields<'_>, name: &str) -> Option<f64> {
    let text = fields.text(reader, name)?;
    let remedy = "write a number of 0 or more in quotes, such as \"0.2\"";
    checked(reader, name, &text, parse_decimal(&text.value), remedy)
}

fn parse_decimal(text: &str) -> Option<f64> {
    text.parse().ok().filter(|value: &f64| *value >= 0.0)
}

fn parse_share(text: &str) -> Option<f64> {
    parse_decimal(text).filter(|share| *share <= 1.0)
}

/// Reads a field of a part that is off if the field is missing or empty.
fn optional<T>(
    reader: &mut Reader<'_>,
    fields: &mut Fields<'_>,
    name: &str,
    parse: impl Fn(&str) -> Option<T>,
) -> Option<T> {
    let text = fields.text_or_empty(reader, name)?;
    let remedy =
        "leave it empty, or write a value as in the documentation, such as \"0.1\" or \"5s\"";
    checked(reader, name, &text, parse(&text.value), remedy)
}

fn checked<T>(
    reader: &mut Reader<'_>,
    name: &str,
    text: &Located<Arc<str>>,
    value: Option<T>,
    remedy: &str,
) -> Option<T> {
    if value.is_none() {
        let message = format!("\"{name}\" is \"{}\"; {remedy}", text.value);
        reader.report(text.offset, message);
    }
    value
}

/// Parses a duration such as `1500ms` or `2.5s` into milliseconds.
#[must_use]
pub fn parse_duration_ms(text: &str) -> Option<u64> {
    let (number, unit_ms) = match text.strip_suffix("ms") {
        Some(number) => (number, 1.0),
        None => (text.strip_suffix('s')?, 1_000.0),
    };
    let number: f64 = number.trim().parse().ok()?;
    let time = std::time::Duration::try_from_secs_f64(number * unit_ms / 1_000.0).ok()?;
    u64::try_from(time.as_millis()).ok()
}
