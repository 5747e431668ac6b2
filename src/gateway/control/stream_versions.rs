//! Holds the software versions of streams for this instance and its peers, and finds those that
//! others began; see [docs/design/stream-versions.md](../../../docs/design/stream-versions.md).

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, mpsc};

use super::super::directory::Record;
use super::super::fleet::SoftwareVersion;
use super::super::membership::Message;
use super::super::policy::standstill::{self, Standstills};
use super::super::policy::stream_versions::{
    self as policy, DirectoryCall, Found, ListAge, Lookup, Others, Sight, StreamAnswer, StreamLog,
    StreamQuery, StreamRecord, StreamRecords, VERSION_TTL_MS, VersionHistory, VersionNote,
};
use super::super::policy::watchers;
use super::super::route::{Repeat, Route};
use super::super::view::StreamSearch;
use super::{Control, ControlState};

/// How often an instance tells the records of its live streams again.
const REPEAT_INTERVAL_MS: u64 = 2_000;
/// Maximum number of records in a datagram, some 10 KB.
const MAX_BATCH_RECORDS: usize = 400;
/// How often the versions of services that have several are stored again.
const STORE_INTERVAL_MS: u64 = 20_000;
/// How often it is checked whether they have to be stored.
const STORE_CHECK_MS: u64 = 1_000;
/// The pause after a failed store call.
const STORE_RETRY_PAUSE_MS: u64 = 1_000;
/// How long the directory keeps them: the last write may be an interval old.
const STORED_TTL_MS: u64 = VERSION_TTL_MS + 2 * STORE_INTERVAL_MS;

/// The least time between two calls to the directory for searches.
const DIRECTORY_PAUSE_MS: u64 = 50;

/// How long the directory keeps the version of a service that has one, and how often it is stored again.
const SINGLE_TTL_MS: u64 = 600_000;
const SINGLE_INTERVAL_MS: u64 = SINGLE_TTL_MS / 3;

/// The versions of a service as they were last stored here.
struct StoredVersions {
    versions: BTreeSet<SoftwareVersion>,
    at_ms: u64,
}

/// The state of stream versions at one instance.
#[derive(Default)]
pub(super) struct StreamVersionState {
    records: StreamRecords,
    /// The records that this instance writes to the directory for all.
    pub(super) log: StreamLog,
    stored: BTreeMap<Arc<str>, StoredVersions>,
    pub(super) history: VersionHistory,
    /// Whether this instance has read the whole directory, with the versions that are noted there.
    pub(super) has_listed: bool,
    /// Since when this instance hears of changes without a break that it knows of.
    in_touch_since_ms: u64,
    /// Notified when the list holds a newer answer of the directory.
    sighted: Rc<Notify>,
    /// The earliest time of the next call to the directory for a search.
    next_directory_call_ms: u64,
    /// Questions of others that wait for such a call, by the address and number.
    questions: BTreeSet<(SocketAddr, u64)>,
    /// Searches in progress, by number.
    searches: BTreeMap<u64, mpsc::UnboundedSender<(SocketAddr, StreamAnswer)>>,
    last_number: u64,
    /// Which call to the directory the list of upstreams rests on.
    pub(super) sight: Sight,
    /// Whether this instance stood still.
    standstills: Standstills,
    /// Notified when a service has other versions than before.
    pub(super) changed: Rc<Notify>,
}

impl StreamVersionState {
    /// Begins a search. Returns its number and what receives the answers.
    fn begin_search(&mut self) -> (u64, mpsc::UnboundedReceiver<(SocketAddr, StreamAnswer)>) {
        let (answers_tx, answers) = mpsc::unbounded_channel();
        if self.last_number == 0 {
            // Answers to an earlier process at this address must not be taken for newer ones.
            self.last_number = u64::from(fastrand::u32(..));
        }
        self.last_number += 1;
        self.searches.insert(self.last_number, answers_tx);
        (self.last_number, answers)
    }
}

/// An instance that may know a stream.
struct Asked {
    id: Arc<str>,
    addr: SocketAddr,
}

impl Control {
    /// Takes in the stream of a run of this instance, and tells the instances that hold its record.
    pub(super) fn own_streams(&self, records: &[StreamRecord]) {
        if records.is_empty() {
            return;
        }
        let now_ms = self.clock.now_ms();
        let mut state = self.state.borrow_mut();
        records.iter().for_each(|record| state.streams.records.own(record, now_ms));
        drop(state);
        self.send_stream_records(records);
    }

    /// Notes that a run of this instance has ended.
    pub(super) fn disown_stream(&self, stream: policy::StreamKey) {
        self.state.borrow_mut().streams.records.disown(stream);
    }

    /// Sends each record to its holders, those for one instance together.
    fn send_stream_records(&self, records: &[StreamRecord]) {
        let mut batches: BTreeMap<SocketAddr, Vec<StreamRecord>> = BTreeMap::new();
        let writers = self.stream_writers();
        let state = self.state.borrow();
        for record in records {
            let alive = state.membership.alive().map(|member| &member.descriptor.registration);
            let alive = alive.map(|other| (&other.id, other.peer_addr));
            let mut holders: BTreeSet<SocketAddr> =
                policy::ranked(record.stream, alive, policy::REPLICAS).into_iter().collect();
            holders.extend(&writers);
            for addr in holders {
                batches.entry(addr).or_default().push(record.clone());
            }
        }
        drop(state);
        for (addr, batch) in batches {
            for part in batch.chunks(MAX_BATCH_RECORDS) {
                self.send(&Message::StreamRecords(part.to_vec()), &[addr]);
            }
        }
    }

    /// The instances that write the records of all streams to the directory, while a service has
    /// several versions.
    fn stream_writers(&self) -> BTreeSet<SocketAddr> {
        if !self.has_several_versions() {
            return BTreeSet::new();
        }
        let state = self.state.borrow();
        let alive = state.membership.alive().map(|member| &member.descriptor);
        let ranks = alive.map(|other| (other.rank(), other.registration.peer_addr));
        watchers::stream_writers(ranks).into_iter().collect()
    }

    /// Whether a service whose streams callers may take up had several versions in the last minute.
    fn has_several_versions(&self) -> bool {
        self.versions_to_store().iter().any(|note| note.versions.len() > 1)
    }

    /// The number of writers before this one, if it is one of those that write the records of streams.
    fn writer_position(&self) -> Option<usize> {
        let ahead = self.ranked_before_self();
        (ahead < policy::WRITERS && self.should_register()).then_some(ahead)
    }

    /// Takes in records of streams from the directory, as they were when it was listed.
    pub(super) fn note_stored_streams(&self, records: &[StreamRecord]) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.borrow_mut();
        records.iter().for_each(|record| state.streams.records.note_stored(record, now_ms));
    }

    /// Takes in that records of streams were written to the directory.
    pub(super) fn note_written_streams(&self, record: &Record) {
        if let Record::Streams(records) = record {
            self.state.borrow_mut().streams.log.note_stored(records, self.clock.now_ms());
        }
    }

    /// Writes the records of all streams to the directory while a service has several versions, so that
    /// they outlast the loss of all instances.
    pub(super) async fn store_streams(self: Rc<Control>) {
        // A segment of an earlier process under this id must not be replaced.
        let writer = format!("{}-{:08x}", self.me.id, fastrand::u32(..));
        loop {
            tokio::time::sleep(Duration::from_millis(policy::WRITE_INTERVAL_MS)).await;
            let Some(ahead) = self.writer_position() else { continue };
            if !self.has_several_versions() {
                continue;
            }
            let now_ms = self.clock.now_ms();
            let segment = {
                let StreamVersionState { records, log, .. } = &mut self.state.borrow_mut().streams;
                log.next(records, ahead, now_ms)
            };
            let Some(segment) = segment else { continue };
            let written =
                self.directory.remember_streams(&writer, &segment, policy::SEGMENT_TTL_MS).await;
            let now_ms = self.clock.now_ms();
            let log = &mut self.state.borrow_mut().streams.log;
            match written {
                Ok(lease) => {
                    self.metrics.count("stream_segments_written");
                    log.note_written(segment, lease, now_ms);
                }
                Err(fault) => {
                    log.note_failed();
                    slog::info!(self.log, "could not store the versions of streams";
                        "records" => segment.records.len(), "why" => %fault);
                }
            }
        }
    }

    pub(super) fn handle_stream_records(&self, records: &[StreamRecord], now_ms: u64) {
        let mut state = self.state.borrow_mut();
        records.iter().for_each(|record| state.streams.records.note(record, now_ms));
    }

    /// Tells the records of live streams again: datagrams are lost, and instances restart.
    pub(super) async fn repeat_stream_records(self: Rc<Control>) {
        loop {
            tokio::time::sleep(Duration::from_millis(REPEAT_INTERVAL_MS)).await;
            let now_ms = self.clock.now_ms();
            let mut state = self.state.borrow_mut();
            state.streams.records.expire(now_ms);
            state.streams.history.expire(now_ms);
            let own = state.streams.records.repeat_own(now_ms);
            self.metrics.gauge("stream_records", state.streams.records.len() as u64);
            drop(state);
            self.send_stream_records(&own);
        }
    }

    /// What this instance knows of a stream, in answer to a question that came when so many calls to the
    /// directory had begun.
    fn known_of_stream(&self, query: &StreamQuery, calls_before: u64) -> StreamAnswer {
        let now_ms = self.clock.now_ms();
        let state = self.state.borrow();
        let streams = &state.streams;
        let version =
            query.stream.and_then(|stream| streams.records.version_of(stream, now_ms).cloned());
        let mut service_versions = streams.history.versions_of(&query.service, now_ms);
        if state.rediscovered.serves(&query.service) {
            service_versions.insert(SoftwareVersion::Unknown);
        }
        // Where several versions may have begun it, a newer list tells no more.
        let may_tell = version.is_none() && service_versions.len() == 1;
        let list_age = if streams.sight.is_newer_than(calls_before) {
            ListAge::NewerThanQuestion
        } else if may_tell && Control::has_working_watch(&state) {
            ListAge::Asked
        } else {
            ListAge::Unknown
        };
        let knows_all = Control::knows_all_versions(&state, now_ms);
        StreamAnswer { number: query.number, version, service_versions, knows_all, list_age }
    }

    /// Whether this instance saw all versions that services had in the last minute, up to the age of its
    /// list.
    fn knows_all_versions(state: &ControlState, now_ms: u64) -> bool {
        let streams = &state.streams;
        let has_seen = streams.has_listed || now_ms >= streams.in_touch_since_ms + VERSION_TTL_MS;
        state.has_fleet && state.held_part.share.is_all() && has_seen
    }

    /// The other instances, given which of them have answered.
    fn others(state: &ControlState, lookup: &Lookup, asked: usize, now_ms: u64) -> Others {
        let since_ms = now_ms.saturating_sub(VERSION_TTL_MS);
        let lost = || state.membership.unplanned_deaths_since(since_ms);
        let readers = state.membership.alive().chain(lost()).map(|member| &member.descriptor);
        let readers = readers.filter(|descriptor| descriptor.is_watching_directory);
        let unheard =
            readers.filter(|descriptor| !lookup.has_answered(&descriptor.registration.id));
        Others {
            alive: state.membership.alive().count(),
            lost: lost().count(),
            asked,
            unheard_readers: unheard.count(),
        }
    }

    /// Answers a question at once, and again when the directory has answered a call that began since.
    pub(super) fn handle_stream_query(self: &Rc<Control>, query: StreamQuery, from: SocketAddr) {
        self.look_for_standstill();
        let calls_before = self.state.borrow().streams.sight.last_begun();
        let answer = self.known_of_stream(&query, calls_before);
        let list_age = answer.list_age;
        self.send(&Message::StreamAnswer(answer), &[from]);
        let question = (from, query.number);
        if list_age != ListAge::Asked || !self.state.borrow_mut().streams.questions.insert(question)
        {
            return;
        }
        let control = Rc::clone(self);
        tokio::task::spawn_local(async move {
            control.wait_for_sight(calls_before).await;
            control.state.borrow_mut().streams.questions.remove(&question);
            let mut answer = control.known_of_stream(&query, calls_before);
            if answer.list_age == ListAge::Asked {
                answer.list_age = ListAge::Unknown;
            }
            control.send(&Message::StreamAnswer(answer), &[from]);
        });
    }

    /// Waits until the list holds the directory's answer to a call that begins after so many calls have
    /// begun, while the directory may answer. Returns whether it does.
    async fn wait_for_sight(&self, calls_before: u64) -> bool {
        let until_ms = self.clock.now_ms() + policy::MAX_LOOKUP_MS;
        let sighted = Rc::clone(&self.state.borrow().streams.sighted);
        loop {
            if self.state.borrow().streams.sight.is_newer_than(calls_before) {
                return true;
            }
            let now_ms = self.clock.now_ms();
            if now_ms >= until_ms || !Control::has_working_watch(&self.state.borrow()) {
                return false;
            }
            self.ask_directory_anew(now_ms);
            tokio::select! {
                () = sighted.notified() => {}
                () = tokio::time::sleep(Duration::from_millis(DIRECTORY_PAUSE_MS)) => {}
            }
        }
    }

    /// Has the directory asked at once, at a limited rate: one call serves all questions before it.
    fn ask_directory_anew(&self, now_ms: u64) {
        let mut state = self.state.borrow_mut();
        if now_ms >= state.streams.next_directory_call_ms {
            state.streams.next_directory_call_ms = now_ms + DIRECTORY_PAUSE_MS;
            self.directory_check.notify_one();
        }
    }

    pub(super) fn handle_stream_answer(&self, answer: StreamAnswer, from: SocketAddr) {
        let state = self.state.borrow();
        if let Some(search) = state.streams.searches.get(&answer.number) {
            // The search may have ended.
            let _ = search.send((from, answer));
        }
    }

    /// Finds the version of a stream that a caller takes up: here, else at the instances that may
    /// hold its record.
    pub(super) async fn search_stream(self: Rc<Control>, search: StreamSearch) {
        let (number, mut answers) = self.state.borrow_mut().streams.begin_search();
        let StreamSearch { stream, service, found } = search;
        let query = StreamQuery { number, stream, service };
        let since_ms = self.clock.now_ms();
        let found_version = self.ask_for_stream(&query, &mut answers).await;
        self.state.borrow_mut().streams.searches.remove(&number);
        self.log_search(stream, &found_version, since_ms);
        let version = found_version.map(|found| found.version);
        // The caller may have left.
        let _ = found.send(version);
    }

    fn log_search(&self, stream: Option<policy::StreamKey>, found: &Option<Found>, since_ms: u64) {
        let now_ms = self.clock.now_ms();
        let state = self.state.borrow();
        let StreamVersionState { sight, standstills, .. } = &state.streams;
        slog::info!(self.log, "stream version searched for"; "stream" => stream.as_ref().map(ToString::to_string),
            "version" => found.as_ref().map(|found| found.version.to_string()),
            "proof" => found.as_ref().map(|found| found.proof.to_string()),
            "from" => found.as_ref().and_then(|found| found.from.as_deref()),
            "ms" => now_ms - since_ms, "list_age_ms" => sight.age_ms(now_ms),
            "stood_still_before_ms" => standstills.age_ms(now_ms));
    }

    /// Notes that this instance calls the directory for what changed.
    pub(super) fn begin_directory_call(&self) -> DirectoryCall {
        let now_ms = self.clock.now_ms();
        self.state.borrow_mut().streams.sight.begin(now_ms)
    }

    /// Notes that the list of upstreams holds the answer of a call.
    pub(super) fn note_sight(&self, call: DirectoryCall) {
        let streams = &mut self.state.borrow_mut().streams;
        streams.sight.note_seen(call);
        streams.sighted.notify_waiters();
    }

    /// Watches whether this instance stands still.
    pub(super) async fn look_for_standstills(self: Rc<Control>) {
        loop {
            self.look_for_standstill();
            tokio::time::sleep(Duration::from_millis(standstill::LOOK_INTERVAL_MS)).await;
        }
    }

    fn look_for_standstill(&self) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.borrow_mut();
        let stood_still_ms = state.streams.standstills.look(now_ms);
        let since_ms = now_ms.saturating_sub(VERSION_TTL_MS);
        let has_lost_all = state.membership.alive().next().is_none()
            && state.membership.unplanned_deaths_since(since_ms).next().is_some();
        // A watch that goes on brings all changes of the time between.
        if (stood_still_ms.is_some() || has_lost_all) && !Control::has_working_watch(&state) {
            state.streams.has_listed = false;
            state.streams.in_touch_since_ms = now_ms;
        }
        drop(state);
        if let Some(stood_still_ms) = stood_still_ms {
            slog::info!(self.log, "this instance stood still"; "ms" => stood_still_ms);
            self.metrics.count("standstills");
        }
    }

    async fn ask_for_stream(
        &self,
        query: &StreamQuery,
        answers: &mut mpsc::UnboundedReceiver<(SocketAddr, StreamAnswer)>,
    ) -> Option<Found> {
        self.look_for_standstill();
        let calls_before = self.state.borrow().streams.sight.last_begun();
        let mut lookup = Lookup::default();
        let until_ms = self.clock.now_ms() + policy::MAX_LOOKUP_MS;
        loop {
            let own = self.known_of_stream(query, calls_before);
            let is_asking = own.list_age == ListAge::Asked;
            let found = lookup.note_own(own);
            if found.is_some() {
                return found;
            }
            let now_ms = self.clock.now_ms();
            let asked = self.instances_to_ask(query);
            let unanswered: Vec<SocketAddr> = asked
                .iter()
                .filter(|other| !lookup.is_done(&other.id))
                .map(|other| other.addr)
                .collect();
            let knows_members = Control::knows_members(&self.state.borrow());
            let is_over = unanswered.is_empty() && knows_members && !is_asking;
            if is_over || now_ms >= until_ms {
                let state = self.state.borrow();
                let others = Control::others(&state, &lookup, asked.len(), now_ms);
                return lookup.conclude(others);
            }
            if is_asking {
                self.ask_directory_anew(now_ms);
            }
            self.send(&Message::AskStream(query.clone()), &unanswered);
            let next_ms = (now_ms + policy::LOOKUP_INTERVAL_MS).min(until_ms);
            while let Some((from, answer)) = self.next_answer(answers, next_ms).await {
                let sender = asked.iter().find(|other| other.addr == from);
                // An instance that is no longer known may still hold the record.
                let sender = sender.map_or_else(|| Arc::from(""), |other| Arc::clone(&other.id));
                let found = lookup.note(sender, answer);
                if found.is_some() {
                    return found;
                }
                if asked.iter().all(|other| lookup.is_done(&other.id)) {
                    break;
                }
            }
        }
    }

    /// The next answer; `None` at a time, or when the list holds a newer answer of the directory.
    async fn next_answer(
        &self,
        answers: &mut mpsc::UnboundedReceiver<(SocketAddr, StreamAnswer)>,
        until_ms: u64,
    ) -> Option<(SocketAddr, StreamAnswer)> {
        let sighted = Rc::clone(&self.state.borrow().streams.sighted);
        tokio::select! {
            answer = answers.recv() => answer,
            () = sighted.notified() => None,
            () = self.clock.sleep_until(until_ms) => None,
        }
    }

    /// The instances that may hold a stream's record, and those that know all versions of services.
    fn instances_to_ask(&self, query: &StreamQuery) -> Vec<Asked> {
        let state = self.state.borrow();
        let alive = || state.membership.alive().map(|member| &member.descriptor);
        let registrations = alive().map(|descriptor| &descriptor.registration);
        let by_id = registrations.map(|other| (&other.id, other));
        let mut asked = match query.stream {
            Some(stream) => policy::ranked(stream, by_id, policy::MAX_ASKED),
            None => Vec::new(),
        };
        let ranks = alive().map(|descriptor| (descriptor.rank(), &descriptor.registration));
        asked.extend(watchers::full_holders(ranks));
        let mut ids = BTreeSet::new();
        asked.retain(|other| ids.insert(&other.id));
        let asked = asked.into_iter();
        asked.map(|other| Asked { id: Arc::clone(&other.id), addr: other.peer_addr }).collect()
    }

    /// Takes in which versions the list of upstreams names now.
    pub(super) fn note_listed_versions(state: &mut ControlState, now_ms: u64) {
        let changes = state.fleet.changes();
        let ControlState { streams, fleet, .. } = state;
        if streams.history.note_list(fleet.upstreams.values(), changes, now_ms) {
            streams.changed.notify_one();
        }
    }

    /// Takes in the versions of a service that are noted in the directory.
    pub(super) fn note_stored_versions(&self, note: VersionNote) {
        let now_ms = self.clock.now_ms();
        self.state.borrow_mut().streams.history.note_stored(note, now_ms);
    }

    /// The versions of services whose streams callers may take up.
    fn versions_to_store(&self) -> Vec<VersionNote> {
        let state = self.state.borrow();
        let mut notes = state.streams.history.all_notes(self.clock.now_ms());
        let routes = || state.config.iter().flat_map(|config| &config.routes);
        notes.retain(|note| {
            let leads_there = |route: &&Arc<Route>| {
                route.targets.iter().any(|target| target.service == note.service)
            };
            routes().filter(leads_there).any(|route| route.repeat == Repeat::Resumable)
        });
        notes
    }

    /// Keeps the versions of services in the directory, so that they outlast the loss of all instances.
    /// A few instances do this for all.
    pub(super) async fn store_versions(self: Rc<Control>) {
        let changed = Rc::clone(&self.state.borrow().streams.changed);
        loop {
            tokio::select! {
                () = changed.notified() => {}
                () = tokio::time::sleep(Duration::from_millis(STORE_CHECK_MS)) => {}
            }
            if !self.should_register() {
                continue;
            }
            for note in self.versions_to_store() {
                let Some(ttl_ms) = self.must_store(&note) else { continue };
                match self.directory.remember_versions(&note, ttl_ms).await {
                    Ok(None) => {}
                    Ok(Some(noted)) => {
                        slog::info!(self.log, "other versions of a service are noted already";
                            "service" => &*note.service, "noted" => noted.versions.len());
                        self.note_stored_versions(noted);
                        changed.notify_one();
                        continue;
                    }
                    Err(fault) => {
                        slog::info!(self.log, "could not store the versions of a service";
                            "service" => &*note.service, "why" => %fault);
                        tokio::time::sleep(Duration::from_millis(STORE_RETRY_PAUSE_MS)).await;
                        changed.notify_one();
                        continue;
                    }
                }
                let at_ms = self.clock.now_ms();
                let VersionNote { service, versions } = note;
                let stored = StoredVersions { versions, at_ms };
                self.state.borrow_mut().streams.stored.insert(service, stored);
            }
        }
    }

    /// For how long the versions of a service are to be stored now, if they are. A single one is stored
    /// as well, by the first in rank alone: another one may appear, and all instances be lost before that
    /// is stored.
    fn must_store(&self, note: &VersionNote) -> Option<u64> {
        let has_several = note.versions.len() > 1;
        if !has_several && self.ranked_before_self() > 0 {
            return None;
        }
        let (interval_ms, ttl_ms) = match has_several {
            true => (STORE_INTERVAL_MS, STORED_TTL_MS),
            false => (SINGLE_INTERVAL_MS, SINGLE_TTL_MS),
        };
        let now_ms = self.clock.now_ms();
        let state = self.state.borrow();
        let stored = state.streams.stored.get(&note.service);
        let is_stored = stored.is_some_and(|stored| {
            stored.versions == note.versions && now_ms < stored.at_ms + interval_ms
        });
        (!is_stored).then_some(ttl_ms)
    }
}
