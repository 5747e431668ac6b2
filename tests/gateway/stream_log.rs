//! The versions of streams outlast the loss of all instances, in the directory.

use std::collections::BTreeSet;
use std::time::Duration;

use siskinrock::gateway::fleet::SoftwareVersion;
use siskinrock::gateway::policy::stream_versions::{
    StreamKey, StreamLog, StreamRecord, StreamRecords,
};
use siskinrock_fakes::caller::{self, Call, Stream};
use siskinrock_fakes::process::{Process, wait_for};
use siskinrock_fakes::site::Site;
use yare::parameterized;

use crate::support::{self, Running, plan, whole_text};

/// Between two events: a stream takes two seconds, far longer than a record waits to be written.
const STEP_MS: u64 = 100;
/// Longer than a record waits to be written.
const WRITTEN: Duration = Duration::from_millis(800);
const VERSIONS: [&str; 2] = ["v1", "v1.1"];

fn taken_up(first: &Call, after: u64) -> Call {
    Call {
        id: support::new_id(),
        last_event: Some(after),
        resumes: Some(first.id.clone()),
        ..first.clone()
    }
}

fn last_event(stream: &Stream) -> u64 {
    stream.text.matches("id: ").count() as u64
}

/// A site whose engines run two versions.
async fn start(gateways: u8) -> Running {
    let site = Site::start(2, STEP_MS).await;
    for (index, engine) in site.engines.iter().enumerate() {
        engine.set_version(VERSIONS[index % VERSIONS.len()]);
        site.list_engine(index, "ready");
    }
    support::start_site(site, gateways).await
}

impl Running {
    /// The versions that made events of any of these requests.
    fn made_by(&self, tries: &[&Call]) -> BTreeSet<String> {
        let is_one = |id: Option<&str>| tries.iter().any(|sent| id == Some(&*sent.id));
        let seen = self.site.engines.iter().flat_map(|engine| engine.seen());
        let made =
            seen.filter(|seen| seen.has_events && is_one(seen.request.header("x-request-id")));
        made.map(|seen| seen.version).collect()
    }

    /// Begins streams at all instances, and waits until each has an event.
    async fn begin(&self, streams: usize) -> Vec<(Call, Reading)> {
        let all: Vec<(Call, Reading)> = (0..streams)
            .map(|number| {
                let (sent, front) = (plan(), self.front(number % self.gateways.len()));
                let call = sent.clone();
                (sent, tokio::spawn(async move { caller::stream(front, &call).await }))
            })
            .collect();
        wait_for("all streams have begun", async || {
            all.iter().all(|(sent, _)| !self.made_by(&[sent]).is_empty())
        })
        .await;
        all
    }

    /// Has callers take up what they lost. Returns how many went on, and checks that none was joined.
    async fn take_up(&self, lost: &[(Call, Stream)]) -> usize {
        let tries = lost.iter().enumerate().map(async |(number, (sent, part))| {
            let again = taken_up(sent, last_event(part));
            let rest = caller::stream(self.front(number % self.gateways.len()), &again).await;
            assert!(self.made_by(&[sent, &again]).len() <= 1, "joined from two versions");
            let whole =
                rest.is_ok_and(|rest| part.text.clone() + &rest.text == whole_text(sent, 0));
            usize::from(whole)
        });
        futures_util::future::join_all(tries).await.into_iter().sum()
    }
}

type Reading = tokio::task::JoinHandle<std::io::Result<Stream>>;

/// What callers have of the streams that were lost.
async fn parts_of(all: Vec<(Call, Reading)>) -> Vec<(Call, Stream)> {
    let mut parts = Vec::new();
    for (sent, reading) in all {
        let part = reading.await.unwrap().unwrap();
        if !part.is_complete && last_event(&part) > 0 {
            parts.push((sent, part));
        }
    }
    parts
}

/// How all instances are lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    AtOnce,
    OneAfterAnother,
    Twice,
}

/// Guards against streams of two versions that never go on after the loss of all instances.
#[parameterized(
    alone = { 1, Loss::AtOnce },
    three = { 3, Loss::AtOnce },
    nine = { 9, Loss::AtOnce },
    many = { 20, Loss::AtOnce },
    one_after_another = { 9, Loss::OneAfterAnother },
    twice = { 3, Loss::Twice },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 4))]
async fn streams_go_on_at_their_version_after_the_loss_of_all_instances(gateways: u8, loss: Loss) {
    let mut running = start(gateways).await;
    // A single instance of many is a writer only once it knows the others.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let all = running.begin(24).await;
    tokio::time::sleep(WRITTEN).await;
    for gateway in &mut running.gateways {
        gateway.kill();
        if loss == Loss::OneAfterAnother {
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
    }
    let lost = parts_of(all).await;
    running.gateways.iter_mut().for_each(Process::restart);
    running.wait_until_ready().await;
    if loss == Loss::Twice {
        running.gateways.iter_mut().for_each(Process::kill);
        running.gateways.iter_mut().for_each(Process::restart);
        running.wait_until_ready().await;
    }
    let gone_on = running.take_up(&lost).await;
    assert!(lost.len() >= 12, "{} streams were lost", lost.len());
    assert!(2 * gone_on >= lost.len(), "{gone_on} of {} went on", lost.len());
}

/// Guards against a text that is joined from two versions: the old one's engines left while all
/// instances were lost, so that none of them saw two versions.
#[parameterized(three = { 3 }, nine = { 9 })]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 4))]
async fn a_stream_is_not_joined_by_a_version_that_came_while_all_were_lost(gateways: u8) {
    let site = Site::start(2, STEP_MS).await;
    let mut running = support::start_site(site, gateways).await;
    wait_for("the version is stored", async || {
        !running.site.store.keys("siskinrock/versions/").is_empty()
    })
    .await;
    let all = running.begin(6).await;
    running.gateways.iter_mut().for_each(Process::kill);
    let lost = parts_of(all).await;
    for (index, engine) in running.site.engines.iter().enumerate() {
        running.site.store.remove(&format!("servers/{}", engine.current_id()));
        engine.come_back(&format!("i-newer-{index}"));
        engine.set_version("v2");
        running.site.list_engine(index, "ready");
    }
    running.gateways.iter_mut().for_each(Process::restart);
    running.wait_until_ready().await;
    assert!(!lost.is_empty());
    running.take_up(&lost).await;
    let begun = caller::stream(running.front(0), &plan()).await.unwrap();
    assert!(begun.is_complete, "new streams begin");
}

fn record(name: &str, version: &str) -> StreamRecord {
    let stream = StreamKey::of(name, None, "plan-llm");
    StreamRecord { stream, version: SoftwareVersion::named(version) }
}

fn known(records: &[StreamRecord], now_ms: u64) -> StreamRecords {
    let mut known = StreamRecords::default();
    records.iter().for_each(|record| known.note(record, now_ms));
    known
}

/// A segment holds what was written before under its lease; the next lease begins another one.
#[test]
fn records_are_written_once_and_together() {
    let mut log = StreamLog::default();
    let [a, b, c] = ["a", "b", "c"].map(|name| record(name, "v1"));
    let known = known(&[a.clone(), b.clone()], 0);
    let first = log.next(&known, 0, 100).unwrap();
    assert_eq!((first.number, first.records.len(), first.lease), (1, 2, None));
    log.note_written(first, 7, 100);
    assert_eq!(log.next(&known, 0, 600), None, "nothing is new");
    let mut known = known;
    known.note(&c, 600);
    let second = log.next(&known, 0, 700).unwrap();
    assert_eq!((second.number, second.records.len(), second.lease), (1, 3, Some(7)));
    log.note_written(second, 7, 700);
    known.note(&record("d", "v2"), 11_000);
    let third = log.next(&known, 0, 11_000).unwrap();
    assert_eq!((third.number, third.records.len(), third.lease), (2, 1, None));
}

/// A write whose answer is lost may have been done; its records are written again.
#[test]
fn a_failed_write_is_repeated() {
    let mut log = StreamLog::default();
    let known = known(&[record("a", "v1")], 0);
    let lost = log.next(&known, 0, 100).unwrap();
    log.note_failed();
    let again = log.next(&known, 0, 600).unwrap();
    assert_eq!(again.records, lost.records);
    assert!(again.number > lost.number, "what was done is not replaced");
}

/// The second writer waits for the first, and writes what that one didn't.
#[test]
fn the_second_writer_takes_over() {
    let mut log = StreamLog::default();
    let [a, b] = ["a", "b"].map(|name| record(name, "v1"));
    let known = known(&[a.clone(), b.clone()], 0);
    assert_eq!(log.next(&known, 1, 500), None);
    log.note_stored(&[a], 900);
    assert_eq!(log.next(&known, 1, 2_500).unwrap().records, [b]);
}

/// A stream that still runs is written again before its lease ends; one that ended is not.
#[test]
fn only_live_streams_are_written_again() {
    let mut log = StreamLog::default();
    let [live, ended] = ["live", "ended"].map(|name| record(name, "v1"));
    let mut known = known(&[live.clone(), ended], 0);
    let first = log.next(&known, 0, 0).unwrap();
    log.note_written(first, 7, 0);
    known.note(&live, 20_000);
    assert_eq!(log.next(&known, 0, 21_000).unwrap().records, [live]);
}

/// What isn't certain is not kept: an unknown version, and two versions under one key.
#[test]
fn uncertain_records_are_neither_written_nor_believed() {
    let mut log = StreamLog::default();
    let unknown = StreamRecord { version: SoftwareVersion::Unknown, ..record("unknown", "v1") };
    let reused = [record("reused", "v1"), record("reused", "v2")];
    let mut known = known(&[unknown, reused[0].clone(), reused[1].clone()], 0);
    assert_eq!(log.next(&known, 0, 0), None);
    assert_eq!(known.version_of(reused[0].stream, 0), None);
    // The directory's record of the first doesn't settle it.
    known.note_stored(&reused[0], 100);
    assert_eq!(known.version_of(reused[0].stream, 100), None);
}
