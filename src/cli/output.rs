//! Writes results and errors as text or as JSON.

use serde::Serialize;

/// Output format: text or JSON.
#[derive(Clone, Copy, Debug)]
pub struct Output {
    is_json: bool,
}

impl Output {
    /// Creates an output that writes JSON if `is_json`, else text.
    #[must_use]
    pub fn new(is_json: bool) -> Self {
        Self { is_json }
    }

    /// Writes a result to standard output; `text` formats it when not as JSON.
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

    /// Writes an error to standard error.
    pub fn error(self, message: &str) {
        if self.is_json {
            let json = serde_json::json!({ "error": message });
            eprintln!("{json}");
        } else {
            eprintln!("chicorywing: {message}");
        }
    }
}
