//! Names that another writer chose and that are longer than any name.

use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use siskinrock::gateway::directory::Record;
use siskinrock::gateway::fleet::{MAX_NAME_BYTES, SoftwareVersion};
use siskinrock::gateway::metrics::{Metrics, Time};
use siskinrock::platform::document;
use siskinrock_fakes::caller;
use siskinrock_fakes::site::{ZONES, server_entry};
use yare::parameterized;

use crate::support;

fn entry(field: &str, value: &Value) -> Record {
    let addr = ([10, 0, 0, 1], 80).into();
    let mut entry = server_entry("booking-app", ZONES[0], "ready", addr);
    entry[field] = value.clone();
    document::decode("servers/a", entry.to_string().as_bytes(), 7).unwrap()
}

/// Guards against names as long as a value of the directory in logs, labels and messages to peers.
#[parameterized(service = { "backend" }, domain = { "zone" })]
fn an_entry_with_a_long_name_is_unusable(field: &str) {
    let longest = "n".repeat(MAX_NAME_BYTES);
    assert!(matches!(entry(field, &json!(longest)), Record::Upstream(_)));
    assert!(matches!(entry(field, &json!(longest + "n")), Record::ForeignUpstream { .. }));
}

#[test]
fn a_long_version_is_unknown() {
    let long = "v".repeat(MAX_NAME_BYTES + 1);
    let Record::Upstream(upstream) = entry("version", &json!(long)) else { panic!("unusable") };
    assert_eq!(upstream.version, SoftwareVersion::Unknown);
}

/// Guards against labels that grow with the names that others choose.
#[test]
fn labels_are_bounded_in_number_and_length() {
    const NAMES: usize = 4_000;
    let metrics = Metrics::default();
    for number in 0..NAMES {
        let name: Arc<str> = Arc::from(format!("{number}\"\n{}", "n".repeat(1_000)));
        metrics.record(Time::Whole, &name, &name, 5);
    }
    let text = metrics.render();
    assert!(text.len() < 2_000_000, "{} bytes", text.len());
    assert!(text.lines().all(|line| line.starts_with("siskinrock_") && line.len() < 1_000));
    assert!(text.contains("organisation=\"other\",class=\"other\""));
}

/// Guards against a log that grows by megabytes with a name that another writer chose.
#[parameterized(service = { "backend" }, domain = { "zone" }, version = { "version" }, state = { "state" })]
#[test_macro(tokio::test)]
async fn a_name_of_900_kb_adds_little_to_the_log(field: &str) {
    const NAME_BYTES: usize = 900 << 10;
    const MOST_LOG_BYTES: usize = 64 << 10;
    let running = support::start(1).await;
    let addr = running.site.services[0].addr;
    let mut entry = server_entry("booking-app", ZONES[0], "ready", addr);
    let before = running.gateways[0].logged().len();
    for sequence in 0..5 {
        entry["sequence"] = json!(sequence);
        entry[field] = json!("n".repeat(NAME_BYTES));
        running.site.store.put("servers/odd", &entry);
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let sent = support::call("GET", "/look/a");
    let answer = caller::send(running.front(0), &sent).await.unwrap();
    assert_eq!(answer.status(), 200);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let logged_bytes = running.gateways[0].logged().len() - before;
    println!("{field}: {logged_bytes} bytes logged");
    assert!(logged_bytes < MOST_LOG_BYTES, "{logged_bytes} bytes");
}
