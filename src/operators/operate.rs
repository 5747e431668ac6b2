//! Serves operators' queries and commands.
//!
//! A change is a compare-and-swap of the whole configuration in the store. The answer says that it
//! was accepted only once the store has it, and how many instances have applied it
//! ([docs/DESIGN.md](../../docs/DESIGN.md#configuration)).

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock;
use crate::control;
use crate::control::control_loop::DOCUMENT_KEY;
use crate::error::{Error, Kind, Result};
use crate::node::Node;
use crate::operators::change;
use crate::operators::command::{self, Command};
use crate::operators::document::{Change, Document};
use crate::operators::query::{self, Row};
use crate::store::{Entry, Write, Written};
use crate::wire::Status;

/// How often a change is attempted when it conflicts with other operators' changes.
const MAX_ATTEMPTS: u32 = 12;
/// How often the outcome of a write with a lost reply is looked up.
const MAX_LOOKUPS: u32 = 4;
/// The wait between look-ups.
const LOOKUP_INTERVAL_MS: u64 = 300;
/// How long an answer waits until all instances have applied a change.
const APPLY_TIMEOUT_MS: u64 = 5_000;
/// How often that is checked.
const APPLY_CHECK_INTERVAL_MS: u64 = 50;

/// An operator's request.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct OperatorRequest {
    /// The query or command.
    pub command: String,
    /// A unique id, so that a command can be retried after a lost reply.
    #[serde(default)]
    pub command_id: Option<String>,
    /// Whether to answer with a preview and change nothing.
    #[serde(default)]
    pub dry_run: bool,
    /// Who sends it, for the history.
    #[serde(default)]
    pub operator: Option<String>,
    /// The revision on which the operator based the command.
    #[serde(default)]
    pub if_revision: Option<u64>,
}

/// The answer to an operator.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Answer {
    /// The configuration's revision, after the change if there was one.
    pub revision: u64,
    /// What was changed, or would be.
    pub summary: String,
    /// The rows of a query.
    pub rows: Vec<Row>,
    /// How many instances have applied the revision.
    pub in_force: usize,
    /// How many instances there are.
    pub of: usize,
    /// Instances that haven't applied it yet.
    pub missing: Vec<String>,
    /// The id of the change in the history.
    pub command_id: Option<String>,
}

/// Answers a query or carries out a command.
///
/// # Errors
///
/// Each kind says whether anything was changed, and what to do.
pub async fn answer(node: &Arc<Node>, question: OperatorRequest) -> Result<Answer> {
    let command = command::parse(&question.command)?;
    match &command {
        Command::Show(show) => {
            let rows = query::show(node, show).await?;
            Ok(Answer { rows, ..without_change(node) })
        }
        Command::Explain { request } => {
            let rows = query::explain(node, request).await;
            Ok(Answer { rows, ..without_change(node) })
        }
        _ => change_config(node, &question, &command).await,
    }
}

fn without_change(node: &Node) -> Answer {
    Answer { revision: node.snapshot().document.revision, ..Answer::default() }
}

async fn change_config(
    node: &Arc<Node>,
    question: &OperatorRequest,
    command: &Command,
) -> Result<Answer> {
    let generated = || format!("{:016x}", fastrand::u64(..));
    let command_id = question.command_id.clone().unwrap_or_else(generated);
    let mut seen_revision = question.if_revision;
    for _ in 0..MAX_ATTEMPTS {
        let current = read_current(node).await?;
        if let Some(change) = current.document.change_by(&command_id) {
            let summary = format!("was applied before: {}", change.command);
            let revision = change.revision;
            node.tell(control::Event::Accepted(Arc::new(current.document)));
            return Ok(in_force(node, revision, summary, command_id).await);
        }
        let mut document = current.document;
        let base = *seen_revision.get_or_insert(document.revision);
        let effect = apply(node, &mut document, command)?;
        refuse_conflicting(&document, base, &effect.subject, question)?;
        if question.dry_run {
            let summary = format!("would change: {}", effect.summary);
            return Ok(Answer { summary, ..without_change(node) });
        }
        document.record(Change {
            revision: 0,
            command_id: Arc::from(command_id.as_str()),
            subject: Arc::from(effect.subject),
            command: Arc::from(change::redact(&question.command)),
            operator: Arc::from(question.operator.as_deref().unwrap_or("unnamed")),
            at_ms: clock::wall_ms(),
        });
        match write(node, &document, current.store_revision).await {
            Written::Applied { .. } => {
                let revision = document.revision;
                log_change(node, &document);
                node.tell(control::Event::Accepted(Arc::new(document)));
                return Ok(in_force(node, revision, effect.summary, command_id).await);
            }
            Written::NotSent => {
                return Err(Kind::StoreDown { detail: "the write was refused".to_owned() }.into());
            }
            Written::Unknown => wait_for_store(node, &command_id).await?,
            // Another operator's write won; the next attempt checks whether the two conflict.
            Written::Refused(_) => {}
        }
    }
    Err(Error::refused(
        "the configuration changes too often now; nothing was changed, run it again",
    ))
}

/// The configuration in the store.
struct Current {
    document: Document,
    store_revision: u64,
}

async fn read_current(node: &Node) -> Result<Current> {
    let known = node.snapshot().document.revision;
    let current = match node.store.read(DOCUMENT_KEY).await? {
        Some(Entry { value, revision }) => Current {
            document: serde_json::from_str(&value).map_err(Error::internal)?,
            store_revision: revision,
        },
        None => Current { document: Document::default(), store_revision: 0 },
    };
    let found = current.document.revision;
    if found < known {
        return Err(Kind::StoreStale { found, known }.into());
    }
    Ok(current)
}

fn apply(node: &Node, document: &mut Document, command: &Command) -> Result<change::Effect> {
    let Command::Stop { router } = command else { return change::apply(document, command) };
    let snapshot = node.snapshot();
    let roster = &snapshot.table.roster;
    let Some(member) = roster.member(router) else {
        let hint = crate::error::did_you_mean(router, roster.members.iter().map(|m| &*m.id));
        return Err(Error::refused(format!(
            "router {router} is not there{hint}; see 'show routers'"
        )));
    };
    document.stopping.retain(|entry| {
        entry.split_once('#').is_some_and(|(id, incarnation)| {
            roster.member(id).is_some_and(|m| m.incarnation.to_string() == incarnation)
        })
    });
    Ok(change::stop(document, router, member.incarnation))
}

fn refuse_conflicting(
    document: &Document,
    base: u64,
    subject: &str,
    question: &OperatorRequest,
) -> Result<()> {
    let Some(other) = document.change_since(base, subject) else { return Ok(()) };
    Err(Kind::Raced {
        subject: subject.to_owned(),
        revision: other.revision,
        command: other.command.to_string(),
        operator: other.operator.to_string(),
        retry: change::redact(&question.command),
    }
    .into())
}

async fn write(node: &Node, document: &Document, expect: u64) -> Written {
    let value = serde_json::to_string(document).unwrap_or_default();
    node.store.write(DOCUMENT_KEY, Write { value, expect, lease: None }).await
}

/// Waits until the store can be read after a write whose reply was lost.
async fn wait_for_store(node: &Node, command_id: &str) -> Result<()> {
    for _ in 0..MAX_LOOKUPS {
        tokio::time::sleep(Duration::from_millis(LOOKUP_INTERVAL_MS)).await;
        if read_current(node).await.is_ok() {
            // The next attempt finds the change by its id, or makes it.
            return Ok(());
        }
    }
    Err(Kind::StoreUnknown { command_id: command_id.to_owned() }.into())
}

fn log_change(node: &Node, document: &Document) {
    if let Some(change) = document.history.last() {
        slog::info!(node.log, "the configuration has changed"; "revision" => change.revision,
            "command" => &*change.command, "operator" => &*change.operator);
    }
}

async fn in_force(node: &Arc<Node>, revision: u64, summary: String, command_id: String) -> Answer {
    let timeout_at_ms = node.clock.now_ms() + APPLY_TIMEOUT_MS;
    loop {
        let asked = query::ask_all::<Status>(node, "/peer/status").await;
        let has = |status: &Option<Status>| status.as_ref().is_some_and(|s| s.revision >= revision);
        let of = asked.len();
        let lacking = asked.into_iter().filter(|(_, status)| !has(status));
        let missing: Vec<_> = lacking.map(|(member, _)| member.id.to_string()).collect();
        if missing.is_empty() || node.clock.now_ms() > timeout_at_ms {
            let in_force = of - missing.len();
            let command_id = Some(command_id);
            let rows = Vec::new();
            return Answer { revision, summary, rows, in_force, of, missing, command_id };
        }
        tokio::time::sleep(Duration::from_millis(APPLY_CHECK_INTERVAL_MS)).await;
    }
}

/// The status of this instance.
pub async fn status(node: &Node) -> Status {
    let snapshot = node.snapshot();
    let ledger = node.ledger.status().await;
    let copies = node.peers.traffic();
    Status {
        id: Arc::clone(&node.me.id),
        incarnation: node.me.incarnation,
        revision: snapshot.document.revision,
        epoch: snapshot.table.epoch(),
        is_ready: ledger.is_some_and(|ledger| ledger.is_ready),
        control_sent_bytes: node.control_traffic.sent_bytes.load(Ordering::Relaxed),
        control_received_bytes: node.control_traffic.received_bytes.load(Ordering::Relaxed),
        copy_bytes: copies.sent_bytes.load(Ordering::Relaxed)
            + copies.received_bytes.load(Ordering::Relaxed),
    }
}
