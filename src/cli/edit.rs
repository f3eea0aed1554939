//! Changes a data centre's state in the text of the objects.

use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

/// Returns the text with the data centre's state replaced; comments and layout
/// stay.
///
/// `None` if the text can't be parsed or has no such data centre with a state.
#[must_use]
pub fn set_state(text: &str, data_centre: &str, state: &str) -> Option<String> {
    let options = ParseOptions::default();
    let parsed = parse_to_ast(text, &CollectOptions::default(), &options).ok()?;
    let Some(Value::Object(root)) = &parsed.value else {
        return None;
    };
    for element in &root.get_array("data_centres")?.elements {
        let Value::Object(object) = element else {
            continue;
        };
        let name = object.get_string("name")?;
        if name.value != data_centre {
            continue;
        }
        let range = object.get_string("state")?.range();
        let mut edited = text[..range.start].to_owned();
        edited.push('"');
        edited.push_str(state);
        edited.push('"');
        edited.push_str(&text[range.end..]);
        return Some(edited);
    }
    None
}
