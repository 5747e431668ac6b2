//! Permits to send to upstreams that limit their rate: the decision alone, in virtual time.

use std::collections::BTreeSet;
use std::sync::Arc;

use siskinrock::gateway::policy::named_rates::AdvertisedRates;
use siskinrock::gateway::policy::rate_limit::{self, Limiter, Liveness};
use siskinrock::gateway::rate::{AdvertisedRate, Permit, Rate};
use yare::parameterized;

/// Any span of this length counts.
const SPAN_MS: u64 = 4_000;
/// How long until an instance knows who has gone or come.
const NOTICED_MS: u64 = 1_500;
/// How long an instance that fell silent counts as one that may live on.
const SILENT_COUNTS_MS: u64 = 10_000;
/// From this moment on, the rate is held to.
const HELD_TO_FROM_MS: u64 = 4_000;
const STEP_MS: u64 = 5;
const UPSTREAM: &str = "i-7e6cb34cad";

/// What becomes of some instances of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    /// Nothing.
    None,
    /// All are killed at once, and start again.
    Restart,
    /// A third stands still for three seconds, with what it knew.
    Freeze,
    /// One after the other ends and is back later.
    Stops,
    /// Half of them are cut off from the others, and send on.
    Cut,
    /// Each is cut off from all others, in turn.
    CutOneByOne,
}

/// An instance as it is at a moment.
struct Instance {
    id: Arc<str>,
    started_ms: u64,
    limiter: Limiter,
    throttled_until_ms: u64,
}

struct Fleet {
    instances: Vec<Instance>,
    trouble: Trouble,
}

impl Fleet {
    fn new(count: usize, trouble: Trouble) -> Fleet {
        let new = |number: usize| Instance {
            id: Arc::from(format!("edge-{number}")),
            started_ms: 0,
            limiter: Limiter::default(),
            throttled_until_ms: 0,
        };
        Fleet { instances: (0..count).map(new).collect(), trouble }
    }

    /// Whether an instance runs.
    fn runs(&self, number: usize, now_ms: u64) -> bool {
        match self.trouble {
            Trouble::Restart => !(8_000..8_500).contains(&now_ms),
            Trouble::Freeze => !number.is_multiple_of(3) || !(8_000..11_000).contains(&now_ms),
            Trouble::Stops => {
                let turn = now_ms / 1_000;
                !(turn > 4 && turn % self.instances.len() as u64 == number as u64)
            }
            _ => true,
        }
    }

    /// Whether two instances reach each other.
    fn reach(&self, one: usize, other: usize, now_ms: u64) -> bool {
        let is_cut = match self.trouble {
            Trouble::Cut => (8_000..16_000).contains(&now_ms) && one % 2 != other % 2,
            Trouble::CutOneByOne => {
                let turn = (now_ms / 2_500) as usize % self.instances.len();
                now_ms > 6_000 && (one == turn || other == turn)
            }
            _ => false,
        };
        one == other || !is_cut
    }

    /// Whom an instance takes for alive: what it noticed of the others.
    fn known(&self, me: usize, now_ms: u64) -> BTreeSet<usize> {
        let then_ms = now_ms.saturating_sub(NOTICED_MS);
        let is_known = |other: &usize| {
            let has_met =
                self.instances[me].started_ms + NOTICED_MS <= now_ms || now_ms < NOTICED_MS;
            *other == me
                || (has_met && self.runs(*other, then_ms) && self.reach(me, *other, then_ms))
        };
        (0..self.instances.len()).filter(is_known).collect()
    }

    /// Others that fell silent lately.
    fn silent(&self, me: usize, known: &BTreeSet<usize>, now_ms: u64) -> usize {
        let is_old = now_ms.saturating_sub(self.instances[me].started_ms) > NOTICED_MS;
        let lasts_short = now_ms < 8_000 + SILENT_COUNTS_MS;
        if is_old && lasts_short { self.instances.len() - known.len() } else { 0 }
    }

    /// Whether an instance may send one request.
    fn asks(&mut self, me: usize, rate: Rate, now_ms: u64) -> bool {
        if self.instances[me].throttled_until_ms > now_ms {
            return false;
        }
        let known = self.known(me, now_ms);
        let ids = known.iter().map(|number| &self.instances[*number].id);
        let owner = rate_limit::bucket_owner(UPSTREAM, ids).cloned().expect("it knows itself");
        let owner = self.instances.iter().position(|other| other.id == owner).unwrap();
        let permit = if self.runs(owner, now_ms) && self.reach(me, owner, now_ms) {
            let seen = self.known(owner, now_ms);
            let liveness =
                Liveness { alive: seen.len(), silent: self.silent(owner, &seen, now_ms) };
            let lives_ms = now_ms - self.instances[owner].started_ms;
            let limiter = &mut self.instances[owner].limiter;
            limiter.request_permit(&Arc::from(UPSTREAM), rate, liveness, lives_ms)
        } else {
            Permit::Wait { after_ms: 250 }
        };
        if let Permit::Wait { after_ms } = permit {
            self.instances[me].throttled_until_ms = now_ms + after_ms;
        }
        permit == Permit::Granted
    }

    fn restart_all(&mut self, now_ms: u64) {
        for instance in &mut self.instances {
            instance.started_ms = now_ms;
            instance.limiter = Limiter::default();
            instance.throttled_until_ms = 0;
        }
    }

    /// When requests reach the upstream, if each instance wants to send ten a second.
    fn play(&mut self, rate: Rate, until_ms: u64) -> Vec<u64> {
        let mut random = fastrand::Rng::with_seed(7);
        let mut sent = Vec::new();
        for now_ms in (0..until_ms).step_by(STEP_MS as usize) {
            if self.trouble == Trouble::Restart && now_ms == 8_500 {
                self.restart_all(now_ms);
            }
            for me in 0..self.instances.len() {
                let wants = random.u64(..1_000) < 10 * STEP_MS;
                if wants && self.runs(me, now_ms) && self.asks(me, rate, now_ms) {
                    sent.push(now_ms);
                }
            }
        }
        sent
    }
}

fn most_in_a_span(sent: &[u64]) -> usize {
    let held_to = || sent.iter().filter(|at_ms| **at_ms >= HELD_TO_FROM_MS);
    let within = |first_ms: &u64| {
        held_to().filter(|at_ms| (*first_ms..first_ms + SPAN_MS).contains(at_ms)).count()
    };
    held_to().map(within).max().unwrap_or(0)
}

/// However many instances there are and whatever becomes of them, an upstream gets no more than one and
/// a half times its rate and five more in any four seconds; while they are well, it gets most of it.
#[parameterized(
    well = { Trouble::None },
    restart = { Trouble::Restart },
    freeze = { Trouble::Freeze },
    stops = { Trouble::Stops },
    cut = { Trouble::Cut },
    cut_one_by_one = { Trouble::CutOneByOne },
)]
fn instances_keep_to_an_upstreams_rate_together(trouble: Trouble) {
    for count in [1, 9, 73] {
        for per_s in [0.5, 2.0, 8.4, 28.0, 120.0] {
            let sent = Fleet::new(count, trouble).play(Rate::per_s(per_s), 20_000);
            let allowed = (6.0 * per_s) as usize + 5;
            let most = most_in_a_span(&sent);
            assert!(most <= allowed, "{count} at {per_s}: {most} of {allowed}");
            let wanted = 10.0 * count as f64;
            let taken = sent.len() as f64 / 20.0;
            let is_used = taken >= 0.6 * per_s.min(wanted) - 0.3;
            assert!(
                trouble != Trouble::None || is_used,
                "{count} at {per_s}: only {taken} a second"
            );
        }
    }
}

/// An owner that has just started may not know the others yet.
#[test]
fn who_has_just_started_grants_nothing() {
    let mut limiter = Limiter::default();
    let alone = Liveness { alive: 1, silent: 0 };
    let asked = limiter.request_permit(&Arc::from(UPSTREAM), Rate::per_s(1_000.0), alone, 100);
    assert_eq!(asked, Permit::Wait { after_ms: 1_400 });
}

/// An upstream that takes nothing still gets a request now and then: only its answer can tell that the
/// limit is over.
#[test]
fn a_rate_of_nothing_leaves_a_request_in_ten_seconds() {
    let sent = Fleet::new(9, Trouble::None).play(Rate::per_s(0.0), 60_000);
    assert!((3..=6).contains(&sent.len()), "{sent:?}");
}

#[parameterized(
    whole = { "8", Some(8.0) },
    decimal = { " 8.4 ", Some(8.4) },
    nothing = { "0", Some(0.0) },
    negative = { "-1", None },
    endless = { "inf", None },
    no_number = { "NaN", None },
    a_word = { "few", None },
    empty = { "", None },
)]
fn a_rate_is_read_or_none(value: &str, per_s: Option<f64>) {
    assert_eq!(Rate::parse(value), per_s.map(Rate::per_s));
}

/// Of nine instances, one that goes gives up only the upstreams whose buckets it kept.
#[test]
fn other_upstreams_keep_their_bucket_owners_when_an_instance_goes() {
    let all: Vec<Arc<str>> = (0..9).map(|number| Arc::from(format!("edge-{number}"))).collect();
    for upstream in (0..100).map(|number| format!("i-{number}")) {
        let before = rate_limit::bucket_owner(&upstream, all.iter());
        let after = rate_limit::bucket_owner(&upstream, all[1..].iter());
        assert!(before == after || before == Some(&all[0]));
    }
}

fn told(per_s: f64, age_ms: u64) -> AdvertisedRate {
    AdvertisedRate { upstream: Arc::from(UPSTREAM), rate: Rate::per_s(per_s), age_ms }
}

/// Instances that tell each other all that they know don't keep a rate alive that nobody names any more.
#[test]
fn a_rate_that_is_passed_on_gets_no_younger() {
    let mut instances =
        [AdvertisedRates::default(), AdvertisedRates::default(), AdvertisedRates::default()];
    assert!(instances[0].note(&told(6.0, 0), 1_000));
    assert!(!instances[0].note(&told(6.0, 0), 2_000), "it is news once in ten seconds");
    for now_ms in (1_000..60_000).step_by(100) {
        let from = (now_ms / 100) as usize % 3;
        let all = instances[from].all(now_ms);
        for other in [(from + 1) % 3, (from + 2) % 3] {
            for told in &all {
                instances[other].note(told, now_ms);
            }
            instances[other].forget(now_ms);
        }
        let is_known = instances.iter().all(|rates| rates.of(UPSTREAM).is_some());
        assert!(now_ms < 2_000 || is_known == (now_ms < 31_000), "at {now_ms} ms: {is_known}");
    }
}

/// Of two rates, the one that was named last counts, whichever is heard last.
#[test]
fn the_rate_that_was_named_last_counts() {
    let mut rates = AdvertisedRates::default();
    assert!(rates.note(&told(6.0, 100), 1_000));
    assert!(!rates.note(&told(9.0, 500), 1_010));
    assert!(rates.note(&told(3.0, 0), 1_020));
    assert_eq!(rates.of(UPSTREAM).map(|named| named.rate), Some(Rate::per_s(3.0)));
}
