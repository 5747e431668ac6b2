//! The platform's store: items with revisions, watches, leases, and its faults.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::endless::Endless;
use crate::http::{self, Connection, Message};

/// How often the store looks for leases that have ended.
const LEASE_LOOK: Duration = Duration::from_millis(50);

/// How the store misbehaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// It doesn't.
    #[default]
    None,
    /// It answers 503.
    Busy,
    /// It doesn't answer.
    Silent,
    /// It doesn't answer, and never will what was asked before it does again, watches too.
    Forgetful,
    /// It resets channels.
    Reset,
    /// It does what it is asked and loses the answer.
    LostAnswers,
    /// It answers half a second late.
    Slow,
    /// Its answers never end.
    Endless(Endless),
    /// Its pages and watches lead no further.
    Astray(Astray),
}

/// How pages and watches lead no further, although each of them is a sound answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Astray {
    /// Each page is the first one, and has more behind it.
    SamePage,
    /// Pages behind the first one end before it, and have more behind them.
    BackInPages,
    /// Pages behind the first one are empty, and have more behind them.
    EmptyPages,
    /// Behind the last page come further keys for ever.
    EndlessPages,
    /// A watch tells changes and stays where it was.
    SamePosition,
    /// A watch tells changes and goes back.
    BackInPositions,
    /// A watch doesn't wait for changes.
    Unwaiting,
}

/// A stored item.
#[derive(Debug, Clone)]
struct Stored {
    value: Vec<u8>,
    created: u64,
    revision: u64,
    lease: u64,
}

/// What the store holds at a moment.
#[derive(Debug, Clone)]
pub struct Copy {
    revision: u64,
    items: BTreeMap<String, Stored>,
    leases: BTreeMap<u64, (Instant, Duration)>,
}

/// What the operator and the upstreams wrote and the store lost: the keys with their values, none if they
/// were removed, and the revisions that the copy has of them.
#[derive(Debug, Clone, Default)]
pub struct Lost(Vec<(String, Option<Vec<u8>>, Option<u64>)>);

#[derive(Debug, Default)]
struct Items {
    /// How often it has come back from a copy.
    era: u64,
    revision: u64,
    items: BTreeMap<String, Stored>,
    events: Vec<(u64, String, Option<Vec<u8>>)>,
    kept_from: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
    fault: Fault,
    /// How often it has forgotten the calls that waited.
    forgotten: u64,
    calls: u64,
    /// The targets of all calls.
    targets: Vec<String>,
    /// How many items a page has, if not as few as give a listing several pages.
    page_items: Option<usize>,
}

/// A running store; cloning shares it.
#[derive(Clone)]
pub struct Store {
    /// Where it listens.
    pub addr: SocketAddr,
    items: Arc<Mutex<Items>>,
    changed: Arc<watch::Sender<u64>>,
}

impl Store {
    /// Starts an empty one.
    pub async fn start(addr: &str) -> Store {
        let items: Arc<Mutex<Items>> = Arc::default();
        let changed = Arc::new(watch::Sender::new(0));
        let (shared, told) = (Arc::clone(&items), Arc::clone(&changed));
        let (leased, expired) = (Arc::clone(&items), Arc::clone(&changed));
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(LEASE_LOOK).await;
                let mut items = leased.lock().expect("no holder panics");
                let before = items.revision;
                items.end_leases();
                if items.revision != before {
                    expired.send_modify(|count| *count += 1);
                }
            }
        });
        let (addr, _) = http::listen(addr, move |connection| {
            let store = Store {
                addr: SocketAddr::from(([127, 0, 0, 1], 0)),
                items: Arc::clone(&shared),
                changed: Arc::clone(&told),
            };
            async move { store.serve(connection).await }
        })
        .await;
        Store { addr, items, changed }
    }

    fn lock(&self) -> MutexGuard<'_, Items> {
        self.items.lock().expect("no holder panics")
    }

    /// The targets of all calls.
    pub fn targets(&self) -> Vec<String> {
        self.lock().targets.clone()
    }

    /// How many calls were made.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Misbehaves from now on; waiting watches are kept waiting if it is silent.
    pub fn fail(&self, fault: Fault) {
        let mut items = self.lock();
        items.fault = fault;
        items.forgotten += u64::from(fault == Fault::Forgetful);
        drop(items);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Gives pages of so many items from now on.
    pub fn set_page(&self, items: usize) {
        self.lock().page_items = Some(items);
    }

    /// Forgets what changed so far.
    pub fn forget_history(&self) {
        let mut items = self.lock();
        items.kept_from = items.revision;
        items.events.clear();
        drop(items);
        self.changed.send_modify(|count| *count += 1);
    }

    /// What it holds now.
    pub fn copy(&self) -> Copy {
        let items = self.lock();
        let Items { revision, items, leases, .. } = &*items;
        Copy { revision: *revision, items: items.clone(), leases: leases.clone() }
    }

    /// Loses what was done since a copy; its revisions are given out again. Returns what the operator and
    /// the upstreams had written.
    pub fn restore(&self, copy: &Copy) -> Lost {
        let mut items = self.lock();
        let lost = items.changes_since(copy);
        items.era += 1;
        items.events.retain(|(revision, _, _)| *revision <= copy.revision);
        let Copy { revision, items: stored, leases } = copy.clone();
        (items.revision, items.items, items.leases) = (revision, stored, leases);
        drop(items);
        self.changed.send_modify(|count| *count += 1);
        lost
    }

    /// Writes again what it lost, unless it was changed since.
    pub fn write_again(&self, lost: Lost) {
        let mut items = self.lock();
        for (key, value, before) in lost.0 {
            let now = items.items.get(&key).map(|item| item.revision);
            match value {
                _ if now != before => {}
                Some(value) => {
                    items.put(&key, value, 0);
                }
                None => items.remove(&key),
            }
        }
        drop(items);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Writes an item, as the operator or an upstream does.
    pub fn put(&self, key: &str, value: &Value) -> u64 {
        self.put_bytes(key, value.to_string().into_bytes())
    }

    /// Writes an item that need not be JSON.
    pub fn put_bytes(&self, key: &str, value: Vec<u8>) -> u64 {
        let mut items = self.lock();
        let revision = items.put(key, value, 0);
        drop(items);
        self.changed.send_modify(|count| *count += 1);
        revision
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.lock().remove(key);
        self.changed.send_modify(|count| *count += 1);
    }

    /// The keys under a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.lock().items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    async fn serve(self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read_request().await {
            let fault = self.lock().fault;
            self.lock().calls += 1;
            self.lock().targets.push(request.start.1.clone());
            match fault {
                Fault::Busy => {
                    let era = self.lock().era.to_string();
                    if connection.answer(503, &[("Store-Era", &era)], b"").await.is_err() {
                        return;
                    }
                    continue;
                }
                Fault::Silent | Fault::Forgetful => return std::future::pending().await,
                Fault::Reset => return connection.reset(),
                Fault::Endless(endless) => {
                    // Its caller has closed.
                    let _ = endless.write(&mut connection, "").await;
                    return;
                }
                Fault::Slow => tokio::time::sleep(Duration::from_millis(500)).await,
                Fault::None | Fault::LostAnswers | Fault::Astray(_) => {}
            }
            let forgotten = self.lock().forgotten;
            let (status, body) = self.answer(&request).await;
            let is_silent = matches!(self.lock().fault, Fault::Silent | Fault::Forgetful);
            let is_forgotten = self.lock().forgotten != forgotten;
            if fault == Fault::LostAnswers || is_silent || is_forgotten {
                return std::future::pending().await;
            }
            let body = unreadable(&body.to_string());
            let era = self.lock().era.to_string();
            if connection.answer(status, &[("Store-Era", &era)], &body).await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, request: &Message) -> (u16, Value) {
        if !request.start.1.bytes().all(|byte| byte.is_ascii_graphic()) {
            return (400, json!({}));
        }
        let number = |name| request.query(name).and_then(|value| value.parse::<u64>().ok());
        let path = request.path();
        let id = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        match path.strip_prefix("/siskinrock/").unwrap_or_default() {
            "kv-key" => self.one(request),
            "kv-range" => self.range(request),
            "kv-watch" => {
                self.watch(number("after").unwrap_or(0), number("wait-ms").unwrap_or(0)).await
            }
            "kv-lease" => self.grant(body["ttl-ms"].as_u64().unwrap_or(1_000)),
            "kv-txn" => self.transact(&body),
            rest if rest.starts_with("kv-keep/") => self.keep(id),
            rest if rest.starts_with("kv-lease-end/") => self.end(id),
            _ => (404, json!({})),
        }
    }

    fn one(&self, request: &Message) -> (u16, Value) {
        let key = text(request, "key");
        let mut items = self.lock();
        items.end_leases();
        if items.items.contains_key(&key) { (200, items.item(&key)) } else { (404, json!({})) }
    }

    fn range(&self, request: &Message) -> (u16, Value) {
        /// Small, so that listings have several pages.
        const PAGE: usize = 5;
        /// The most pages, so that a listing of thousands ends.
        const PAGES: usize = 10;
        let prefix = text(request, "path-prefix");
        let after = text(request, "after");
        let items = self.lock();
        let most = items.page_items.unwrap_or(PAGE.max(items.items.len() / PAGES));
        let (page, has_more) = match items.fault {
            Fault::Astray(astray) => items.page_astray(astray, &after, most),
            _ => items.page(&prefix, &after, most),
        };
        (200, json!({"items": page, "has-more": has_more, "at": items.revision}))
    }

    async fn watch(&self, after: u64, wait_ms: u64) -> (u16, Value) {
        let mut changed = self.changed.subscribe();
        let until = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let fault = self.lock().fault;
            if let Some((status, mut answer)) = self.lock().changes(after) {
                match fault {
                    Fault::Astray(Astray::SamePosition) => answer["at"] = json!(after),
                    Fault::Astray(Astray::BackInPositions) => {
                        answer["at"] = json!(after.saturating_sub(1));
                    }
                    _ => {}
                }
                return (status, answer);
            }
            if fault == Fault::Astray(Astray::Unwaiting) {
                return (200, json!({"events": [], "at": after}));
            }
            if tokio::time::timeout_at(until, changed.changed()).await.is_err() {
                let at = self.lock().revision;
                return (200, json!({"events": [], "at": at}));
            }
        }
    }

    fn grant(&self, ttl_ms: u64) -> (u16, Value) {
        let mut items = self.lock();
        let id = items.leases.len() as u64 + 1;
        items.leases.insert(id, (Instant::now(), Duration::from_millis(ttl_ms)));
        (200, json!({"lease": id, "ttl-ms": ttl_ms}))
    }

    fn keep(&self, id: u64) -> (u16, Value) {
        match self.lock().leases.get_mut(&id) {
            Some((since, ttl)) if since.elapsed() < *ttl => {
                *since = Instant::now();
                (200, json!({"ttl-ms": ttl.as_millis() as u64}))
            }
            _ => (404, json!({})),
        }
    }

    fn end(&self, id: u64) -> (u16, Value) {
        let mut items = self.lock();
        items.leases.remove(&id);
        let held = |item: &Stored| item.lease == id;
        let keys: Vec<String> =
            items.items.iter().filter(|(_, item)| held(item)).map(|(key, _)| key.clone()).collect();
        for key in keys {
            items.remove(&key);
        }
        drop(items);
        self.changed.send_modify(|count| *count += 1);
        (200, json!({}))
    }

    fn transact(&self, body: &Value) -> (u16, Value) {
        let mut items = self.lock();
        items.end_leases();
        if let Some(conflict) = items.conflict(body) {
            return (412, json!({ "items": [conflict] }));
        }
        for write in body["writes"].as_array().into_iter().flatten() {
            let key = write["key"].as_str().unwrap_or_default();
            if key.starts_with("op/") || key.starts_with("servers/") {
                return (403, json!({}));
            }
            let value = STANDARD.decode(write["value"].as_str().unwrap_or_default());
            items.put(key, value.unwrap_or_default(), write["lease"].as_u64().unwrap_or(0));
        }
        let revision = items.revision;
        drop(items);
        self.changed.send_modify(|count| *count += 1);
        (200, json!({"mod-revision": revision}))
    }
}

impl Items {
    /// Removes what was written under leases that have ended.
    fn end_leases(&mut self) {
        let is_over = |(since, ttl): &(Instant, Duration)| since.elapsed() >= *ttl;
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| is_over(lease)).map(|(id, _)| *id).collect();
        let held = |item: &Stored| over.contains(&item.lease);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, item)| held(item)).map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }

    /// What the operator and the upstreams changed since a copy.
    fn changes_since(&self, copy: &Copy) -> Lost {
        let is_theirs = |key: &&String| key.starts_with("op/") || key.starts_with("servers/");
        let keys: BTreeSet<&String> =
            self.items.keys().chain(copy.items.keys()).filter(is_theirs).collect();
        let change = |key: &String| {
            let (now, before) = (self.items.get(key), copy.items.get(key));
            let is_changed = now.map(|item| item.revision) != before.map(|item| item.revision);
            let value = now.map(|item| item.value.clone());
            is_changed.then(|| (key.clone(), value, before.map(|item| item.revision)))
        };
        Lost(keys.into_iter().filter_map(change).collect())
    }

    /// The first item that is not as a transaction expects it.
    fn conflict(&self, body: &Value) -> Option<Value> {
        let expected = body["expected-revision"].as_array()?;
        let differs = |row: &&Value| {
            let known = self.items.get(row["key"].as_str().unwrap_or_default());
            known.map_or(0, |item| item.revision) != row["mod-revision"].as_u64().unwrap_or(0)
        };
        let key = expected.iter().find(differs)?["key"].as_str()?;
        Some(self.items.get(key).map_or(json!({"key": key, "deleted": true}), |_| self.item(key)))
    }

    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) -> u64 {
        self.revision += 1;
        self.events.push((self.revision, key.to_owned(), Some(value.clone())));
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Stored { value, created, revision: self.revision, lease };
        self.items.insert(key.to_owned(), item);
        self.revision
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push((self.revision, key.to_owned(), None));
        }
    }

    fn item(&self, key: &str) -> Value {
        let Stored { value, created, revision, lease } = &self.items[key];
        json!({"key": key, "value": STANDARD.encode(value), "mod-revision": revision,
            "created": created, "lease": lease})
    }

    /// So many items behind a key and under a prefix, and whether there are more.
    fn page(&self, prefix: &str, after: &str, most: usize) -> (Vec<Value>, bool) {
        let fits = |key: &&String| key.starts_with(prefix) && key.as_str() > after;
        let keys: Vec<&String> = self.items.keys().filter(fits).collect();
        let page = keys.iter().take(most).map(|key| self.item(key)).collect();
        (page, keys.len() > most)
    }

    /// The same where pages lead no further.
    fn page_astray(&self, astray: Astray, after: &str, most: usize) -> (Vec<Value>, bool) {
        let (page, has_more) = self.page("", after, most);
        match astray {
            Astray::SamePage => (self.page("", "", most).0, true),
            Astray::BackInPages if !after.is_empty() => (self.page("", "", most / 2).0, true),
            Astray::EmptyPages if !after.is_empty() => (Vec::new(), true),
            Astray::EndlessPages if page.is_empty() => (further_items(after, most), true),
            Astray::EndlessPages => (page, true),
            _ => (page, has_more),
        }
    }

    /// When an item that was written at a revision was created.
    fn created(&self, key: &str, revision: u64) -> u64 {
        self.items.get(key).map_or(revision, |item| item.created)
    }

    fn changes(&self, after: u64) -> Option<(u16, Value)> {
        if after < self.kept_from || after > self.revision {
            return Some((410, json!({})));
        }
        let newer: Vec<Value> = self
            .events
            .iter()
            .filter(|(revision, _, _)| *revision > after)
            .map(|(revision, key, value)| match value {
                Some(value) => json!({"key": key, "value": STANDARD.encode(value),
                    "mod-revision": revision, "created": self.created(key, *revision),
                    "lease": 0}),
                None => json!({"key": key, "mod-revision": revision, "deleted": true}),
            })
            .collect();
        (!newer.is_empty()).then(|| (200, json!({"events": newer, "at": self.revision})))
    }
}

/// What stands in a key for half of a pair of UTF-16, which is no letter.
pub const LONE_SURROGATE: &str = "@surrogate@";
/// The same for bytes that are no UTF-8.
pub const NO_UTF8: &str = "@bytes@";

/// An answer as bytes, with what stands for texts that can't be read replaced by them.
fn unreadable(body: &str) -> Vec<u8> {
    let body = body.replace(LONE_SURROGATE, "\\ud800");
    let pieces: Vec<&[u8]> = body.split(NO_UTF8).map(str::as_bytes).collect();
    pieces.join(&b"\xff\x80"[..])
}

/// A text of a query as a server of HTTP reads it: cut at a `#`, a `+` stands for a blank.
fn text(request: &Message, name: &str) -> String {
    let target = request.start.1.split('#').next().unwrap_or_default();
    let cut = Message { start: (String::new(), target.to_owned()), ..Message::default() };
    let written = cut.query(name).unwrap_or_default().replace('+', " ");
    percent_decode_str(&written).decode_utf8_lossy().into_owned()
}

/// Items that nobody wrote, behind a key.
fn further_items(after: &str, count: usize) -> Vec<Value> {
    let number = after.strip_prefix("zz/").and_then(|number| number.parse().ok());
    let next: usize = number.unwrap_or(0) + 1;
    let item = |number| json!({"key": format!("zz/{number:012}"), "value": ""});
    (next..next + count).map(item).collect()
}
