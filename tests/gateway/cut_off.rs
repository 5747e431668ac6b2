//! Instances that reach no upstream, while callers, the store and the other instances reach them.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use siskinrock_fakes::caller::Call;
use siskinrock_fakes::links::Cut;
use siskinrock_fakes::signals::Signals;
use siskinrock_fakes::site::{Site, ZONES};
use yare::parameterized;

use crate::load::{MAX_REFUSAL_DURATION, Received, booking_or_look_up, send};
use crate::support::{self, Running, plan};

/// How long after the beginning of a cut its callers may be served worse (`contact-ms`).
const CONTACT: Duration = Duration::from_secs(3);
/// How long the callers of cut instances are compared with the others after that.
const COMPARED: Duration = Duration::from_secs(4);
/// How long after the end of a cut everything is as before.
const RECOVERY: Duration = Duration::from_secs(3);
/// Interval between calls to one instance.
const CALL_INTERVAL: Duration = Duration::from_millis(100);
/// How long a call takes where many are to be under way when a cut begins.
const WORK_MS: u64 = 60;
/// Interval between streams to one instance.
const STREAM_INTERVAL: Duration = Duration::from_millis(1_500);

/// What became of the requests to an instance.
#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    sent: usize,
    served: usize,
}

impl Tally {
    fn add(&mut self, received: &Received) {
        self.sent += 1;
        self.served += usize::from(received.status == 200);
    }

    fn plus(self, other: Tally) -> Tally {
        Tally { sent: self.sent + other.sent, served: self.served + other.served }
    }
}

/// Sends calls and streams to each instance for some time; returns what became of them, by
/// instance.
async fn load_all(running: &Running, lasts: Duration) -> BTreeMap<usize, Vec<Received>> {
    let until = Instant::now() + lasts;
    let mut senders = tokio::task::JoinSet::new();
    for index in 0..running.gateways.len() {
        let front = running.front(index);
        senders.spawn(async move {
            let mut sent = tokio::task::JoinSet::new();
            let mut next_stream = Instant::now();
            let mut number = index as u64;
            while Instant::now() < until {
                if Instant::now() >= next_stream {
                    sent.spawn(send(front, plan()));
                    next_stream += STREAM_INTERVAL;
                }
                sent.spawn(send(front, booking_or_look_up(number)));
                number += 1;
                tokio::time::sleep(CALL_INTERVAL).await;
            }
            (index, sent.join_all().await)
        });
    }
    senders.join_all().await.into_iter().collect()
}

/// What became of the first attempts at the instances that are cut off, and at the others.
fn compare(all: &BTreeMap<usize, Vec<Received>>, cut: &[usize]) -> (Tally, Tally) {
    let mut tallies = (Tally::default(), Tally::default());
    for (index, received) in all {
        let tally = if cut.contains(index) { &mut tallies.0 } else { &mut tallies.1 };
        received.iter().for_each(|received| tally.add(received));
    }
    tallies
}

/// The bounds of the platform's rule: not less than two thirds as often as at the others, unless
/// no more than 10 and one in 50 of all first attempts fail at the cut instances.
fn assert_served_alike((cut, others): (Tally, Tally)) {
    let all = cut.plus(others);
    let failed = cut.sent - cut.served;
    let is_far_worse = 3 * cut.served * others.sent < 2 * others.served * cut.sent;
    let are_many = failed > 10 + all.sent / 50;
    assert!(!(is_far_worse && are_many), "cut off {cut:?}, others {others:?}");
}

/// Which instances are cut off.
#[derive(Debug, Clone, Copy)]
enum Which {
    Two,
    Zone,
    MostOfZone,
}

fn instances(which: Which, all: usize) -> Vec<usize> {
    let of_zone = |zone: usize| (0..all).filter(move |number| number % ZONES.len() == zone);
    match which {
        Which::Two => vec![0, 4],
        Which::Zone => of_zone(0).collect(),
        Which::MostOfZone => of_zone(1).skip(1).collect(),
    }
}

fn sources(running: &Running, instances: &[usize]) -> Vec<Ipv4Addr> {
    instances.iter().map(|index| running.place.ip(*index as u8)).collect()
}

fn assert_ran_once(running: &Running, all: &BTreeMap<usize, Vec<Received>>) {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for service in &running.site.services {
        for seen in service.seen().iter().filter(|seen| seen.ran && seen.request.start.0 == "POST")
        {
            let id = seen.request.header("x-request-id").unwrap_or_default();
            *runs.entry(id.to_owned()).or_default() += 1;
        }
    }
    assert!(runs.values().all(|runs| *runs == 1), "a booking ran twice");
    for received in all.values().flatten().filter(|received| received.status == 503) {
        assert_eq!(runs.get(&received.id), None, "refused and run");
    }
}

/// Guards against RECOVER: instances that were cut off refused what the others could have served.
#[parameterized(
    two_hang = { 9, Which::Two, Cut::Hang },
    two_reset = { 9, Which::Two, Cut::Reset },
    two_live_on = { 9, Which::Two, Cut::LiveOn },
    zone_hangs = { 9, Which::Zone, Cut::Hang },
    zone_resets = { 9, Which::Zone, Cut::Reset },
    zone_lives_on = { 9, Which::Zone, Cut::LiveOn },
    many_instances = { 73, Which::MostOfZone, Cut::Hang },
)]
#[test_macro(tokio::test)]
async fn callers_of_instances_that_reach_no_upstream_are_served(
    number: u8,
    which: Which,
    how: Cut,
) {
    let running = support::start_site(Site::start(4, 15).await, number).await;
    let cut = instances(which, number.into());
    load_all(&running, Duration::from_secs(2)).await;
    for _ in 0..2 {
        running.site.cut_from(&sources(&running, &cut), how);
        let before = load_all(&running, CONTACT).await;
        let during = load_all(&running, COMPARED).await;
        let (at_cut, at_others) = compare(&during, &cut);
        assert_served_alike((at_cut, at_others));
        assert_eq!(at_others.served, at_others.sent, "the cut is not theirs");
        assert_ran_once(&running, &before);
        assert_ran_once(&running, &during);
        running.site.cut_from(&[], how);
        load_all(&running, RECOVERY).await;
        let after = load_all(&running, Duration::from_secs(1)).await;
        let (cut, others) = compare(&after, &cut);
        assert_eq!(cut.served + others.served, cut.sent + others.sent, "after the cut");
    }
}

#[tokio::test]
async fn a_booking_runs_once_although_an_upstream_answers_with_the_mark_of_instances() {
    let running = support::start(3).await;
    let signals = Signals { has_instances_mark: true, ..Signals::default() };
    running.site.services.iter().for_each(|service| service.signal(signals));
    running.site.cut_from(&sources(&running, &[0]), Cut::Reset);
    let before = load_all(&running, CONTACT).await;
    let during = load_all(&running, Duration::from_secs(1)).await;
    assert_ran_once(&running, &before);
    assert_ran_once(&running, &during);
    assert!(during.values().flatten().all(|received| received.status == 200));
}

#[parameterized(hang = { Cut::Hang }, reset = { Cut::Reset })]
#[test_macro(tokio::test)]
async fn the_other_instances_eject_no_upstream_on_the_word_of_those_that_are_cut_off(how: Cut) {
    let running = support::start_site(Site::start(4, 15).await, 9).await;
    for service in &running.site.services {
        service.report_slowness(100);
        service.work_for(WORK_MS);
    }
    let cut: Vec<usize> = (0..6).collect();
    load_all(&running, Duration::from_secs(2)).await;
    running.site.cut_from(&sources(&running, &cut), how);
    load_all(&running, Duration::from_secs(2)).await;
    running.site.cut_from(&[], how);
    load_all(&running, RECOVERY).await;
    for gateway in &running.gateways[6..] {
        assert!(!gateway.logged().contains("upstream ejected"));
    }
}

/// Streams that a cut interrupts go on at other instances, each event exactly once.
#[parameterized(hang = { Cut::Hang }, reset = { Cut::Reset }, live_on = { Cut::LiveOn })]
#[test_macro(tokio::test)]
async fn streams_under_way_are_whole(how: Cut) {
    let running = support::start_site(Site::start(2, 60).await, 3).await;
    let plans: Vec<Call> = (0..8).map(|_| plan()).collect();
    let streams: Vec<_> = plans.iter().map(|plan| running.read_stream(plan)).collect();
    tokio::time::sleep(Duration::from_millis(400)).await;
    running.site.cut_from(&sources(&running, &[0]), how);
    for (plan, stream) in plans.iter().zip(streams) {
        let stream = stream.await.unwrap().unwrap();
        assert_eq!(stream.text, support::whole_text(plan, 0));
        assert!(stream.is_complete);
    }
}

/// Where no other instance can serve them, requests are refused at once and have not run.
#[parameterized(one_instance = { 1 }, all_of_three = { 3 })]
#[test_macro(tokio::test)]
async fn requests_are_refused_at_once_when_all_instances_are_cut_off(number: u8) {
    let running = support::start(number).await;
    let all: Vec<usize> = (0..usize::from(number)).collect();
    running.site.cut_from(&sources(&running, &all), Cut::Hang);
    load_all(&running, CONTACT).await;
    for received in load_all(&running, COMPARED).await.values().flatten() {
        assert_eq!((received.status, running.runs_of(&received.id)), (503, 0));
        assert!(received.took <= MAX_REFUSAL_DURATION && received.retry_after_s.is_some());
    }
    running.site.cut_from(&[], Cut::Hang);
    tokio::time::sleep(RECOVERY).await;
    let after = load_all(&running, Duration::from_secs(1)).await;
    assert!(after.values().flatten().all(|received| received.status == 200));
}
