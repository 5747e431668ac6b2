//! A directory that is a configuration file: what it says is in force as soon as it is saved.
//!
//! The file's version is the revision of everything in it, so that instances whose files differ
//! for a while agree on the newest one, which they tell each other.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use futures_util::future::LocalBoxFuture;

use super::document::{self, Document};
use crate::gateway::crash::CrashRecord;
use crate::gateway::directory::{Changes, Directory, Fault, Listing, Record, Removed, TakePart};
use crate::gateway::instance::Registration;
use crate::gateway::policy::stream_versions::{Segment, VersionNote};

/// How often a watch looks at the file: a saved change is in force within half a second.
const LOOK_MS: u64 = 200;
/// The lease of a registration, which a file does not keep: peers find each other by their seeds.
const NO_LEASE: u64 = 0;

/// A configuration file.
#[derive(Debug)]
pub struct File {
    path: PathBuf,
    seen: RefCell<Seen>,
}

/// What was last read of the file.
#[derive(Debug, Default)]
struct Seen {
    changed: Option<SystemTime>,
    upstreams: BTreeSet<Arc<str>>,
}

impl File {
    /// The file at a path.
    pub fn new(path: PathBuf) -> File {
        File { path, seen: RefCell::default() }
    }

    /// When the file was last changed; nothing while it is away, as some editors replace it.
    fn changed(&self) -> Option<SystemTime> {
        std::fs::metadata(&self.path).and_then(|file| file.modified()).ok()
    }

    fn read(&self) -> Result<Document, Fault> {
        self.seen.borrow_mut().changed = self.changed();
        document::read(&self.path).map_err(|error| Fault::Unreadable { detail: error.to_string() })
    }

    /// The records of a document; those of upstreams are remembered.
    fn records(&self, document: Document) -> Vec<Record> {
        let ids = document.upstreams.iter().map(|upstream| Arc::clone(&upstream.id));
        self.seen.borrow_mut().upstreams = ids.collect();
        let upstreams = document.upstreams.into_iter().map(Record::Upstream);
        std::iter::once(Record::Config(document.config)).chain(upstreams).collect()
    }

    fn list_all(&self) -> Result<Listing, Fault> {
        let document = self.read()?;
        Ok(Listing { revision: document.config.version, records: self.records(document) })
    }

    async fn watch_all(&self, revision: u64, wait_ms: u64) -> Changes {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        while self.changed() == self.seen.borrow().changed {
            if Instant::now() >= until {
                return Changes { revision, ..Changes::default() };
            }
            tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        }
        match self.read() {
            Ok(document) if document.config.version > revision => {
                let before = std::mem::take(&mut self.seen.borrow_mut().upstreams);
                let revision = document.config.version;
                let records = self.records(document);
                let seen = self.seen.borrow();
                let removed = before.difference(&seen.upstreams).cloned();
                Changes { revision, records, removed: removed.map(Removed::Upstream).collect() }
            }
            Ok(document) => {
                let version = document.config.version;
                self.refused(
                    revision,
                    format!("version {version} is not over {revision}; raise it"),
                )
            }
            Err(fault) => self.refused(revision, fault.to_string()),
        }
    }

    /// No change but the news that the file can't be used.
    fn refused(&self, revision: u64, detail: String) -> Changes {
        let key = self.path.display().to_string();
        let records = vec![Record::Unreadable { key, detail }];
        Changes { revision, records, ..Changes::default() }
    }
}

impl Directory for File {
    fn list<'a>(&'a self, _: TakePart<'a>) -> LocalBoxFuture<'a, Result<Listing, Fault>> {
        Box::pin(std::future::ready(self.list_all()))
    }

    fn watch(&self, revision: u64, wait_ms: u64) -> LocalBoxFuture<'_, Result<Changes, Fault>> {
        Box::pin(async move { Ok(self.watch_all(revision, wait_ms).await) })
    }

    fn register<'a>(
        &'a self,
        _: &'a Registration,
        _: u64,
    ) -> LocalBoxFuture<'a, Result<u64, Fault>> {
        Box::pin(std::future::ready(Ok(NO_LEASE)))
    }

    fn remember<'a>(&'a self, _: &'a CrashRecord, _: u64) -> LocalBoxFuture<'a, Result<(), Fault>> {
        // A file is the operators' alone; instances remember for each other.
        Box::pin(std::future::ready(Ok(())))
    }

    fn remember_versions<'a>(
        &'a self,
        _: &'a VersionNote,
        _: u64,
    ) -> LocalBoxFuture<'a, Result<Option<VersionNote>, Fault>> {
        Box::pin(std::future::ready(Ok(None)))
    }

    fn remember_streams<'a>(
        &'a self,
        _: &'a str,
        _: &'a Segment,
        _: u64,
    ) -> LocalBoxFuture<'a, Result<u64, Fault>> {
        Box::pin(std::future::ready(Ok(0)))
    }

    fn renew(&self, _: u64) -> LocalBoxFuture<'_, Result<(), Fault>> {
        Box::pin(std::future::ready(Ok(())))
    }

    fn release(&self, _: u64) -> LocalBoxFuture<'_, Result<(), Fault>> {
        Box::pin(std::future::ready(Ok(())))
    }
}
