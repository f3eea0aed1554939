//! What each command of the operators' program does.

use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Serialize;
use thiserror::Error;

use super::args::{CheckArgs, CurrentArgs, ExplainArgs, PublishArgs, ShowArgs};
use super::edit::set_state;
use super::exit_codes::Exit;
use super::output::Output;
use super::publish::{PublishError, Stream};
use crate::connection::log::{LogError, platform_client};
use crate::process::admin::Status;
use crate::process::decisions::{DecisionFilter, DecisionRecord};
use crate::version::objects::{self, Objects};
use crate::version::reader::Problem;

/// Time in which an instance must answer an operator.
const ANSWER_LIMIT: Duration = Duration::from_secs(3);
/// Times that a change of a data centre is made anew after a lost race.
const EDIT_TRIES: usize = 5;

/// Why a command did not succeed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// A file cannot be read.
    #[error("{path} cannot be read: {error}; name an existing file")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system says.
        error: std::io::Error,
    },
    /// A set has faults.
    #[error("the set has {} fault(s):\n{}", .0.len(), join(.0))]
    Faulty(Vec<Problem>),
    /// A publish did not win.
    #[error(transparent)]
    Publish(#[from] PublishError),
    /// The log gave no answer.
    #[error(transparent)]
    Log(#[from] LogError),
    /// The set in force has no such data centre.
    #[error("the set in force has no data centre \"{0}\" with a state; see \"current\"")]
    DataCentre(String),
    /// Nothing is published yet.
    #[error("nothing is published yet; publish a set first")]
    NothingPublished,
    /// No instance answered.
    #[error("no instance at {0} answered; see whether they are up")]
    NoInstance(String),
    /// The system failed.
    #[error("the system failed: {0}; try again")]
    System(#[from] std::io::Error),
}

fn join(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

impl CommandError {
    /// The exit code for it.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Unreadable { .. } | Self::Faulty(_) | Self::DataCentre(_) => Exit::BadInput,
            Self::Publish(PublishError::LostRace { .. }) => Exit::LostRace,
            _ => Exit::Failure,
        }
    }
}

#[derive(Serialize)]
struct Checked {
    services: usize,
    data_centres: usize,
    organisations: usize,
}

#[derive(Serialize)]
struct Published {
    version: u64,
}

#[derive(Serialize)]
struct Shown {
    instances: Vec<Status>,
    silent: Vec<String>,
}

/// Checks a set.
///
/// # Errors
/// Where it cannot be read or has faults.
pub fn check(args: &CheckArgs, output: Output) -> Result<Exit, CommandError> {
    let text = read(&args.file)?;
    let objects = parse(&text, &args.file)?;
    let checked = Checked {
        services: objects.services.len(),
        data_centres: objects.data_centres.len(),
        organisations: objects.organisations.len(),
    };
    output.result(&checked, |checked| {
        format!(
            "the set is good: {} services, {} data centres, {} organisations",
            checked.services, checked.data_centres, checked.organisations
        )
    });
    Ok(Exit::Success)
}

/// Publishes a set.
///
/// # Errors
/// Where it has faults or did not win.
pub async fn publish(args: &PublishArgs, output: Output) -> Result<Exit, CommandError> {
    let text = read(&args.file)?;
    parse(&text, &args.file)?;
    let mut stream = Stream::open(&args.log).await?;
    let based_on = args.based_on.unwrap_or(stream.accepted().version);
    let version = stream.publish(&text, based_on, &args.author).await?;
    report_published(version, output);
    Ok(Exit::Success)
}

/// Prints the set in force.
///
/// # Errors
/// Where there is none.
pub async fn current(args: &CurrentArgs, output: Output) -> Result<Exit, CommandError> {
    #[derive(Serialize)]
    struct Current {
        version: u64,
        author: String,
        text: String,
    }
    let stream = Stream::open(&args.log).await?;
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

/// Takes a data centre out or brings it back.
///
/// # Errors
/// Where the data centre is unknown or the publish did not win.
pub async fn set_presence(
    log: &str,
    data_centre: &str,
    state: &str,
    author: &str,
    output: Output,
) -> Result<Exit, CommandError> {
    let mut tries = 0;
    loop {
        let mut stream = Stream::open(log).await?;
        let accepted = stream.accepted().clone();
        if accepted.version == 0 {
            return Err(CommandError::NothingPublished);
        }
        let text = set_state(&accepted.text, data_centre, state)
            .ok_or_else(|| CommandError::DataCentre(data_centre.to_owned()))?;
        parse(&text, Path::new("the set in force"))?;
        tries += 1;
        match stream.publish(&text, accepted.version, author).await {
            Ok(version) => {
                report_published(version, output);
                return Ok(Exit::Success);
            }
            // The change is made anew from the set that won.
            Err(PublishError::LostRace { .. }) if tries < EDIT_TRIES => {}
            Err(error) => return Err(error.into()),
        }
    }
}

/// Shows what is in force where.
///
/// # Errors
/// Where no instance answers.
pub async fn show(args: &ShowArgs, output: Output) -> Result<Exit, CommandError> {
    let mut shown = Shown {
        instances: Vec::new(),
        silent: Vec::new(),
    };
    for address in args.instances.split(',') {
        match ask::<Status>(address, "/status").await {
            Some(status) => shown.instances.push(status),
            None => shown.silent.push(address.to_owned()),
        }
    }
    if shown.instances.is_empty() {
        return Err(CommandError::NoInstance(args.instances.clone()));
    }
    output.result(&shown, show_text);
    let newest = shown.instances.iter().map(|status| status.version).max();
    let is_everywhere = shown
        .instances
        .iter()
        .all(|status| Some(status.version) == newest);
    if is_everywhere && shown.silent.is_empty() {
        Ok(Exit::Success)
    } else {
        Ok(Exit::NotInForce)
    }
}

fn show_text(shown: &Shown) -> String {
    let mut lines = Vec::new();
    for status in &shown.instances {
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
    for address in &shown.silent {
        lines.push(format!("{address}: no answer"));
    }
    lines.join("\n")
}

/// Explains recent decisions.
///
/// # Errors
/// Where no instance answers.
pub async fn explain(args: &ExplainArgs, output: Output) -> Result<Exit, CommandError> {
    #[derive(Serialize)]
    struct Explained {
        instance: String,
        decisions: Vec<DecisionRecord>,
    }
    let filter = DecisionFilter {
        service: args.service.clone(),
        target: args.target.clone(),
        call: args.call.clone(),
    };
    let mut explained = Vec::new();
    for address in args.instances.split(',') {
        if let Some(decisions) = ask(address, &query(&filter)).await {
            explained.push(Explained {
                instance: address.to_owned(),
                decisions,
            });
        }
    }
    if explained.is_empty() {
        return Err(CommandError::NoInstance(args.instances.clone()));
    }
    output.result(&explained, |explained| {
        let mut lines = Vec::new();
        for found in explained {
            for decided in &found.decisions {
                lines.push(format!(
                    "{} at {} ms: {} {} of {} to \"{}\" because {}",
                    found.instance,
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

fn query(filter: &DecisionFilter) -> String {
    let parts = [
        ("service", &filter.service),
        ("target", &filter.target),
        ("call", &filter.call),
    ];
    let mut text = String::from("/decisions");
    let mut joint = '?';
    for (name, value) in parts {
        if let Some(value) = value {
            text.push(joint);
            text.push_str(name);
            text.push('=');
            text.push_str(value);
            joint = '&';
        }
    }
    text
}

/// Prints the hash of an API key.
///
/// # Errors
/// Where standard input cannot be read.
pub fn hash_key(output: Output) -> Result<Exit, CommandError> {
    let mut line = String::new();
    std::io::stdin().read_line(&mut line)?;
    let hash = objects::hash_api_key(line.trim_end_matches(['\r', '\n']));
    output.result(&hash, Clone::clone);
    Ok(Exit::Success)
}

fn report_published(version: u64, output: Output) {
    output.result(&Published { version }, |published| {
        format!("published version {}", published.version)
    });
}

fn read(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|error| CommandError::Unreadable {
        path: path.to_owned(),
        error,
    })
}

fn parse(text: &str, path: &Path) -> Result<Objects, CommandError> {
    Objects::parse(text, &path.display().to_string()).map_err(CommandError::Faulty)
}

async fn ask<T: for<'de> serde::Deserialize<'de>>(address: &str, path: &str) -> Option<T> {
    let request = platform_client().get(format!("http://{address}{path}"));
    let response = request.timeout(ANSWER_LIMIT).send().await.ok()?;
    response.json().await.ok()
}
