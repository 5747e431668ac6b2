//! The operators' command line: one query or command, and its answer as a table or JSON.

use std::ffi::OsString;
use std::time::Duration;

use serde::Deserialize;

use crate::error::{Body, Error, Kind, Result};
use crate::limited;
use crate::operators::operate::{Answer, OperatorRequest};
use crate::operators::query;
use crate::settings::Environment;

/// The help of `siskinrock ctl`.
pub const HELP: &str = "\
siskinrock ctl: ask and command a running system

USAGE: siskinrock ctl [FLAGS] 'QUERY OR COMMAND'

  --router IP:PORT      SISKINROCK_ROUTER         any instance [127.0.0.1:7400]
  --operator-key KEY    SISKINROCK_OPERATOR_KEY   the operators' key (required)
  --operator NAME       SISKINROCK_OPERATOR       your name, for the history
  --json                                          print JSON instead of a table
  --dry-run                                       only show what would change
  --if-revision N                                 refuse if what you change was changed after N
  --command-id ID                                 the name of an earlier command whose reply was lost

QUERIES
  show upstreams | requests | organisations | services | models | routers
       | config | config history | latency | orders  [by FIELD] [where FIELD = VALUE and ...]
  explain request KEY
COMMANDS
  add service NAME kind = generation|plain [repeat = never] [hedge = on] ...
  add organisation NAME key = KEY [weight = N] [queue = N]
  add model NAME service = SERVICE version = V [adapter = A]
  add upstream IP:PORT service = SERVICE domain = DOMAIN
  set service|organisation|model NAME FIELD = VALUE ...
  bind model NAME to DOMAIN | unbind model NAME from DOMAIN
  drain upstream IP:PORT | undrain upstream IP:PORT
  remove service|organisation|model|upstream NAME
  stop router ID

EXIT STATUS: 0 done; 1 refused or not reachable; 2 the call can't be read; 3 accepted, but not yet
in force on every instance; 4 unknown whether it was applied.
";

/// How long an instance may take.
const TIMEOUT_MS: u64 = 20_000;
/// The maximum size of an answer: a row for each upstream has a few hundred bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Accepted, but not yet in force everywhere.
pub const EXIT_NOT_EVERYWHERE: u8 = 3;

/// What a run prints, and its exit status.
#[derive(Debug, PartialEq, Eq)]
pub struct Output {
    /// For standard output.
    pub text: String,
    /// 0 or [`EXIT_NOT_EVERYWHERE`].
    pub status: u8,
}

#[derive(Deserialize)]
struct Failure {
    error: Body,
}

/// Sends one command and formats the answer.
///
/// # Errors
///
/// What the instance refused, or why it can't be reached.
pub async fn run(arguments: Vec<OsString>, environment: Environment<'_>) -> Result<Output> {
    let call = read(arguments, environment)?;
    let answer = send(&call).await?;
    let text = if call.json {
        serde_json::to_string_pretty(&answer).map_err(Error::internal)?
    } else {
        format_answer(&answer)
    };
    let status = if answer.missing.is_empty() { 0 } else { EXIT_NOT_EVERYWHERE };
    Ok(Output { text, status })
}

struct Call {
    router: String,
    key: String,
    json: bool,
    question: OperatorRequest,
}

fn read(arguments: Vec<OsString>, environment: Environment<'_>) -> Result<Call> {
    let mut arguments = pico_args::Arguments::from_vec(arguments);
    let mut value = |flag: &'static str, variable: &str| {
        let given = arguments.opt_value_from_str::<_, String>(flag).map_err(bad_call)?;
        Ok::<_, Error>(given.or_else(|| environment(variable)))
    };
    let router = value("--router", "SISKINROCK_ROUTER")?;
    let key = value("--operator-key", "SISKINROCK_OPERATOR_KEY")?;
    let operator = value("--operator", "SISKINROCK_OPERATOR")?;
    let command_id = value("--command-id", "")?;
    let if_revision = value("--if-revision", "")?;
    let if_revision = if_revision.map(|n| n.parse().map_err(bad_call)).transpose()?;
    let json = arguments.contains("--json");
    let dry_run = arguments.contains("--dry-run");
    let words: Vec<_> = arguments.finish();
    let words: Vec<_> = words.iter().map(|word| word.to_string_lossy()).collect();
    if let Some(flag) = words.iter().find(|word| word.starts_with("--")) {
        return Err(bad_call(format!("{flag} is no flag; see siskinrock ctl --help")));
    }
    let missing = "--operator-key is missing; give it, or set SISKINROCK_OPERATOR_KEY";
    let key = key.ok_or_else(|| bad_call(missing))?;
    // Misspelt words are found here, also when no instance can be reached.
    crate::operators::command::parse(&words.join(" "))?;
    Ok(Call {
        router: router.unwrap_or_else(|| "127.0.0.1:7400".to_owned()),
        key,
        json,
        question: OperatorRequest {
            command: words.join(" "),
            command_id,
            dry_run,
            operator,
            if_revision,
        },
    })
}

fn bad_call(detail: impl ToString) -> Error {
    Kind::Settings { faults: vec![detail.to_string()] }.into()
}

async fn send(call: &Call) -> Result<Answer> {
    let unreachable = |error: reqwest::Error| -> Error {
        let address = call.router.clone();
        Kind::Unreachable { address, detail: error.without_url().to_string() }.into()
    };
    let unreadable = |fault: limited::Fault| -> Error {
        let detail = match fault {
            limited::Fault::Broken(error) => error.without_url().to_string(),
            fault => fault.to_string(),
        };
        Kind::Unreachable { address: call.router.clone(), detail }.into()
    };
    let client = reqwest::Client::builder().no_proxy().build().map_err(unreachable)?;
    let request = client.post(format!("http://{}/v1/operator", call.router));
    let request = request.bearer_auth(&call.key).json(&call.question);
    let request = request.timeout(Duration::from_millis(TIMEOUT_MS));
    let response = request.send().await.map_err(unreachable)?;
    if response.status().is_success() {
        return limited::read_json(response, MAX_ANSWER_BYTES).await.map_err(unreadable);
    }
    let failure: Failure =
        limited::read_json(response, MAX_ANSWER_BYTES).await.map_err(unreadable)?;
    let Body { code, message, .. } = failure.error;
    match code.as_str() {
        "store_unknown" => Err(Kind::StoreUnknown { command_id: known_id(&message) }.into()),
        _ => Err(Error::refused(message)),
    }
}

/// The command's name out of the message that tells to send it again.
fn known_id(message: &str) -> String {
    let after = message.split("--command-id ").nth(1).unwrap_or_default();
    after.split_whitespace().next().unwrap_or_default().to_owned()
}

fn format_answer(answer: &Answer) -> String {
    if answer.of == 0 && answer.summary.is_empty() {
        return format_rows(answer);
    }
    if answer.of == 0 {
        return format!("{} (now revision {})", answer.summary, answer.revision);
    }
    let mut text = format!(
        "{}\naccepted at revision {}, in force on {} of {}",
        answer.summary, answer.revision, answer.in_force, answer.of
    );
    if !answer.missing.is_empty() {
        let missing = answer.missing.join(", ");
        text.push_str(&format!("\nnot yet on {missing}; check again with 'show routers'"));
    }
    text
}

fn format_rows(answer: &Answer) -> String {
    let Some(first) = answer.rows.iter().max_by_key(|row| row.len()) else {
        return "nothing matches".to_owned();
    };
    let columns: Vec<&String> = first.keys().collect();
    let cell =
        |row: &query::Row, column: &str| row.get(column).map(query::text).unwrap_or_default();
    let width = |column: &&String| {
        let cells = answer.rows.iter().map(|row| cell(row, column).chars().count());
        cells.max().unwrap_or(0).max(column.chars().count())
    };
    let widths: Vec<usize> = columns.iter().map(width).collect();
    let line = |cells: Vec<String>| {
        let padded = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        padded.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    let mut lines = vec![line(columns.iter().map(|column| column.to_uppercase()).collect())];
    for row in &answer.rows {
        lines.push(line(columns.iter().map(|column| cell(row, column)).collect()));
    }
    lines.join("\n")
}
