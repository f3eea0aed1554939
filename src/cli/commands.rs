//! The commands of the operators' program.

use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Serialize;
use thiserror::Error;

use super::args::{CheckArgs, CurrentArgs, ExplainArgs, PublishArgs, ShowArgs};
use super::edit::set_state;
use super::exit_codes::Exit;
use super::output::Output;
use super::publish::{ConfigurationStream, PublishError};
use crate::connection::log::{LogError, platform_client};
use crate::process::admin::Status;
use crate::process::decisions::{DecisionFilter, DecisionRecord};
use crate::version::objects::{self, Objects};
use crate::version::reader::Problem;

/// Timeout of a request to an instance's admin address.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum attempts to publish a data centre's new state while other publishes
/// come first.
const MAX_EDIT_ATTEMPTS: usize = 5;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The file with the objects cannot be read.
    #[error("cannot read {path}: {error}; name a readable file")]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Cause, from the operating system.
        error: std::io::Error,
    },
    /// The objects are invalid.
    #[error("the objects have {} problem(s):\n{}", .0.len(), join_lines(.0))]
    InvalidObjects(Vec<Problem>),
    /// The publish failed or its result is unknown.
    #[error(transparent)]
    Publish(#[from] PublishError),
    /// The log cannot be read.
    #[error(transparent)]
    Log(#[from] LogError),
    /// The objects in force have no such data centre, or it has no state.
    #[error(
        "the objects in force have no data centre \"{0}\" with a state; \"current\" prints them"
    )]
    UnknownDataCentre(String),
    /// The log holds no accepted version.
    #[error("no objects are published yet; publish some first")]
    NothingPublished,
    /// None of the given instances answered.
    #[error("no instance at {0} answered; check the addresses and that the instances run")]
    NoInstanceAnswered(String),
    /// An operation of the operating system failed.
    #[error("operating system error: {0}; try again")]
    System(#[from] std::io::Error),
}

fn join_lines(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

impl CommandError {
    /// Exit code of the program after this error.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Unreadable { .. } | Self::InvalidObjects(_) | Self::UnknownDataCentre(_) => {
                Exit::BadInput
            }
            Self::Publish(PublishError::Conflict { .. }) => Exit::Conflict,
            _ => Exit::Failure,
        }
    }
}

#[derive(Serialize)]
struct CheckReport {
    services: usize,
    data_centres: usize,
    organisations: usize,
}

#[derive(Serialize)]
struct PublishReport {
    version: u64,
}

#[derive(Serialize)]
struct ShowReport {
    instances: Vec<Status>,
    #[serde(rename = "silent")]
    unresponsive: Vec<String>,
}

/// Checks a file of objects and prints how many it defines.
///
/// # Errors
/// [`CommandError::Unreadable`] if the file cannot be read, or
/// [`CommandError::InvalidObjects`] if its objects are invalid.
pub fn check(args: &CheckArgs, output: Output) -> Result<Exit, CommandError> {
    let text = read(&args.file)?;
    let objects = parse(&text, &args.file)?;
    let report = CheckReport {
        services: objects.services.len(),
        data_centres: objects.data_centres.len(),
        organisations: objects.organisations.len(),
    };
    output.result(&report, |report| {
        format!(
            "the objects are valid: {} services, {} data centres, {} organisations",
            report.services, report.data_centres, report.organisations
        )
    });
    Ok(Exit::Success)
}

/// Checks a file of objects and publishes it as the next version.
///
/// # Errors
/// [`CommandError::Unreadable`] or [`CommandError::InvalidObjects`] as in
/// [`check`], [`CommandError::Log`] if the log cannot be read, and
/// [`CommandError::Publish`] if the version was not accepted.
pub async fn publish(args: &PublishArgs, output: Output) -> Result<Exit, CommandError> {
    let text = read(&args.file)?;
    parse(&text, &args.file)?;
    let mut stream = ConfigurationStream::open(&args.log).await?;
    let based_on = args.based_on.unwrap_or(stream.accepted().version);
    let version = stream.publish(&text, based_on, &args.author).await?;
    report_published(version, output);
    Ok(Exit::Success)
}

/// Prints the objects in force.
///
/// # Errors
/// [`CommandError::Log`] if the log cannot be read, or
/// [`CommandError::NothingPublished`] if it holds no accepted version.
pub async fn current(args: &CurrentArgs, output: Output) -> Result<Exit, CommandError> {
    #[derive(Serialize)]
    struct Current {
        version: u64,
        author: String,
        text: String,
    }
    let stream = ConfigurationStream::open(&args.log).await?;
    let accepted = stream.accepted();
    if accepted.version == 0 {
        return Err(CommandError::NothingPublished);
    }
    let current = Current {
        version: accepted.version,
        author: accepted.author.to_string(),
        text: accepted.text.to_string(),
    };
    output.result(&current, |current| {
        format!(
            "// version {} by {}\n{}",
            current.version, current.author, current.text
        )
    });
    Ok(Exit::Success)
}

/// Publishes the objects in force with another state of one data centre.
///
/// When another publish comes first, the edit is repeated on the newer version.
///
/// # Errors
/// [`CommandError::UnknownDataCentre`] if the data centre is not among the
/// objects, [`CommandError::NothingPublished`] if there are none,
/// [`CommandError::InvalidObjects`] if the edited objects are invalid,
/// [`CommandError::Log`] if the log cannot be read, and
/// [`CommandError::Publish`] if no attempt was accepted.
pub async fn set_data_centre_state(
    log: &str,
    data_centre: &str,
    state: &str,
    author: &str,
    output: Output,
) -> Result<Exit, CommandError> {
    let mut attempts = 0;
    loop {
        let mut stream = ConfigurationStream::open(log).await?;
        let accepted = stream.accepted().clone();
        if accepted.version == 0 {
            return Err(CommandError::NothingPublished);
        }
        let text = set_state(&accepted.text, data_centre, state)
            .ok_or_else(|| CommandError::UnknownDataCentre(data_centre.to_owned()))?;
        parse(&text, Path::new("the objects in force"))?;
        attempts += 1;
        match stream.publish(&text, accepted.version, author).await {
            Ok(version) => {
                report_published(version, output);
                return Ok(Exit::Success);
            }
            // Another publish came first: repeat the edit on its objects.
            Err(PublishError::Conflict { .. }) if attempts < MAX_EDIT_ATTEMPTS => {}
            Err(error) => return Err(error.into()),
        }
    }
}

/// Shows the status of each instance.
///
/// Returns [`Exit::NotInForce`] if an instance doesn't answer or has an older
/// version than another.
///
/// # Errors
/// [`CommandError::NoInstanceAnswered`] if no instance answers.
pub async fn show(args: &ShowArgs, output: Output) -> Result<Exit, CommandError> {
    let mut report = ShowReport {
        instances: Vec::new(),
        unresponsive: Vec::new(),
    };
    for address in args.instances.split(',') {
        match fetch_json::<Status>(address, "/status").await {
            Some(status) => report.instances.push(status),
            None => report.unresponsive.push(address.to_owned()),
        }
    }
    if report.instances.is_empty() {
        return Err(CommandError::NoInstanceAnswered(args.instances.clone()));
    }
    output.result(&report, show_text);
    let newest = report.instances.iter().map(|status| status.version).max();
    let have_same_version = report
        .instances
        .iter()
        .all(|status| Some(status.version) == newest);
    if have_same_version && report.unresponsive.is_empty() {
        Ok(Exit::Success)
    } else {
        Ok(Exit::NotInForce)
    }
}

fn show_text(report: &ShowReport) -> String {
    let mut lines = Vec::new();
    for status in &report.instances {
        let ready = if status.is_ready {
            "ready"
        } else {
            "not ready"
        };
        lines.push(format!(
            "{} in {}: {ready}, version {}, sees {} instances, list {} ms old, {} keys",
            status.name,
            status.data_centre,
            status.version,
            status.members.len(),
            status.list_age_ms,
            status.keys
        ));
        for pool in &status.pools {
            lines.push(format!("  pool {} in {}", pool.service, pool.data_centre));
            for upstream in &pool.upstreams {
                lines.push(format!(
                    "    {}: {}, {} in flight, mean {} us",
                    upstream.name, upstream.life, upstream.in_flight, upstream.mean_us
                ));
            }
        }
    }
    for address in &report.unresponsive {
        lines.push(format!("{address}: no answer"));
    }
    lines.join("\n")
}

/// Prints recent decisions that match the filters, with their reasons.
///
/// # Errors
/// [`CommandError::NoInstanceAnswered`] if no instance answers.
pub async fn explain(args: &ExplainArgs, output: Output) -> Result<Exit, CommandError> {
    #[derive(Serialize)]
    struct InstanceDecisions {
        instance: String,
        decisions: Vec<DecisionRecord>,
    }
    let filter = DecisionFilter {
        service: args.service.clone(),
        target: args.target.clone(),
        call: args.call.clone(),
    };
    let mut results = Vec::new();
    for address in args.instances.split(',') {
        if let Some(decisions) = fetch_json(address, &decisions_path(&filter)).await {
            results.push(InstanceDecisions {
                instance: address.to_owned(),
                decisions,
            });
        }
    }
    if results.is_empty() {
        return Err(CommandError::NoInstanceAnswered(args.instances.clone()));
    }
    output.result(&results, |results| {
        let mut lines = Vec::new();
        for result in results {
            for decided in &result.decisions {
                lines.push(format!(
                    "{} at {} ms: {} {} of {} to \"{}\" because {}",
                    result.instance,
                    decided.at_ms,
                    decided.kind,
                    decided.call,
                    decided.service,
                    decided.target,
                    decided.reason
                ));
            }
        }
        lines.join("\n")
    });
    Ok(Exit::Success)
}

fn decisions_path(filter: &DecisionFilter) -> String {
    let parameters = [
        ("service", &filter.service),
        ("target", &filter.target),
        ("call", &filter.call),
    ];
    let mut path = String::from("/decisions");
    let mut separator = '?';
    for (name, value) in parameters {
        if let Some(value) = value {
            path.push(separator);
            path.push_str(name);
            path.push('=');
            path.push_str(value);
            separator = '&';
        }
    }
    path
}

/// Reads an API key from standard input and prints its hash.
///
/// # Errors
/// [`CommandError::System`] if standard input cannot be read.
pub fn hash_key(output: Output) -> Result<Exit, CommandError> {
    let mut line = String::new();
    std::io::stdin().read_line(&mut line)?;
    let hash = objects::hash_api_key(line.trim_end_matches(['\r', '\n']));
    output.result(&hash, Clone::clone);
    Ok(Exit::Success)
}

fn report_published(version: u64, output: Output) {
    output.result(&PublishReport { version }, |report| {
        format!("published version {}", report.version)
    });
}

fn read(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|error| CommandError::Unreadable {
        path: path.to_owned(),
        error,
    })
}

fn parse(text: &str, path: &Path) -> Result<Objects, CommandError> {
    Objects::parse(text, &path.display().to_string()).map_err(CommandError::InvalidObjects)
}

async fn fetch_json<T: for<'de> serde::Deserialize<'de>>(address: &str, path: &str) -> Option<T> {
    let request = platform_client().get(format!("http://{address}{path}"));
    let response = request.timeout(ANSWER_TIMEOUT).send().await.ok()?;
    response.json().await.ok()
}
