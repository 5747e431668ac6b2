//! Where the configuration, the list of upstreams and the other instances are found.

use std::sync::Arc;

use futures_util::future::LocalBoxFuture;

use super::crash::CrashRecord;
use super::duties::DutyCalls;
use super::fleet::{SoftwareVersion, Upstream};
use super::instance::Registration;
use super::policy::lease::Holder;
use super::policy::paging;
use super::policy::stream_versions::{Segment, StreamRecord, VersionNote};
use super::route::Config;

/// Why a call to the directory brought nothing.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Fault {
    /// No answer: it may be down, slow or cut off, and a write may have been done.
    #[display("the directory did not answer ({detail}); what is known stays in force meanwhile")]
    Silent {
        /// What was seen.
        detail: String,
    },
    /// It refused; nothing was done.
    #[display("the directory refused the call with status {status}; it is tried again later")]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The changes since the given revision are no longer kept; everything must be read anew.
    #[display("the directory no longer keeps the changes asked for; everything is read anew")]
    HistoryGone,
    /// A lease has ended.
    #[display("the lease has ended; the instance registers again")]
    LeaseEnded,
    /// Another instance that came later has called.
    #[display("a higher fencing token was seen; this instance no longer has the duty")]
    Superseded,
    /// It sent something that can't be read.
    #[display("the directory's answer can't be read ({detail}); check that versions agree")]
    Unreadable {
        /// What is wrong with it.
        detail: String,
    },
    /// What it holds can't be read to its end.
    #[display("the directory's list leads no further ({_0}); what is known stays in force")]
    Paging(paging::Fault),
}

/// One record of the directory.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    /// The configuration.
    Config(Arc<Config>),
    /// An upstream.
    Upstream(Upstream),
    /// An instance of ours.
    Instance(Registration),
    /// What is known of a request that crashes upstreams.
    Crashes(CrashRecord),
    /// The software versions that a service had lately.
    Versions(VersionNote),
    /// The software versions of streams.
    Streams(Vec<StreamRecord>),
    /// Who has the duties that one instance at a time has.
    Holder(Holder),
    /// An entry among the upstreams that names none to use: another writer made it.
    ForeignUpstream {
        /// The id under which it stands.
        id: Arc<str>,
        /// What is wrong with it.
        detail: String,
    },
    /// A record that can't be read, with its key and the fault.
    Unreadable {
        /// The record's key.
        key: String,
        /// What is wrong with it.
        detail: String,
    },
}

impl Record {
    /// The memory that it takes beside its key while a list is read, which what was written may exceed.
    pub fn held_bytes(&self) -> usize {
        let content_bytes = match self {
            // There is one, which is held once more when it is in force.
            Record::Config(_) => return 0,
            Record::Upstream(upstream) => return upstream.held_bytes(),
            Record::Instance(registration) => registration.id.len() + registration.domain.len(),
            Record::Crashes(record) => {
                let names_bytes: usize = record.crashes.iter().map(|(id, _)| id.len()).sum();
                record.part.as_ref().map_or(0, |part| part.len())
                    + size_of_val(&*record.requests)
                    + size_of_val(&*record.crashes)
                    + names_bytes
            }
            Record::Versions(note) => {
                let names_bytes: usize =
                    note.versions.iter().map(SoftwareVersion::name_bytes).sum();
                note.service.len()
                    + note.versions.len() * size_of::<SoftwareVersion>()
                    + names_bytes
            }
            Record::Streams(records) => {
                let names = records.iter().map(|record| record.version.name_bytes());
                size_of_val(&**records) + names.sum::<usize>()
            }
            Record::Holder(holder) => holder.id.len(),
            Record::ForeignUpstream { detail, .. } | Record::Unreadable { detail, .. } => {
                detail.len()
            }
        };
        size_of::<Record>() + content_bytes
    }
}

/// A record that is gone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Removed {
    /// An upstream, by id.
    Upstream(Arc<str>),
    /// An instance of ours, by id.
    Instance(Arc<str>),
    /// The entry of whoever had the duties.
    Holder,
}

/// Everything in the directory at one revision, or what was read of it.
#[derive(Debug, Clone, Default)]
pub struct Listing {
    /// The revision, with its era (see [`super::policy::eras`]), before which all changes are in it.
    pub revision: u64,
    /// All records.
    pub records: Vec<Record>,
}

impl Listing {
    /// What it says of the configuration.
    pub fn configuration(&self) -> Listing {
        let is_config = |record: &&Record| matches!(record, Record::Config(_));
        let records = self.records.iter().filter(is_config).cloned().collect();
        Listing { revision: self.revision, records }
    }
}

/// The changes after a revision.
#[derive(Debug, Clone, Default)]
pub struct Changes {
    /// The revision up to which the changes go.
    pub revision: u64,
    /// Records as they were written.
    pub records: Vec<Record>,
    /// Records that are gone.
    pub removed: Vec<Removed>,
}

/// Takes what was read of a list that isn't read to its end, or not yet.
pub type TakePart<'a> = &'a dyn Fn(Listing);

/// The calls that an instance makes; each is counted and priced by whoever runs the directory.
pub trait Directory {
    /// Reads everything, as new as it was when the call arrived. If that takes long or fails, what was
    /// read until then is given to `take_part`; the configuration, as soon as it was read.
    fn list<'a>(&'a self, take_part: TakePart<'a>) -> LocalBoxFuture<'a, Result<Listing, Fault>>;

    /// Waits up to `wait_ms` for changes after `revision`.
    fn watch(&self, revision: u64, wait_ms: u64) -> LocalBoxFuture<'_, Result<Changes, Fault>>;

    /// Writes this instance's registration under a new lease of `ttl_ms`; returns the lease.
    fn register<'a>(
        &'a self,
        registration: &'a Registration,
        ttl_ms: u64,
    ) -> LocalBoxFuture<'a, Result<u64, Fault>>;

    /// Renews a lease.
    fn renew(&self, lease: u64) -> LocalBoxFuture<'_, Result<(), Fault>>;

    /// Writes what is known of a request that crashes upstreams, for `ttl_ms`, so that it outlasts the
    /// loss of all instances.
    fn remember<'a>(
        &'a self,
        record: &'a CrashRecord,
        ttl_ms: u64,
    ) -> LocalBoxFuture<'a, Result<(), Fault>>;

    /// Writes which software versions a service had lately, for `ttl_ms`, so that it outlasts the loss
    /// of all instances. If another instance has written something else since this one last wrote or was
    /// told, nothing is written, and that is returned.
    fn remember_versions<'a>(
        &'a self,
        note: &'a VersionNote,
        ttl_ms: u64,
    ) -> LocalBoxFuture<'a, Result<Option<VersionNote>, Fault>>;

    /// Writes a segment of `writer` with the software versions of streams, under its lease or a new one
    /// of `ttl_ms`, so that it outlasts the loss of all instances. Returns the lease.
    fn remember_streams<'a>(
        &'a self,
        writer: &'a str,
        segment: &'a Segment,
        ttl_ms: u64,
    ) -> LocalBoxFuture<'a, Result<u64, Fault>>;

    /// Ends a lease, which removes the registration under it.
    fn release(&self, lease: u64) -> LocalBoxFuture<'_, Result<(), Fault>>;

    /// The era that the directory last named; it grows each time the directory comes back from an older
    /// copy of itself.
    fn era(&self) -> u64 {
        0
    }

    /// The calls of duties, where there are any.
    fn duties(&self) -> Option<&dyn DutyCalls> {
        None
    }
}
