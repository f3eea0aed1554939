//! The configuration objects that the tests publish.

use chicorywing::version::objects::hash_api_key;

/// API key of the paying organisation.
pub const PAYING_KEY: &str = "paying-key";
/// API key of the trial organisation.
pub const TRIAL_KEY: &str = "trial-key";

/// Returns objects with three data centres, one of which may be `out`, and the service
/// `orders`.
pub fn object_set(out: Option<&str>) -> String {
    let mut data_centres = Vec::new();
    for name in ["a", "b", "c"] {
        let state = if Some(name) == out { "out" } else { "in" };
        data_centres.push(format!(
            "{{ \"name\": \"{name}\", \"region\": \"r\", \"state\": \"{state}\" }}"
        ));
    }
    let (data_centres, paying, trial) = (
        data_centres.join(","),
        hash_api_key(PAYING_KEY),
        hash_api_key(TRIAL_KEY),
    );
    format!(
        r#"{{
  "data_centres": [{data_centres}],
  "tiers": [{{ "name": "p", "kind": "paying" }}, {{ "name": "t", "kind": "trial" }}],
  "organisations": [
    {{ "name": "payer", "tier": "p", "key_hashes": ["{paying}"] }},
    {{ "name": "trier", "tier": "t", "key_hashes": ["{trial}"] }}
  ],
  "services": [
    {{
      "name": "orders", "slots": 2, "cold_slots": 1, "run_limit_ms": 1500,
      "body_limit_bytes": 8388608, "data_centres": ["a", "b", "c"]
    }}
  ]
}}"#
    )
}
