//! The operators' command line for the admission queues of an instance.

use std::ffi::OsString;
use std::fmt::Write;
use std::net::SocketAddr;

use super::operate;
use crate::error::{Error, Result};
use crate::gateway::job::PRIORITIES;
use crate::gateway::operator::{ALL_CLASSES, MAX_CLOSED_S, QUEUE_PATH};
use crate::gateway::view::{BlockedBy, QueueClass, QueueView};
use crate::settings::Environment;

/// The help of `siskinrock queue`.
pub fn help() -> String {
    format!(
        "\
siskinrock queue: requests that wait for room at an instance, and orders about them

USAGE: siskinrock queue [FLAGS]                       list who waits, and why the first isn't sent
       siskinrock queue close SERVICE CLASS [FLAGS]   refuse new requests of a class
       siskinrock queue open SERVICE CLASS [FLAGS]    accept them again
       siskinrock queue empty SERVICE CLASS [FLAGS]   refuse all that wait now; of all classes: '{ALL_CLASSES}'

  --metrics IP:PORT     SISKINROCK_METRICS        where an instance serves its metrics (required)
  --for-s SECONDS                                 how long 'close' holds, 1 to {MAX_CLOSED_S} (default {DEFAULT_CLOSED_S})

CLASS is the route's priority times {PRIORITIES}, plus the organisation's priority (the route's
if the organisation has none), as the list shows it: 21 is priority 2 of the route and 1 of the
organisation. 0 is the most urgent.

An order holds at that one instance only, so give it to each instance whose callers it is meant for. A
closed class is opened by 'open', after --for-s, or by a restart of the instance. Until then its new
requests are refused at once, with a Retry-After of at most a third of the time that a caller has left;
those that wait already keep their places. 'empty' refuses what waits, none of which has run; new requests
may take the places, so close the class first if they must not. Requests that run, or that wait to resume
after a failure, are not touched.
"
    )
}

/// How long a class stays closed if the operator names no time.
const DEFAULT_CLOSED_S: u64 = 60;

/// What an operator asks of the queues.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// List them.
    List,
    /// Refuse new requests of a class.
    Close {
        /// The service.
        service: String,
        /// The class.
        class: u8,
        /// For how long.
        for_s: u64,
    },
    /// Accept requests of a closed class again.
    Open {
        /// The service.
        service: String,
        /// The class.
        class: u8,
    },
    /// Refuse all waiting requests.
    Empty {
        /// The service.
        service: String,
        /// The class; all of them if there is none.
        class: Option<u8>,
    },
}

impl Command {
    /// The path of the call that carries out an order, or of the listing.
    pub fn path(&self) -> String {
        match self {
            Command::List => QUEUE_PATH.to_owned(),
            Command::Close { service, class, for_s } => {
                format!("{QUEUE_PATH}/close/{class}/{for_s}/{service}")
            }
            Command::Open { service, class } => format!("{QUEUE_PATH}/open/{class}/{service}"),
            Command::Empty { service, class: Some(class) } => {
                format!("{QUEUE_PATH}/empty/{class}/{service}")
            }
            Command::Empty { service, class: None } => {
                format!("{QUEUE_PATH}/empty/{ALL_CLASSES}/{service}")
            }
        }
    }
}

/// Lists the queues or gives an order; what is printed.
///
/// # Errors
///
/// If the call can't be read, or the instance can't be reached or refuses.
pub async fn run(arguments: Vec<OsString>, environment: Environment<'_>) -> Result<String> {
    let (addr, command) = parse(arguments, environment)?;
    if command == Command::List {
        let body = operate::call(reqwest::Method::GET, addr, &command.path()).await?;
        let queues: Vec<QueueView> = serde_json::from_str(&body).map_err(Error::internal)?;
        return Ok(render(&queues));
    }
    let answer = operate::order(addr, &command.path()).await?;
    Ok(answer.trim().to_owned())
}

/// Reads the command line: the address of an instance, and what is asked of it.
///
/// # Errors
///
/// If it can't be read, with the remedy.
pub fn parse(
    arguments: Vec<OsString>,
    environment: Environment<'_>,
) -> Result<(SocketAddr, Command)> {
    let mut arguments = pico_args::Arguments::from_vec(arguments);
    let addr = operate::metrics_addr(&mut arguments, environment)?;
    let for_s = arguments
        .opt_value_from_str("--for-s")
        .map_err(|error| operate::usage(format!("--for-s: {error}; write seconds")))?;
    let words: Vec<String> =
        arguments.finish().iter().map(|word| word.to_string_lossy().into_owned()).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    if for_s.is_some() && words.first() != Some(&"close") {
        return Err(operate::usage("--for-s belongs to 'close'; leave it out".to_owned()));
    }
    Ok((addr, command(&words, for_s)?))
}

fn command(words: &[&str], for_s: Option<u64>) -> Result<Command> {
    match words {
        [] | ["list"] => Ok(Command::List),
        ["close", service, class] => {
            let for_s = for_s.unwrap_or(DEFAULT_CLOSED_S);
            if !(1..=MAX_CLOSED_S).contains(&for_s) {
                let fault = format!("--for-s {for_s} is out of range; use 1 to {MAX_CLOSED_S}");
                return Err(operate::usage(fault));
            }
            let class = parse_class(class)?;
            Ok(Command::Close { service: parse_service(service)?, class, for_s })
        }
        ["open", service, class] => {
            Ok(Command::Open { service: parse_service(service)?, class: parse_class(class)? })
        }
        ["empty", service, class] if *class == ALL_CLASSES => {
            Ok(Command::Empty { service: parse_service(service)?, class: None })
        }
        ["empty", service, class] => {
            let class = Some(parse_class(class)?);
            Ok(Command::Empty { service: parse_service(service)?, class })
        }
        _ => Err(operate::usage(
            "write nothing to list, 'close SERVICE CLASS', 'open SERVICE CLASS' or 'empty SERVICE CLASS' (or 'all')"
                .to_owned(),
        )),
    }
}

/// Reads a service's name, which becomes a part of a path.
fn parse_service(word: &str) -> Result<String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if word.is_empty() || matches!(word, "." | "..") || !word.chars().all(is_allowed) {
        let fault = format!("{word:?} is no service; use letters, digits, '-', '_' and '.'");
        return Err(operate::usage(fault));
    }
    Ok(word.to_owned())
}

fn parse_class(word: &str) -> Result<u8> {
    word.parse().map_err(|_| {
        operate::usage(format!(
            "{word:?} is no class; write a class of the list, 0 (most urgent) to 255"
        ))
    })
}

/// The listing of the queues as text.
pub fn render(queues: &[QueueView]) -> String {
    if queues.is_empty() {
        return "no service has an admission queue here; one has it if streaming routes of different priority lead \
                to it and the memory of its engines is configured"
            .to_owned();
    }
    let mut text = String::new();
    for queue in queues {
        let QueueView { service, places, others_waiting, .. } = queue;
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "{service}: {places} places free, {others_waiting} requests wait at other instances"
        );
        if queue.classes.is_empty() {
            text.push_str("  nobody waits here\n");
        }
        queue.classes.iter().for_each(|class| write_class(&mut text, class));
    }
    text.truncate(text.trim_end().len());
    text
}

fn write_class(text: &mut String, class: &QueueClass) {
    let _ = write!(text, "  class {}: {} wait", class.class, class.waiting);
    if class.waiting > 0 {
        let _ = write!(text, ", the oldest for {}", seconds(class.oldest_ms));
        let _ = match class.expected_wait_ms {
            Some(wait_ms) => write!(text, ", expected wait of the last {}", seconds(wait_ms)),
            None => write!(text, ", expected wait of the last unknown"),
        };
    }
    let _ = match &class.blocked_by {
        Some(BlockedBy::NoPlace) => write!(text, "; not sent: no place has room for the first one"),
        Some(BlockedBy::EarlierRequests { requests }) => {
            write!(text, "; not sent: {requests} requests of all instances go before the first one")
        }
        None => Ok(()),
    };
    if let Some(closed_ms) = class.closed_ms {
        let _ = write!(text, "; closed to new requests for {} more", seconds(closed_ms));
    }
    text.push('\n');
    for (organisation, waiting) in &class.organisations {
        let organisation =
            if organisation.is_empty() { "callers without a key" } else { organisation };
        let _ = writeln!(text, "    {waiting:>5} of {organisation}");
    }
}

fn seconds(ms: u64) -> String {
    format!("{}.{} s", ms / 1_000, ms % 1_000 / 100)
}
