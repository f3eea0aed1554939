//! Writes results as text for people or as JSON.

use serde::Serialize;

/// Where and how results go.
#[derive(Clone, Copy, Debug)]
pub struct Output {
    is_json: bool,
}

impl Output {
    /// Output in the chosen form.
    #[must_use]
    pub fn new(is_json: bool) -> Self {
        Self { is_json }
    }

    /// Writes a result; `text` gives its form for people.
    pub fn result<T: Serialize>(self, value: &T, text: impl FnOnce(&T) -> String) {
        if !self.is_json {
            println!("{}", text(value));
            return;
        }
        match serde_json::to_string(value) {
            Ok(json) => println!("{json}"),
            Err(error) => self.error(&error.to_string()),
        }
    }

    /// Writes an error for people.
    pub fn error(self, message: &str) {
        if self.is_json {
            let json = serde_json::json!({ "error": message });
            eprintln!("{json}");
        } else {
            eprintln!("chicorywing: {message}");
        }
    }
}
