//! Applies commands to the configuration.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::error::{self, Error, Result};
use crate::operators::command::{Command, Field, Target};
use crate::operators::document::{
    AddedUpstream, Document, Model, Organisation, Service, ServiceKind,
};
use crate::request::auth;

/// The effect of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Effect {
    /// What it changes, such as `service booking`.
    pub subject: String,
    /// The change as a sentence, for a preview.
    pub summary: String,
}

/// Applies a command to a document, without changing its revision.
///
/// # Errors
///
/// A refusal that names the remedy, if the command doesn't fit the document. The document may be
/// partly changed then and must be discarded.
pub fn apply(document: &mut Document, command: &Command) -> Result<Effect> {
    match command {
        Command::Add(target) => add(document, target),
        Command::Set(target) => set(document, target),
        Command::Remove(target) => remove(document, target),
        Command::Bind { model, domain, is_bound } => bind(document, model, domain, *is_bound),
        Command::Drain { addr, is_drained } => Ok(drain(document, addr, *is_drained)),
        Command::Stop { .. } | Command::Show(_) | Command::Explain { .. } => {
            Err(Error::refused("this command changes no configuration"))
        }
    }
}

/// Marks one incarnation of an instance as stopping.
pub fn stop(document: &mut Document, router: &str, incarnation: u64) -> Effect {
    document.stopping.insert(Arc::from(format!("{router}#{incarnation}")));
    effect("router", router, "will finish its requests and exit".to_owned())
}

/// The command for listings and the history, without the values of keys.
pub fn redact(text: &str) -> String {
    let mut hide = false;
    let mut words = Vec::new();
    for word in text.replace('=', " = ").split_whitespace() {
        let shown = if hide && word != "=" { "***" } else { word };
        hide = word == "key" || (hide && word == "=");
        words.push(shown.to_owned());
    }
    words.join(" ")
}

fn effect(noun: &str, name: &str, change: String) -> Effect {
    Effect { subject: format!("{noun} {name}"), summary: format!("{noun} {name} {change}") }
}

fn add(document: &mut Document, target: &Target) -> Result<Effect> {
    let name: Arc<str> = Arc::from(target.name.as_str());
    let mut fields = Fields::new(&target.fields)?;
    match target.noun.as_str() {
        "service" => {
            refuse_existing(&document.services, target)?;
            let kind = fields.kind()?;
            let mut service = Service::new(kind);
            set_service(&mut service, &mut fields)?;
            document.services.insert(name, service);
        }
        "organisation" => {
            refuse_existing(&document.organisations, target)?;
            let key_sha256 = Arc::from(auth::hash(&fields.required("key")?));
            let mut organisation = Organisation { key_sha256, weight: 1, queue: 50 };
            set_organisation(&mut organisation, &mut fields)?;
            document.organisations.insert(name, organisation);
        }
        "model" => {
            refuse_existing(&document.models, target)?;
            let service = Arc::from(fields.required("service")?);
            let version = Arc::from(fields.required("version")?);
            require(&document.services, "service", &service)?;
            let adapters = Default::default();
            let mut model = Model { service, version, adapters, domains: Default::default() };
            set_model(&mut model, &mut fields)?;
            document.models.insert(name, model);
        }
        _ => {
            refuse_existing(&document.upstreams, target)?;
            let service = Arc::from(fields.required("service")?);
            let domain = Arc::from(fields.required("domain")?);
            require(&document.services, "service", &service)?;
            check_address(&target.name)?;
            document.upstreams.insert(name, AddedUpstream { service, domain });
        }
    }
    fields.refuse_rest()?;
    Ok(effect(&target.noun, &target.name, "will be added".to_owned()))
}

fn set(document: &mut Document, target: &Target) -> Result<Effect> {
    if target.fields.is_empty() {
        return Err(Error::refused("nothing to set; write FIELD = VALUE after the name"));
    }
    let mut fields = Fields::new(&target.fields)?;
    let name = target.name.as_str();
    match target.noun.as_str() {
        "service" => set_service(found(&mut document.services, target)?, &mut fields)?,
        "organisation" => {
            set_organisation(found(&mut document.organisations, target)?, &mut fields)?;
        }
        "model" => set_model(found(&mut document.models, target)?, &mut fields)?,
        _ => return Err(Error::refused("an upstream can't be set; remove it and add it again")),
    }
    fields.refuse_rest()?;
    let redact_key = |f: &Field| if f.name == "key" { "***".to_owned() } else { f.value.clone() };
    let pairs = target.fields.iter().map(|f| format!("{} = {}", f.name, redact_key(f)));
    let change = format!("will have {}", pairs.collect::<Vec<_>>().join(", "));
    Ok(effect(&target.noun, name, change))
}

fn remove(document: &mut Document, target: &Target) -> Result<Effect> {
    let name = target.name.as_str();
    match target.noun.as_str() {
        "service" => {
            found(&mut document.services, target)?;
            let user = document.models.iter().find(|(_, model)| *model.service == *name);
            if let Some((model, _)) = user {
                let detail = format!("model {model} uses service {name}; remove the model first");
                return Err(Error::refused(detail));
            }
            document.services.remove(name);
        }
        "organisation" => drop(take(&mut document.organisations, target)?),
        "model" => drop(take(&mut document.models, target)?),
        _ => drop(take(&mut document.upstreams, target)?),
    }
    Ok(effect(&target.noun, name, "will be removed".to_owned()))
}

fn bind(document: &mut Document, name: &str, domain: &str, is_bound: bool) -> Result<Effect> {
    let target = Target { noun: "model".to_owned(), name: name.to_owned(), fields: Vec::new() };
    let model = found(&mut document.models, &target)?;
    if is_bound {
        model.domains.insert(Arc::from(domain));
    } else if !model.domains.remove(domain) {
        let detail = format!("model {name} is not bound to {domain}; see 'show models'");
        return Err(Error::refused(detail));
    }
    let change = if is_bound { "will be loaded in" } else { "will no longer be loaded in" };
    Ok(effect("model", name, format!("{change} {domain}")))
}

fn drain(document: &mut Document, addr: &str, is_drained: bool) -> Effect {
    if is_drained {
        document.drained.insert(Arc::from(addr));
    } else {
        document.drained.remove(addr);
    }
    let change = if is_drained { "will get no new work" } else { "will get work again" };
    effect("upstream", addr, change.to_owned())
}

fn set_service(service: &mut Service, fields: &mut Fields) -> Result<()> {
    fields.choice("repeat", &mut service.repeat, ["always", "never"])?;
    fields.choice("hedge", &mut service.hedge, ["on", "off"])?;
    fields.choice("fencing", &mut service.checks_fencing, ["checked", "ignored"])?;
    fields.number("queue", &mut service.queue, 1, 100_000)?;
    fields.number("concurrency", &mut service.concurrency, 1, 100_000)?;
    fields.number("deadline_ms", &mut service.deadline_ms, 100, 86_400_000)?;
    fields.number("first_token_ms", &mut service.first_token_ms, 100, 600_000)?;
    fields.number("resumed_token_ms", &mut service.resumed_token_ms, 100, 600_000)?;
    fields.number("gap_floor_ms", &mut service.gap_floor_ms, 20, 60_000)?;
    fields.number("gap_ceiling_ms", &mut service.gap_ceiling_ms, 20, 60_000)?;
    if service.gap_floor_ms > service.gap_ceiling_ms {
        return Err(Error::refused("gap_floor_ms is over gap_ceiling_ms; lower one of them"));
    }
    Ok(())
}

fn set_organisation(organisation: &mut Organisation, fields: &mut Fields) -> Result<()> {
    fields.number("weight", &mut organisation.weight, 1, 1_000)?;
    fields.number("queue", &mut organisation.queue, 1, 100_000)?;
    if let Some(key) = fields.take("key") {
        organisation.key_sha256 = Arc::from(auth::hash(&key));
    }
    Ok(())
}

fn set_model(model: &mut Model, fields: &mut Fields) -> Result<()> {
    if let Some(version) = fields.take("version") {
        model.version = Arc::from(version);
    }
    if let Some(adapter) = fields.take("adapter") {
        model.adapters.insert(Arc::from(adapter));
    }
    if let Some(adapter) = fields.take("without_adapter") {
        model.adapters.remove(&*adapter);
    }
    Ok(())
}

fn check_address(addr: &str) -> Result<()> {
    let parsed = addr.parse::<std::net::SocketAddr>();
    parsed.map(drop).map_err(|_| Error::refused(format!("{addr:?} is no IP:PORT")))
}

fn refuse_existing<T>(map: &BTreeMap<Arc<str>, T>, target: &Target) -> Result<()> {
    if !map.contains_key(target.name.as_str()) {
        return Ok(());
    }
    let Target { noun, name, .. } = target;
    Err(Error::refused(format!("{noun} {name} exists already; use 'set {noun} {name} ...'")))
}

fn require<T>(map: &BTreeMap<Arc<str>, T>, noun: &str, name: &str) -> Result<()> {
    if map.contains_key(name) {
        return Ok(());
    }
    let hint = error::did_you_mean(name, map.keys().map(|key| &**key));
    Err(Error::refused(format!("{noun} {name} does not exist{hint}; see 'show {noun}s'")))
}

fn found<'a, T>(map: &'a mut BTreeMap<Arc<str>, T>, target: &Target) -> Result<&'a mut T> {
    require(map, &target.noun, &target.name)?;
    map.get_mut(target.name.as_str()).ok_or_else(|| Error::internal("a name has just vanished"))
}

fn take<T>(map: &mut BTreeMap<Arc<str>, T>, target: &Target) -> Result<T> {
    require(map, &target.noun, &target.name)?;
    map.remove(target.name.as_str()).ok_or_else(|| Error::internal("a name has just vanished"))
}

/// The fields of a command, and which names have been looked up.
struct Fields {
    left: BTreeMap<String, String>,
    used: Vec<&'static str>,
}

impl Fields {
    fn new(fields: &[Field]) -> Result<Fields> {
        let mut left = BTreeMap::new();
        for field in fields {
            if left.insert(field.name.clone(), field.value.clone()).is_some() {
                return Err(Error::refused(format!("{} is given twice; keep one", field.name)));
            }
        }
        Ok(Fields { left, used: Vec::new() })
    }

    fn take(&mut self, name: &'static str) -> Option<String> {
        self.used.push(name);
        self.left.remove(name)
    }

    fn required(&mut self, name: &'static str) -> Result<String> {
        let missing = || Error::refused(format!("{name} is missing; add '{name} = VALUE'"));
        self.take(name).ok_or_else(missing)
    }

    fn kind(&mut self) -> Result<ServiceKind> {
        match self.required("kind")?.as_str() {
            "generation" => Ok(ServiceKind::Generation),
            "plain" => Ok(ServiceKind::Plain),
            other => Err(Error::refused(format!("kind {other:?} is not generation or plain"))),
        }
    }

    fn choice(&mut self, name: &'static str, value: &mut bool, words: [&str; 2]) -> Result<()> {
        let Some(word) = self.take(name) else { return Ok(()) };
        if !words.contains(&word.as_str()) {
            let detail = format!("{name} {word:?} is not {} or {}", words[0], words[1]);
            return Err(Error::refused(detail));
        }
        *value = word == words[0];
        Ok(())
    }

    fn number<T>(&mut self, name: &'static str, value: &mut T, least: T, most: T) -> Result<()>
    where
        T: std::str::FromStr + PartialOrd + std::fmt::Display,
    {
        let Some(word) = self.take(name) else { return Ok(()) };
        match word.parse::<T>() {
            Ok(number) if number >= least && number <= most => {
                *value = number;
                Ok(())
            }
            _ => {
                let detail = format!("{name} {word:?} is out of range; use {least} to {most}");
                Err(Error::refused(detail))
            }
        }
    }

    fn refuse_rest(self) -> Result<()> {
        let Some(name) = self.left.keys().next() else { return Ok(()) };
        let hint = error::did_you_mean(name, self.used.iter().copied());
        let known = self.used.join(", ");
        Err(Error::refused(format!("{name:?} is no field here{hint}; there are {known}")))
    }
}
