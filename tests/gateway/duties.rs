//! Duties, which one instance at a time performs: the lease in every order of events, usage counts,
//! and real gateway processes with a platform that misbehaves.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::time::Duration;

use siskinrock::gateway::policy::lease::{AcquireAttempt, Action, DutyLease, Holder};
use siskinrock::gateway::policy::usage::{Counter, Schedule, Usage, UsageUpdate, Window};
use siskinrock_fakes::caller;
use siskinrock_fakes::cloud::{Cloud, Fault};
use siskinrock_fakes::process::wait_for;
use siskinrock_fakes::store;
use yare::parameterized;

use crate::support::{self, Running, call};

/// Duration of the lease in the state exploration below, in time steps; its safety margin is one
/// step.
const TTL_STEPS: u64 = 6;
/// Number of successive events that are explored.
const MAX_DEPTH: usize = 16;
/// Number of instances that may hold the lease in the exploration.
const INSTANCES: usize = 3;

/// The entry in the directory.
#[derive(Debug, Clone)]
struct Entry {
    instance: usize,
    nonce: u64,
    lease: u64,
    token: u64,
    until_ms: u64,
}

/// A write that the directory may execute at any later time.
#[derive(Debug, Clone)]
struct DelayedWrite {
    instance: usize,
    nonce: u64,
    lease: u64,
    until_ms: u64,
}

/// Outcome of a call to the directory.
#[derive(Debug, Clone, Copy)]
enum CallOutcome {
    Done,
    AnswerLost,
    Lost,
    Delayed,
}

#[derive(Debug, Clone)]
struct State {
    now_ms: u64,
    entry: Option<Entry>,
    revision: u64,
    delayed: Vec<DelayedWrite>,
    leases: Vec<DutyLease>,
}

impl State {
    fn new() -> State {
        let leases = (0..INSTANCES).map(|_| DutyLease::new(TTL_STEPS)).collect();
        State { now_ms: 1, entry: None, revision: 0, delayed: Vec::new(), leases }
    }

    fn tick(&mut self) {
        self.now_ms += 1;
        if self.entry.as_ref().is_some_and(|entry| entry.until_ms <= self.now_ms) {
            self.entry = None;
        }
    }

    fn holder(&self) -> Option<Holder> {
        let entry = self.entry.as_ref()?;
        Some(Holder {
            id: entry.instance.to_string().into(),
            nonce: entry.nonce,
            token: entry.token,
        })
    }

    fn write(&mut self, write: DelayedWrite) -> Option<u64> {
        let DelayedWrite { instance, nonce, lease, until_ms } = write;
        if self.entry.is_some() || until_ms <= self.now_ms {
            return None;
        }
        self.revision += 1;
        let token = self.revision;
        self.entry = Some(Entry { instance, nonce, lease, token, until_ms });
        Some(token)
    }

    /// Lets one instance determine and perform the next step about its lease.
    fn step(&mut self, instance: usize, outcome: CallOutcome) {
        let now_ms = self.now_ms;
        // No two writes have the same nonce or lease.
        let nonce = now_ms * 10 + instance as u64;
        match self.leases[instance].next_action(0, nonce, now_ms) {
            Some(Action::Acquire { nonce }) => self.acquire(instance, nonce, outcome),
            Some(Action::ReadBack) if matches!(outcome, CallOutcome::Done) => {
                let holder = self.holder();
                self.leases[instance].note_read(holder.as_ref(), now_ms);
            }
            Some(Action::Renew { lease }) => self.renew(instance, lease, outcome),
            _ => {}
        }
    }

    fn acquire(&mut self, instance: usize, nonce: u64, outcome: CallOutcome) {
        let now_ms = self.now_ms;
        let write = DelayedWrite { instance, nonce, lease: nonce, until_ms: now_ms + TTL_STEPS };
        let attempt = AcquireAttempt { nonce, lease: nonce, requested_ms: now_ms };
        match outcome {
            CallOutcome::Done => match self.write(write) {
                Some(token) => self.leases[instance].note_acquired(attempt, token),
                None => {
                    let holder = self.holder();
                    self.leases[instance].note_holder(holder.as_ref(), now_ms);
                }
            },
            CallOutcome::AnswerLost => {
                self.write(write);
                self.leases[instance].note_outcome_unknown(attempt);
            }
            CallOutcome::Lost => self.leases[instance].note_outcome_unknown(attempt),
            CallOutcome::Delayed => {
                self.delayed.push(write);
                self.leases[instance].note_outcome_unknown(attempt);
            }
        }
    }

    fn renew(&mut self, instance: usize, lease: u64, outcome: CallOutcome) {
        let now_ms = self.now_ms;
        let arrives = matches!(outcome, CallOutcome::Done | CallOutcome::AnswerLost);
        let is_there = self.entry.as_ref().is_some_and(|entry| entry.lease == lease);
        if let Some(entry) = self.entry.as_mut().filter(|entry| arrives && entry.lease == lease) {
            entry.until_ms = now_ms + TTL_STEPS;
        }
        match outcome {
            CallOutcome::Done if is_there => self.leases[instance].note_renewed(now_ms),
            CallOutcome::Done => self.leases[instance].note_ended(now_ms),
            _ => {}
        }
    }

    /// Lets an instance that watches the directory see the entry, or that it is gone.
    fn observe(&mut self, instance: usize) {
        let holder = self.holder();
        let now_ms = self.now_ms;
        self.leases[instance].note_holder(holder.as_ref(), now_ms);
    }

    /// Returns all states that follow by one event.
    fn next(&self) -> Vec<State> {
        let mut states = Vec::new();
        let mut add = |change: &dyn Fn(&mut State)| {
            let mut state = self.clone();
            change(&mut state);
            states.push(state);
        };
        add(&State::tick);
        for instance in 0..INSTANCES {
            add(&|state| state.observe(instance));
            for outcome in [
                CallOutcome::Done,
                CallOutcome::AnswerLost,
                CallOutcome::Lost,
                CallOutcome::Delayed,
            ] {
                add(&|state| state.step(instance, outcome));
            }
        }
        for index in 0..self.delayed.len() {
            add(&|state| {
                let write = state.delayed.remove(index);
                state.write(write);
            });
        }
        states
    }

    /// Returns the instances that may act now, with their tokens.
    fn active_holders(&self) -> Vec<(usize, u64)> {
        let tokens = self.leases.iter().enumerate();
        tokens.filter_map(|(instance, lease)| Some((instance, lease.token(self.now_ms)?))).collect()
    }

    fn check(&self) {
        let active_holders = self.active_holders();
        assert!(active_holders.len() <= 1, "two may act at {}: {self:?}", self.now_ms);
        for (instance, token) in active_holders {
            let entry = self.entry.as_ref().expect("an instance that may act has an entry");
            assert_eq!((entry.instance, entry.token), (instance, token), "{self:?}");
        }
    }
}

/// Explores every order of steps, lost responses, delayed writes, pauses (an instance does nothing
/// while time passes) and takeovers, up to a depth. No two instances may act at the same time, and
/// none may act without its entry in the directory; so tokens rise from holder to holder, and no
/// two holders use the same one.
#[test]
fn in_every_order_of_events_one_instance_at_most_may_act() {
    let mut seen = HashSet::new();
    let mut queue = VecDeque::from([(State::new(), 0)]);
    let max_states = std::env::var("SISKINROCK_LEASE_STATES").ok();
    let max_states: usize =
        max_states.and_then(|max_states| max_states.parse().ok()).unwrap_or(60_000);
    while let Some((state, depth)) = queue.pop_front() {
        for next in state.next() {
            next.check();
            let is_new = seen.len() < max_states && seen.insert(format!("{next:?}"));
            if is_new && depth + 1 < MAX_DEPTH {
                queue.push_back((next, depth + 1));
            }
        }
    }
    println!("{} states explored, up to {MAX_DEPTH} events deep", seen.len());
    assert!(seen.len() > 10_000);
}

/// An instance that was paused or suspended for longer than its lease does nothing under it.
#[test]
fn a_paused_holder_acts_only_under_a_valid_lease() {
    let mut lease = DutyLease::new(3_000);
    lease.note_acquired(AcquireAttempt { nonce: 1, lease: 5, requested_ms: 1_000 }, 41);
    assert_eq!(lease.token(3_400), Some(41));
    assert_eq!(lease.token(3_600), None, "it stops before another instance can get the lease");
    assert!(matches!(lease.next_action(0, 9, 4_100), Some(Action::Acquire { nonce: 9 })));
    lease.note_renewed(4_100);
    assert_eq!(lease.token(4_200), None, "a renewal after the end of the lease changes nothing");
}

/// Instances that come later in rank leave a free lease to the others for a moment.
#[test]
fn the_first_in_rank_takes_a_lease_that_is_free() {
    let mut lease = DutyLease::new(3_000);
    let holder = Holder { id: "edge-1".into(), nonce: 3, token: 7 };
    lease.note_holder(Some(&holder), 500);
    assert_eq!(lease.next_action(0, 9, 9_000), None, "another instance holds the lease");
    lease.note_holder(None, 9_000);
    assert_eq!(lease.next_action(2, 9, 9_500), None);
    assert_eq!(lease.next_action(2, 9, 9_600), Some(Action::Acquire { nonce: 9 }));
}

fn update(
    id: &str,
    incarnation: u64,
    monotonic_ms: u64,
    wall_ms: u64,
    counter: &mut Counter,
) -> UsageUpdate {
    let slots = counter.recent_slots(monotonic_ms);
    UsageUpdate { id: id.into(), incarnation, monotonic_ms, wall_ms, slots }
}

fn counted_in_window(usage: &Usage, number: u64) -> u64 {
    usage.counts_in(Window { number, length_ms: 5_000 }).values().sum()
}

/// Messages arrive twice, late or not at all. The counts that an instance sent before it ended are
/// kept, and none is counted again after its restart.
#[parameterized(few = { 3, 7 }, some = { 30, 11 }, many = { 100, 13 })]
fn counts_are_complete_despite_lost_and_duplicate_messages(instances: usize, seed: u64) {
    const START_MS: u64 = 1_000_000_000;
    // Wall clocks differ, some of them by seconds.
    let skew_ms = |index: usize| if index.is_multiple_of(5) { 1_400 } else { index as u64 % 3 };
    let mut random = fastrand::Rng::with_seed(seed);
    let mut usage = Usage::default();
    let mut expected: BTreeMap<u64, u64> = BTreeMap::new();
    let mut counters: Vec<(u64, Counter)> = Vec::new();
    counters.resize_with(instances, || (1, Counter::default()));
    let mut sent: Vec<UsageUpdate> = Vec::new();
    for now_ms in (0..30_000).step_by(20) {
        counters[random.usize(..instances)].1.count("huka".into(), now_ms);
        *expected.entry((START_MS + now_ms) / 5_000).or_insert(0) += 1;
        if now_ms % 500 == 0 {
            for (index, (incarnation, counter)) in counters.iter_mut().enumerate() {
                let wall_ms = START_MS + now_ms + skew_ms(index);
                let latest =
                    update(&format!("edge-{index}"), *incarnation, now_ms, wall_ms, counter);
                sent.push(latest.clone());
                if random.u32(..5) > 0 {
                    usage.apply(latest, now_ms);
                }
            }
        }
        if now_ms % 3_000 == 1_000 {
            // The instance ends right after it has sent its last counts, and restarts.
            let index = random.usize(..instances);
            let (incarnation, counter) = &mut counters[index];
            let wall_ms = START_MS + now_ms + skew_ms(index);
            let last = update(&format!("edge-{index}"), *incarnation, now_ms, wall_ms, counter);
            usage.apply(last, now_ms);
            (*incarnation, *counter) = (*incarnation + 1, Counter::default());
        }
        if let Some(old) = sent.last().cloned() {
            usage.apply(old, now_ms);
        }
    }
    for number in (START_MS / 5_000)..(START_MS + 20_000) / 5_000 {
        let (counted, started) = (counted_in_window(&usage, number), expected[&number]);
        let deviation = counted.abs_diff(started) as f64 / started as f64;
        assert!(deviation <= 0.05, "window {number}: {counted} of {started}");
    }
}

/// A window is due from a moment after its end, when its counts are known, until its report is no
/// longer accepted.
#[test]
fn windows_are_due_after_their_end() {
    let schedule = Schedule { window_ms: 5_000, max_delay_ms: 10_000 };
    let due = |cluster_ms| schedule.due(cluster_ms).map(|window| window.number).collect::<Vec<_>>();
    assert_eq!(due(102_499), [17, 18]);
    assert_eq!(due(102_500), [17, 18, 19], "window 19 ended at 100,000");
    assert_eq!(due(109_999), [18, 19, 20]);
    assert_eq!(
        due(110_000),
        [19, 20],
        "the report of window 18, which ended at 95,000, is no longer accepted"
    );
}

const WINDOW_MS: u64 = 1_000;
const MAX_REPORT_DELAY_MS: u64 = 4_000;
const LEASE_MS: u64 = 1_200;

/// Starts gateways that perform duties, with a platform that accepts their calls.
async fn start(gateways: u8) -> (Running, Cloud) {
    let cloud = Cloud::start().await;
    let mut running = support::start(gateways).await;
    for gateway in &mut running.gateways {
        let bounds = format!(
            "[bounds]\nlease-ms = {LEASE_MS}\nreport-window-s = {}\nusage-late-s = {}",
            WINDOW_MS / 1_000,
            MAX_REPORT_DELAY_MS / 1_000
        );
        let addr = cloud.addr;
        gateway.set("[bounds]", &bounds);
        let duties = format!("[cloud]\naddress = \"{addr}\"\nduties = [\"usage_reporting\"]\n");
        gateway.set("[provider]", &format!("{duties}[provider]"));
        gateway.kill();
        gateway.restart();
    }
    running.wait_until_ready().await;
    (running, cloud)
}

/// Sends a call every 20 ms through all gateways in turn for a time; returns how many were
/// executed.
async fn load(running: &Running, lasts: Duration) -> u64 {
    let until = std::time::Instant::now() + lasts;
    let mut ran = 0;
    for index in 0.. {
        if std::time::Instant::now() >= until {
            break;
        }
        let front = running.front(index % running.gateways.len());
        let answered = caller::send(front, &call("POST", "/book/a")).await;
        ran += u64::from(answered.is_ok_and(|answer| answer.status() == 200));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    ran
}

/// Asserts that all reports of a window are the same, and that no two holders use the same token.
fn assert_reports_consistent(cloud: &Cloud) {
    let seen = cloud.seen();
    let mut counts: BTreeMap<u64, Vec<u8>> = BTreeMap::new();
    let mut holders: BTreeMap<u64, String> = BTreeMap::new();
    for report in &seen {
        let first = counts.entry(report.window).or_insert_with(|| report.body.clone());
        assert_eq!(*first, report.body, "two reports of window {}", report.window);
        let holder = holders.entry(report.token).or_insert_with(|| report.holder.clone());
        assert_eq!(*holder, report.holder, "two holders use the token {}", report.token);
    }
}

#[tokio::test]
async fn usage_is_reported_once_a_window() {
    let (running, cloud) = start(3).await;
    let ran = load(&running, Duration::from_secs(4)).await;
    wait_for("the last windows are reported", async || cloud.counted() >= ran).await;
    assert_reports_consistent(&cloud);
    assert_eq!(cloud.counted(), ran);
    let held =
        running.gateways.iter().filter(|gateway| gateway.logged().contains("duties taken over"));
    assert_eq!(held.count(), 1);
}

/// The holder is killed, frozen past its lease or loses the platform's responses, twice in a row.
#[parameterized(
    killed = { Disturbance::Killed },
    frozen = { Disturbance::Frozen },
    silent = { Disturbance::Fault(Fault::AnswerLost) },
    busy = { Disturbance::Fault(Fault::Busy) },
    late = { Disturbance::Fault(Fault::Late) },
    store_silent = { Disturbance::StoreSilent },
)]
#[test_macro(tokio::test)]
async fn one_report_a_window_whatever_becomes_of_the_holder(disturbance: Disturbance) {
    let (mut running, cloud) = start(3).await;
    load(&running, Duration::from_millis(1_500)).await;
    for _ in 0..2 {
        let holder = running.holder().await;
        disturbance.begin(&mut running, &cloud, holder);
        tokio::time::sleep(Duration::from_millis(2 * LEASE_MS)).await;
        disturbance.end(&mut running, &cloud, holder);
        running.wait_until_ready().await;
        load(&running, Duration::from_millis(1_000)).await;
    }
    let newest = cloud.newest();
    wait_for("windows are reported again", async || cloud.newest() > newest + 2).await;
    assert_reports_consistent(&cloud);
    cloud.assert_fences_rise();
}

/// A disturbance of the holder or the platform.
#[derive(Debug, Clone, Copy)]
enum Disturbance {
    Killed,
    Frozen,
    Fault(Fault),
    StoreSilent,
}

impl Disturbance {
    fn begin(self, running: &mut Running, cloud: &Cloud, holder: usize) {
        match self {
            Disturbance::Killed => running.gateways[holder].kill(),
            Disturbance::Frozen => running.gateways[holder].signal(libc::SIGSTOP),
            Disturbance::Fault(fault) => cloud.fail(fault),
            Disturbance::StoreSilent => running.site.store.fail(store::Fault::Silent),
        }
    }

    fn end(self, running: &mut Running, cloud: &Cloud, holder: usize) {
        match self {
            Disturbance::Killed => running.gateways[holder].restart(),
            Disturbance::Frozen => running.gateways[holder].signal(libc::SIGCONT),
            Disturbance::Fault(_) => cloud.fail(Fault::None),
            Disturbance::StoreSilent => running.site.store.fail(store::Fault::None),
        }
    }
}

impl Running {
    /// Returns the index of the gateway that holds the duties.
    async fn holder(&self) -> usize {
        let mut holder = None;
        wait_for("a gateway holds the duties", async || {
            for (index, gateway) in self.gateways.iter().enumerate() {
                if gateway.metrics().await.contains("holds_duties 1") {
                    holder = Some(index);
                }
            }
            holder.is_some()
        })
        .await;
        holder.unwrap()
    }
}
