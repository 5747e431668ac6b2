//! Operators' queries: rows about upstreams, requests, instances and the configuration.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde_json::{Map, Value, json};

use crate::clock;
use crate::control::membership::Member;
use crate::error::{self, Kind, Result};
use crate::metrics::{self, Points};
use crate::node::Node;
use crate::operators::command::Show;
use crate::request::registry::Row as Request;
use crate::wire::Status;

/// How long a peer may take to answer a query.
const PEER_TIMEOUT_MS: u64 = 1_000;

/// One row of an answer: fields by name.
pub type Row = Map<String, Value>;

/// Answers a query.
///
/// # Errors
///
/// If a field doesn't exist.
pub async fn show(node: &Arc<Node>, show: &Show) -> Result<Vec<Row>> {
    if show.topic == "latency" {
        return latency(node, show).await;
    }
    let rows = match show.topic.as_str() {
        "upstreams" => upstreams(node),
        "requests" => requests(node).await,
        "organisations" => organisations(node),
        "services" => services(node),
        "models" => models(node),
        "routers" => routers(node).await,
        "config" => config(node),
        "history" => history(node),
        _ => orders(node),
    };
    let rows = filter(rows, show)?;
    match &show.by {
        Some(field) => group(&rows, field),
        None => Ok(rows),
    }
}

fn row(value: Value) -> Row {
    match value {
        Value::Object(row) => row,
        _ => Row::new(),
    }
}

fn filter(mut rows: Vec<Row>, show: &Show) -> Result<Vec<Row>> {
    for filter in &show.filters {
        check_field(&rows, &filter.name)?;
        rows.retain(|row| row.get(&filter.name).is_some_and(|value| text(value) == filter.value));
    }
    Ok(rows)
}

fn check_field(rows: &[Row], name: &str) -> Result<()> {
    let Some(first) = rows.first().filter(|row| !row.contains_key(name)) else { return Ok(()) };
    let hint = error::did_you_mean(name, first.keys().map(String::as_str));
    let known: Vec<_> = first.keys().map(String::as_str).collect();
    let detail = format!("no such field{hint}; there are {}", known.join(", "));
    Err(Kind::BadCommand { at: name.to_owned(), detail }.into())
}

fn group(rows: &[Row], field: &str) -> Result<Vec<Row>> {
    check_field(rows, field)?;
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for row in rows {
        *counts.entry(row.get(field).map(text).unwrap_or_default()).or_default() += 1;
    }
    let grouped =
        counts.into_iter().map(|(value, count)| row(json!({ field: value, "count": count })));
    Ok(grouped.collect())
}

/// A field's value as text, as operators read it and write it in filters.
pub fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(values) => values.iter().map(text).collect::<Vec<_>>().join(" "),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}

fn upstreams(node: &Node) -> Vec<Row> {
    let snapshot = node.snapshot();
    let now_ms = node.clock.now_ms();
    let rows = snapshot.upstreams.iter().map(|entry| {
        let report = &entry.report;
        row(json!({
            "upstream": report.addr,
            "service": report.service,
            "domain": report.domain,
            "state": entry.state.to_string(),
            "running": report.load.running,
            "waiting": report.load.waiting,
            "slots": report.load.slots,
            "models": report.load.models,
            "age_ms": now_ms.saturating_sub(entry.received_ms),
        }))
    });
    rows.collect()
}

async fn requests(node: &Arc<Node>) -> Vec<Row> {
    let mut rows = Vec::new();
    for (member, requests) in ask_all::<Vec<Request>>(node, "/peer/rows").await {
        for request in requests.unwrap_or_default() {
            let age_ms = clock::wall_ms().saturating_sub(request.since_ms);
            rows.push(row(json!({
                "request": request.key,
                "organisation": request.organisation,
                "service": request.service,
                "state": request.state,
                "router": member.id,
                "upstream": request.upstream,
                "attempts": request.attempts,
                "tokens": request.tokens,
                "age_ms": age_ms,
            })));
        }
    }
    rows
}

fn organisations(node: &Node) -> Vec<Row> {
    let document = Arc::clone(&node.snapshot().document);
    let rows = document.organisations.iter().map(|(name, organisation)| {
        row(json!({
            "organisation": name,
            "weight": organisation.weight,
            "queue": organisation.queue,
        }))
    });
    rows.collect()
}

fn services(node: &Node) -> Vec<Row> {
    let document = Arc::clone(&node.snapshot().document);
    let rows = document.services.iter().map(|(name, service)| {
        row(json!({
            "service": name,
            "kind": format!("{:?}", service.kind).to_lowercase(),
            "repeat": if service.repeat { "always" } else { "never" },
            "hedge": if service.hedge { "on" } else { "off" },
            "fencing": if service.checks_fencing { "checked" } else { "ignored" },
            "queue": service.queue,
            "concurrency": service.concurrency,
            "deadline_ms": service.deadline_ms,
        }))
    });
    rows.collect()
}

fn models(node: &Node) -> Vec<Row> {
    let document = Arc::clone(&node.snapshot().document);
    let rows = document.models.iter().map(|(name, model)| {
        row(json!({
            "model": name,
            "version": model.version,
            "service": model.service,
            "adapters": model.adapters,
            "domains": model.domains,
        }))
    });
    rows.collect()
}

async fn routers(node: &Arc<Node>) -> Vec<Row> {
    let asked = ask_all::<Status>(node, "/peer/status").await;
    let rows = asked.into_iter().map(|(member, status)| {
        let mut fields = row(json!({
            "router": member.id,
            "domain": member.domain,
            "address": member.addr,
            "state": if status.is_some() { "serving" } else { "unreachable" },
        }));
        if let Some(status) = status {
            fields.insert("revision".to_owned(), json!(status.revision));
            fields.insert("epoch".to_owned(), json!(status.epoch));
            fields.insert(
                "claims".to_owned(),
                json!(if status.is_ready { "ready" } else { "syncing" }),
            );
        }
        fields
    });
    rows.collect()
}

fn config(node: &Node) -> Vec<Row> {
    let snapshot = node.snapshot();
    let document = &snapshot.document;
    vec![row(json!({
        "revision": document.revision,
        "epoch": snapshot.table.epoch(),
        "services": document.services.len(),
        "organisations": document.organisations.len(),
        "models": document.models.len(),
        "drained": document.drained.len(),
    }))]
}

fn history(node: &Node) -> Vec<Row> {
    let document = Arc::clone(&node.snapshot().document);
    let rows = document.history.iter().rev().map(|change| {
        row(json!({
            "revision": change.revision,
            "at_ms": change.at_ms,
            "operator": change.operator,
            "subject": change.subject,
            "command": change.command,
            "command_id": change.command_id,
        }))
    });
    rows.collect()
}

fn orders(node: &Node) -> Vec<Row> {
    let snapshot = node.snapshot();
    let rows = snapshot.upstreams.iter().map(|entry| {
        let report = &entry.report;
        let wanted = snapshot.document.wanted_models(&report.service, &report.domain);
        let loaded: BTreeSet<_> = report.load.models.iter().cloned().collect();
        let is_done = wanted.is_empty() || wanted == loaded;
        row(json!({
            "upstream": report.addr,
            "wanted": wanted,
            "loaded": loaded,
            "state": if is_done { "done" } else { "due" },
        }))
    });
    rows.collect()
}

async fn latency(node: &Arc<Node>, show: &Show) -> Result<Vec<Row>> {
    let by = show.by.as_deref().unwrap_or("organisation");
    let asked = ask_all::<Vec<Points>>(node, "/peer/points").await;
    let mut groups: BTreeMap<Arc<str>, Vec<Points>> = BTreeMap::new();
    for points in asked.into_iter().filter_map(|(_, points)| points).flatten() {
        let key = match by {
            "organisation" => Arc::clone(&points.organisation),
            "service" | "class" => Arc::clone(&points.service),
            _ => {
                let detail = "latency is shown by organisation or by service".to_owned();
                return Err(Kind::BadCommand { at: by.to_owned(), detail }.into());
            }
        };
        groups.entry(key).or_default().push(points);
    }
    let mut rows = Vec::new();
    for (key, points) in &groups {
        rows.push(latency_row(by, key, "first", points.iter().flat_map(|p| &p.first)));
        rows.push(latency_row(by, key, "whole", points.iter().flat_map(|p| &p.total)));
        rows.push(latency_row(by, key, "resume", points.iter().flat_map(|p| &p.resume)));
    }
    rows.retain(|row| row.get("count").is_some_and(|count| *count != json!(0)));
    filter(rows, show)
}

fn latency_row<'a>(
    by: &str,
    key: &str,
    time: &str,
    points: impl Iterator<Item = &'a metrics::Point>,
) -> Row {
    let summary = metrics::summarise(points);
    row(json!({
        by: key,
        "time": time,
        "count": summary.count,
        "p50_ms": summary.p50_ms,
        "p95_ms": summary.p95_ms,
        "p99_ms": summary.p99_ms,
        "max_ms": summary.max_ms,
    }))
}

/// Sends one request to every member concurrently.
pub async fn ask_all<T>(node: &Arc<Node>, path: &'static str) -> Vec<(Member, Option<T>)>
where
    T: serde::de::DeserializeOwned + Send + 'static,
{
    let table = node.tables.borrow().clone();
    let mut asked = Vec::new();
    for member in &table.roster.members {
        let client = node.peers.clone();
        let addr = Arc::clone(&member.addr);
        let answer =
            tokio::spawn(async move { client.post(&addr, path, &(), PEER_TIMEOUT_MS).await });
        asked.push((member.clone(), answer));
    }
    let mut answers = Vec::new();
    for (member, answer) in asked {
        answers.push((member, answer.await.unwrap_or_default()));
    }
    answers
}

/// The history of one request, from all instances that know it.
pub async fn explain(node: &Arc<Node>, request: &str) -> Vec<Row> {
    let mut rows = Vec::new();
    let is_meant = |key: &str| key == request || key.split('/').nth(1) == Some(request);
    for (member, requests) in ask_all::<Vec<Request>>(node, "/peer/rows").await {
        let meant = requests.unwrap_or_default().into_iter().filter(|r| is_meant(&r.key));
        for request in meant {
            let events = request.events.join("; ");
            rows.push(row(json!({
                "request": request.key,
                "router": member.id,
                "state": request.state,
                "tokens": request.tokens,
                "attempts": request.attempts,
                "course": events,
            })));
        }
    }
    rows.extend(held_record(node, request).await);
    rows
}

/// This instance's record of a request, if it is one of the holders.
async fn held_record(node: &Node, key: &str) -> Option<Row> {
    let record = node.ledger.record(key).await?;
    Some(row(json!({
        "request": key,
        "router": node.me.id,
        "state": if record.outcome.is_some() { "settled" } else { "claimed" },
        "tokens": record.journal.len(),
        "attempts": record.term,
        "course": format!("record held here; owner {}, term {}", record.owner.id, record.term),
    })))
}
