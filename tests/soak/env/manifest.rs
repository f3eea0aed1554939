//! The configuration that operators write.

use super::{SERVICES, Version};
use crate::slow_stops;

pub fn of(version: Version, seed: u64) -> serde_json::Value {
    let [bins, bookings] = SERVICES;
    let mut routes = serde_json::Map::new();
    let mut add = |name: &str, kind: &str, service: &str, attempts: u32| {
        let route = serde_json::json!({
            "host": "soak.test", "path-prefix": format!("/{name}/"), "kind": kind,
            "timeout": "1500ms", "target-latency": "400ms", "priority": 1,
            "service": service, "attempts": attempts,
        });
        routes.insert(name.to_owned(), route);
    };
    add("look", "safe", bins, 3);
    add("book", "unsafe", bookings, 2);
    add("move", "safe", version.moving_service(), 3);
    for number in 3..=version.number {
        add(&format!("new-{number}"), "safe", bins, 3);
    }
    if slow_stops::Play::of(seed).is_some() {
        let name = slow_stops::ROUTE;
        add(name, "safe", bins, 3);
        routes[name]["timeout"] = format!("{}ms", slow_stops::TIMEOUT_MS).into();
    }
    let service = serde_json::json!({
        "health-path": "/healthz", "max-conns": 220, "protocol": "h1", "tls": false,
        "warmup": "3s", "warmup-per-s": 4,
    });
    serde_json::json!({
        "version": version.number, "routes": routes, "base-rev": 0,
        "services": { bins: service, bookings: service },
        "limits": {
            "max-header-bytes": 16384, "max-body-bytes": 65536,
            "header-timeout": "3000ms", "idle-timeout": "15s",
        },
    })
}
