//! Reads JSON with comments and collects all problems with their lines.

use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use thiserror::Error;

/// One problem of a text: its place, cause and remedy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Name of the file or stream that holds the text.
    pub source: Arc<str>,
    /// Line number, from 1.
    pub line: usize,
    /// Cause and remedy, in one sentence.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.source, self.line, self.message)
    }
}

/// Why a settings file was rejected.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("the settings file {path} cannot be read: {error}; name an existing file")]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// The file's content is invalid.
    #[error("the settings are invalid:\n{}", join_lines(.0))]
    Invalid(Vec<Problem>),
}

fn join_lines(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
    lines.join("\n")
}

/// Loads a settings file; `read` reads and validates its root object.
///
/// # Errors
/// Returns [`SettingsError::Unreadable`] if the file cannot be read, and
/// [`SettingsError::Invalid`] with all problems if its content is invalid.
pub fn load<T>(path: &Path, read: ReadRoot<T>) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
        path: path.to_owned(),
        error,
    })?;
    parse(&text, &path.display().to_string(), read).map_err(SettingsError::Invalid)
}

/// Function that reads a value from the fields of the root object and reports
/// problems to the reader.
pub type ReadRoot<T> = fn(&mut Reader<'_>, &mut Fields<'_>) -> Option<T>;

/// Parses a text; `read` reads and validates its root object.
///
/// # Errors
/// Returns all problems of the text, in order of lines.
pub fn parse<T>(text: &str, source: &str, read: ReadRoot<T>) -> Result<T, Vec<Problem>> {
    let mut reader = Reader::new(text, source);
    let value = reader.root().and_then(|mut fields| {
        let value = read(&mut reader, &mut fields);
        fields.finish(&mut reader);
        value
    });
    let problems = reader.into_problems();
    match value {
        Some(value) if problems.is_empty() => Ok(value),
        _ => Err(problems),
    }
}

/// Parser of one text that collects its problems.
#[derive(Debug)]
pub struct Reader<'t> {
    text: &'t str,
    source: Arc<str>,
    problems: Vec<Problem>,
}

impl<'t> Reader<'t> {
    /// Creates a reader of `text`, which problems name `source`.
    #[must_use]
    pub fn new(text: &'t str, source: &str) -> Self {
        Self {
            text,
            source: source.into(),
            problems: Vec::new(),
        }
    }

    /// Parses the text into its root object; reports a problem and returns
    /// `None` if the syntax is invalid or the root is not an object.
    pub fn root(&mut self) -> Option<Fields<'t>> {
        let options = ParseOptions {
            allow_loose_object_property_names: false,
            ..ParseOptions::default()
        };
        let parsed = match parse_to_ast(self.text, &CollectOptions::default(), &options) {
            Ok(parsed) => parsed,
            Err(error) => {
                let message = format!("the text is not JSON with comments: {}", error.kind());
                self.report(error.range().start, message);
                return None;
            }
        };
        if let Some(Value::Object(object)) = parsed.value {
            Some(Fields::new(object, "the root"))
        } else {
            self.report(0, "the root must be an object in braces".to_owned());
            None
        }
    }

    /// Records a problem at a byte offset of the text.
    pub fn report(&mut self, offset: usize, message: String) {
        let upto = offset.min(self.text.len());
        let before = self.text.get(..upto).unwrap_or_default();
        let newlines = before.matches('\n').count();
        self.problems.push(Problem {
            source: Arc::clone(&self.source),
            line: newlines + 1,
            message,
        });
    }

    /// Returns the recorded problems, in order of lines.
    #[must_use]
    pub fn into_problems(mut self) -> Vec<Problem> {
        self.problems.sort_by_key(|problem| problem.line);
        self.problems
    }
}

/// A value and its position in the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// Byte offset in the text, for problems.
    pub offset: usize,
}

/// The fields of one object, which its reader removes one at a time.
#[derive(Debug)]
pub struct Fields<'t> {
    object: Object<'t>,
    label: String,
    offset: usize,
}

impl<'t> Fields<'t> {
    fn new(object: Object<'t>, label: &str) -> Self {
        let offset = object.range.start;
        Self {
            object,
            label: label.to_owned(),
            offset,
        }
    }

    /// Byte offset of the object in the text, for problems.
    #[must_use]
    pub fn offset(&self) -> usize {
        self.offset
    }

    fn take(&mut self, name: &str) -> Option<ObjectProp<'t>> {
        let at = self
            .object
            .properties
            .iter()
            .position(|property| property.name.as_str() == name)?;
        Some(self.object.properties.remove(at))
    }

    fn take_required(&mut self, reader: &mut Reader<'_>, name: &str) -> Option<ObjectProp<'t>> {
        let found = self.take(name);
        if found.is_none() {
            let message = format!("{} lacks the field \"{name}\"; add it", self.label);
            reader.report(self.offset, message);
        }
        found
    }

    fn report_invalid(
        &self,
        reader: &mut Reader<'_>,
        name: &str,
        value: &Value<'_>,
        expected: &str,
    ) {
        let message = format!("\"{name}\" of {} must be {expected}", self.label);
        reader.report(value.range().start, message);
    }

    /// Takes a required string; an empty one is a problem.
    pub fn text(&mut self, reader: &mut Reader<'_>, name: &str) -> Option<Located<Arc<str>>> {
        let value = self.take_required(reader, name)?.value;
        self.as_text(reader, name, &value)
    }

    /// Takes an optional string; an empty one is a problem.
    pub fn optional_text(
        &mut self,
        reader: &mut Reader<'_>,
        name: &str,
    ) -> Option<Located<Arc<str>>> {
        let value = self.take(name)?.value;
        self.as_text(reader, name, &value)
    }

    /// Takes an optional string; an empty one counts as missing.
    pub fn text_or_empty(
        &mut self,
        reader: &mut Reader<'_>,
        name: &str,
    ) -> Option<Located<Arc<str>>> {
        let value = self.take(name)?.value;
        let text = value.as_string_lit();
        if text.is_some_and(|text| text.value.trim().is_empty()) {
            return None;
        }
        self.as_text(reader, name, &value)
    }

    fn as_text(
        &self,
        reader: &mut Reader<'_>,
        name: &str,
        value: &Value<'_>,
    ) -> Option<Located<Arc<str>>> {
        let text = value.as_string_lit().map(|text| text.value.as_ref());
        let Some(text) = text.filter(|text| !text.is_empty()) else {
            self.report_invalid(reader, name, value, "a string with at least one character");
            return None;
        };
        Some(Located {
            value: text.into(),
            offset: value.range().start,
        })
    }

    /// Takes a required whole number from `low` to `high`.
    pub fn number(
        &mut self,
        reader: &mut Reader<'_>,
        name: &str,
        low: u64,
        high: u64,
    ) -> Option<Located<u64>> {
        let value = self.take_required(reader, name)?.value;
        self.as_number(reader, name, &value, low, high)
    }

    /// Takes an optional whole number from `low` to `high`; returns `default` if
    /// it is missing or invalid.
    pub fn number_or(
        &mut self,
        reader: &mut Reader<'_>,
        name: &str,
        low: u64,
        high: u64,
        default: u64,
    ) -> Located<u64> {
        let offset = self.offset;
        let fallback = Located {
            value: default,
            offset,
        };
        let Some(property) = self.take(name) else {
            return fallback;
        };
        self.as_number(reader, name, &property.value, low, high)
            .unwrap_or(fallback)
    }

    fn as_number(
        &self,
        reader: &mut Reader<'_>,
        name: &str,
        value: &Value<'_>,
        low: u64,
        high: u64,
    ) -> Option<Located<u64>> {
        let number = value
            .as_number_lit()
            .and_then(|number| number.value.parse::<u64>().ok())
            .filter(|number| (low..=high).contains(number));
        let Some(number) = number else {
            let expected = format!("a whole number from {low} to {high}");
            self.report_invalid(reader, name, value, &expected);
            return None;
        };
        Some(Located {
            value: number,
            offset: value.range().start,
        })
    }

    /// Takes an optional list of strings; a missing one is empty.
    pub fn texts(&mut self, reader: &mut Reader<'_>, name: &str) -> Vec<Located<Arc<str>>> {
        let mut texts = Vec::new();
        let Some(property) = self.take(name) else {
            return texts;
        };
        let Value::Array(array) = &property.value else {
            self.report_invalid(reader, name, &property.value, "a list of strings");
            return texts;
        };
        for element in &array.elements {
            texts.extend(self.as_text(reader, name, element));
        }
        texts
    }

    /// Takes an optional list of objects, which problems name `label`.
    pub fn objects(&mut self, reader: &mut Reader<'_>, name: &str, label: &str) -> Vec<Fields<'t>> {
        let mut objects = Vec::new();
        let Some(property) = self.take(name) else {
            return objects;
        };
        let Value::Array(array) = property.value else {
            self.report_invalid(reader, name, &property.value, "a list of objects");
            return objects;
        };
        for element in array.elements {
            let Value::Object(object) = element else {
                self.report_invalid(reader, name, &element, "a list of objects");
                continue;
            };
            objects.push(Fields::new(object, label));
        }
        objects
    }

    /// Reports every field that is left: it is unknown or a duplicate.
    pub fn finish(self, reader: &mut Reader<'_>) {
        for property in &self.object.properties {
            let name = property.name.as_str();
            let message = format!(
                "{} has no field \"{name}\", or has it twice; remove or correct it",
                self.label
            );
            reader.report(property.range.start, message);
        }
    }
}
