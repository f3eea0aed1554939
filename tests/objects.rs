//! Validation of sets of objects and of the settings file.

use chicorywing::process::config::Config;
use chicorywing::version::objects::Objects;
use googletest::prelude::*;

fn problems(text: &str) -> Vec<String> {
    match Objects::parse(text, "set") {
        Ok(_) => Vec::new(),
        Err(problems) => problems.iter().map(ToString::to_string).collect(),
    }
}

#[gtest]
fn example_files_are_valid() {
    for file in ["examples/kowhai.jsonc", "examples/swanline.jsonc"] {
        let text = std::fs::read_to_string(file).unwrap_or_default();

        expect_that!(problems(&text), is_empty(), "{file}");
    }
}

#[gtest]
fn every_problem_is_reported_with_its_line() {
    let text = r#"{
  "data_centres": [{ "name": "a", "region": "r", "state": "inn" }],
  "tiers": [{ "name": "t", "kind": "paying" }, { "name": "t", "kind": "trial" }],
  "organisations": [{ "name": "o", "tier": "nope", "key_hashes": [] }],
  "services": [
    { "name": "s", "slots": 2, "cold_slots": 3, "run_limit_ms": 0, "data_centres": ["b"] },
    { "name": "s2", "slots": 2, "cold_slots": 3, "run_limit_ms": 5, "data_centres": ["b"], "x": 1 }
  ]
}"#;

    let found = problems(text);

    expect_that!(
        found,
        unordered_elements_are![
            contains_substring("set:2: \"state\" is \"inn\""),
            contains_substring("set:3: a tier named \"t\" is defined twice"),
            contains_substring("set:4: no tier is named \"nope\""),
            contains_substring("set:6: \"run_limit_ms\" of a service must be"),
            contains_substring("set:7: \"cold_slots\" is 3 but \"slots\" is 2"),
            contains_substring("set:7: no data centre is named \"b\""),
            contains_substring("set:7: a service has no field \"x\""),
        ]
    );
}

#[gtest]
fn invalid_json_is_one_problem() {
    expect_that!(problems("{ \"a\": "), len(eq(1)));
    expect_that!(problems("[]"), elements_are![contains_substring("set:1")]);
}

#[gtest]
fn misspelled_setting_is_reported_as_unknown_and_missing() {
    let text = std::fs::read_to_string("examples/entry.jsonc").unwrap_or_default();
    let valid = Config::parse(&text, "settings");
    expect_that!(valid, ok(anything()));

    let text = text.replace("\"log_url\"", "\"log_ulr\"");
    let problems = Config::parse(&text, "settings").err().unwrap_or_default();

    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    expect_that!(
        lines,
        unordered_elements_are![
            contains_substring("lacks the field \"log_url\""),
            contains_substring("settings:8: the root has no field \"log_ulr\""),
        ]
    );
}
