//! The operators' command language and its parser.
//!
//! ```
//! use siskinrock::operators::command::{self, Command};
//!
//! let command = command::parse("show upstreams where service = planning and state = leaving");
//! assert!(matches!(command, Ok(Command::Show(_))));
//! ```

use winnow::Parser;
use winnow::ascii::{multispace0, multispace1};
use winnow::combinator::{alt, delimited, eof, opt, preceded, repeat, separated, separated_pair};
use winnow::token::take_while;

use crate::error::{Error, Kind, Result};

/// The topics of `show`.
pub const TOPICS: &[&str] = &[
    "upstreams",
    "requests",
    "organisations",
    "services",
    "models",
    "routers",
    "config",
    "history",
    "latency",
    "orders",
];
/// The nouns of `add`, `set` and `remove`.
pub const NOUNS: &[&str] = &["service", "organisation", "model", "upstream"];
const VERBS: &[&str] =
    &["show", "add", "set", "remove", "bind", "unbind", "drain", "undrain", "stop", "explain"];

/// A query or a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// `show TOPIC [by FIELD] [where FIELD = VALUE and …]`
    Show(Show),
    /// `add NOUN NAME [FIELD = VALUE …]`
    Add(Target),
    /// `set NOUN NAME FIELD = VALUE …`
    Set(Target),
    /// `remove NOUN NAME`
    Remove(Target),
    /// `bind model NAME to DOMAIN`, or `unbind … from …`
    Bind {
        /// The model.
        model: String,
        /// The failure domain.
        domain: String,
        /// Whether the model is bound or unbound.
        is_bound: bool,
    },
    /// `drain upstream ADDRESS`, or `undrain …`
    Drain {
        /// The upstream's address.
        addr: String,
        /// Whether it is drained or undrained.
        is_drained: bool,
    },
    /// `stop router ID`
    Stop {
        /// The instance.
        router: String,
    },
    /// `explain request KEY`
    Explain {
        /// The request's idempotency key, with or without its organisation.
        request: String,
    },
}

/// A query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Show {
    /// One of [`TOPICS`].
    pub topic: String,
    /// The field to group by.
    pub by: Option<String>,
    /// The rows to keep.
    pub filters: Vec<Field>,
}

/// Something to add, set or remove.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// One of [`NOUNS`].
    pub noun: String,
    /// Its name.
    pub name: String,
    /// The fields to set.
    pub fields: Vec<Field>,
}

/// `NAME = VALUE`
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Field {
    /// Its name.
    pub name: String,
    /// Its value.
    pub value: String,
}

impl Command {
    /// Whether it changes the configuration.
    pub fn is_change(&self) -> bool {
        !matches!(self, Command::Show(_) | Command::Explain { .. })
    }
}

/// Parses a query or command.
///
/// # Errors
///
/// An input error that names the word that can't be parsed and, if there is a similar one, the word
/// that was likely meant.
pub fn parse(text: &str) -> Result<Command> {
    let text = text.replacen("show config history", "show history", 1);
    let words = text.trim();
    let verb = words.split_whitespace().next().unwrap_or_default();
    if !VERBS.contains(&verb) {
        return Err(unknown_word(verb, VERBS, "commands begin with"));
    }
    check_second_word(verb, words)?;
    command.parse(words).map_err(|error| {
        let at = words.get(error.offset()..).unwrap_or_default().to_owned();
        let detail = format!("{}; for example: {}", shape(verb), example(verb));
        Kind::BadCommand { at, detail }.into()
    })
}

fn check_second_word(verb: &str, words: &str) -> Result<()> {
    let second = words.split_whitespace().nth(1).unwrap_or_default();
    let known: &[&str] = match verb {
        "show" => TOPICS,
        "add" | "set" | "remove" => NOUNS,
        "bind" | "unbind" => &["model"],
        "drain" | "undrain" => &["upstream"],
        "stop" => &["router"],
        _ => &["request"],
    };
    if known.contains(&second) {
        return Ok(());
    }
    Err(unknown_word(second, known, &format!("after {verb:?} comes")))
}

fn unknown_word(word: &str, known: &[&str], lead: &str) -> Error {
    let hint = crate::error::did_you_mean(word, known.iter().copied());
    let detail = format!("{lead} {}{hint}", known.join(", "));
    Kind::BadCommand { at: word.to_owned(), detail }.into()
}

fn shape(verb: &str) -> &'static str {
    match verb {
        "show" => "write show TOPIC [by FIELD] [where FIELD = VALUE and FIELD = VALUE]",
        "add" => "write add NOUN NAME [FIELD = VALUE ...]",
        "set" => "write set NOUN NAME FIELD = VALUE ...",
        "remove" => "write remove NOUN NAME",
        "bind" => "write bind model NAME to DOMAIN",
        "unbind" => "write unbind model NAME from DOMAIN",
        "drain" | "undrain" => "write drain upstream IP:PORT",
        "stop" => "write stop router ID",
        _ => "write explain request KEY",
    }
}

fn example(verb: &str) -> &'static str {
    match verb {
        "show" => "show upstreams where service = planning and state = leaving",
        "add" => "add service booking kind = plain repeat = never",
        "set" => "set service planning hedge = on",
        "remove" => "remove organisation harbour-a",
        "bind" => "bind model plan-1 to phuket-hall",
        "unbind" => "unbind model plan-1 from phuket-hall",
        "drain" | "undrain" => "drain upstream 10.0.1.7:8000",
        "stop" => "stop router phuket-1",
        _ => "explain request harbour-a/voyage-17",
    }
}

fn command(input: &mut &str) -> winnow::Result<Command> {
    let parsed = alt((query, targeted, bind, unbind, drain)).parse_next(input)?;
    (multispace0, eof).parse_next(input)?;
    Ok(parsed)
}

fn query(input: &mut &str) -> winnow::Result<Command> {
    alt((
        preceded(("show", multispace1), show).map(Command::Show),
        preceded(("explain", multispace1, "request", multispace1), word)
            .map(|request| Command::Explain { request }),
        preceded(("stop", multispace1, "router", multispace1), word)
            .map(|router| Command::Stop { router }),
    ))
    .parse_next(input)
}

fn targeted(input: &mut &str) -> winnow::Result<Command> {
    alt((
        preceded(("add", multispace1), target).map(Command::Add),
        preceded(("set", multispace1), target).map(Command::Set),
        preceded(("remove", multispace1), target).map(Command::Remove),
    ))
    .parse_next(input)
}

fn drain(input: &mut &str) -> winnow::Result<Command> {
    let verb = alt(("drain".value(true), "undrain".value(false)));
    let (is_drained, addr) =
        separated_pair(verb, (multispace1, "upstream", multispace1), word).parse_next(input)?;
    Ok(Command::Drain { addr, is_drained })
}

fn show(input: &mut &str) -> winnow::Result<Show> {
    let topic = word.parse_next(input)?;
    let by = opt(preceded((multispace1, "by", multispace1), word)).parse_next(input)?;
    let conditions = separated(1.., field, (multispace1, "and", multispace1));
    let condition = preceded((multispace1, "where", multispace1), conditions);
    let filters: Option<Vec<Field>> = opt(condition).parse_next(input)?;
    Ok(Show { topic, by, filters: filters.unwrap_or_default() })
}

fn target(input: &mut &str) -> winnow::Result<Target> {
    let (noun, name) = separated_pair(word, multispace1, word).parse_next(input)?;
    let fields = repeat(0.., preceded(multispace1, field)).parse_next(input)?;
    Ok(Target { noun, name, fields })
}

fn bind(input: &mut &str) -> winnow::Result<Command> {
    let model = preceded(("bind", multispace1, "model", multispace1), word);
    let (model, domain) =
        separated_pair(model, (multispace1, "to", multispace1), word).parse_next(input)?;
    Ok(Command::Bind { model, domain, is_bound: true })
}

fn unbind(input: &mut &str) -> winnow::Result<Command> {
    let model = preceded(("unbind", multispace1, "model", multispace1), word);
    let (model, domain) =
        separated_pair(model, (multispace1, "from", multispace1), word).parse_next(input)?;
    Ok(Command::Bind { model, domain, is_bound: false })
}

fn field(input: &mut &str) -> winnow::Result<Field> {
    let equals = delimited(multispace0, '=', multispace0);
    let (name, value) = separated_pair(word, equals, word).parse_next(input)?;
    Ok(Field { name, value })
}

fn word(input: &mut &str) -> winnow::Result<String> {
    let is_plain = |c: char| !c.is_whitespace() && c != '=' && c != '"';
    let plain = take_while(1.., is_plain);
    let quoted = delimited('"', take_while(0.., |c| c != '"'), '"');
    alt((quoted, plain)).map(str::to_owned).parse_next(input)
}
