//! Permits for upstreams with a rate limit: only the decision, in virtual time.

use std::collections::BTreeSet;
use std::sync::Arc;

use siskinrock::gateway::policy::advertised_rates::AdvertisedRates;
use siskinrock::gateway::policy::rate_limit::{self, Limiter, Liveness};
use siskinrock::gateway::rate::{AdvertisedRate, Permit, Rate};
use yare::parameterized;

/// Length of the spans over which requests are counted.
const SPAN_MS: u64 = 4_000;
/// Time until an instance notices that another one has gone or come.
const DETECTION_MS: u64 = 1_500;
/// How long an instance that stopped responding counts as possibly alive.
const POSSIBLY_ALIVE_MS: u64 = 10_000;
/// Time from which the rate must be kept.
const ENFORCED_FROM_MS: u64 = 4_000;
const STEP_MS: u64 = 5;
const UPSTREAM: &str = "i-7e6cb34cad";

/// What happens to some instances of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scenario {
    /// Nothing.
    None,
    /// All are killed at once, and restart.
    Restart,
    /// A third is suspended for three seconds and keeps its state.
    Freeze,
    /// One after the other ends and restarts later.
    Stops,
    /// A partition cuts off half of them from the others, and they go on sending.
    Partition,
    /// A partition cuts off each from all others, in turn.
    PartitionOneByOne,
}

/// State of an instance.
struct Instance {
    id: Arc<str>,
    started_ms: u64,
    limiter: Limiter,
    throttled_until_ms: u64,
}

struct Fleet {
    instances: Vec<Instance>,
    scenario: Scenario,
}

impl Fleet {
    fn new(count: usize, scenario: Scenario) -> Fleet {
        let new = |number: usize| Instance {
            id: Arc::from(format!("edge-{number}")),
            started_ms: 0,
            limiter: Limiter::default(),
            throttled_until_ms: 0,
        };
        Fleet { instances: (0..count).map(new).collect(), scenario }
    }

    /// Returns whether an instance is running.
    fn is_running(&self, number: usize, now_ms: u64) -> bool {
        match self.scenario {
            Scenario::Restart => !(8_000..8_500).contains(&now_ms),
            Scenario::Freeze => !number.is_multiple_of(3) || !(8_000..11_000).contains(&now_ms),
            Scenario::Stops => {
                let turn = now_ms / 1_000;
                !(turn > 4 && turn % self.instances.len() as u64 == number as u64)
            }
            _ => true,
        }
    }

    /// Returns whether two instances can reach each other.
    fn can_reach(&self, one: usize, other: usize, now_ms: u64) -> bool {
        let is_cut = match self.scenario {
            Scenario::Partition => (8_000..16_000).contains(&now_ms) && one % 2 != other % 2,
            Scenario::PartitionOneByOne => {
                let turn = (now_ms / 2_500) as usize % self.instances.len();
                now_ms > 6_000 && (one == turn || other == turn)
            }
            _ => false,
        };
        one == other || !is_cut
    }

    /// Returns the instances that one considers alive, by what it has noticed of the others.
    fn considered_alive(&self, me: usize, now_ms: u64) -> BTreeSet<usize> {
        let then_ms = now_ms.saturating_sub(DETECTION_MS);
        let is_known = |other: &usize| {
            let is_settled =
                self.instances[me].started_ms + DETECTION_MS <= now_ms || now_ms < DETECTION_MS;
            *other == me
                || (is_settled
                    && self.is_running(*other, then_ms)
                    && self.can_reach(me, *other, then_ms))
        };
        (0..self.instances.len()).filter(is_known).collect()
    }

    /// Returns the number of other instances that stopped responding recently.
    fn silent(&self, me: usize, considered_alive: &BTreeSet<usize>, now_ms: u64) -> usize {
        let is_old = now_ms.saturating_sub(self.instances[me].started_ms) > DETECTION_MS;
        let is_recent = now_ms < 8_000 + POSSIBLY_ALIVE_MS;
        if is_old && is_recent { self.instances.len() - considered_alive.len() } else { 0 }
    }

    /// Returns whether an instance may send one request.
    fn may_send(&mut self, me: usize, rate: Rate, now_ms: u64) -> bool {
        if self.instances[me].throttled_until_ms > now_ms {
            return false;
        }
        let considered_alive = self.considered_alive(me, now_ms);
        let ids = considered_alive.iter().map(|number| &self.instances[*number].id);
        let owner =
            rate_limit::bucket_owner(UPSTREAM, ids).cloned().expect("an instance knows itself");
        let owner = self.instances.iter().position(|other| other.id == owner).unwrap();
        let permit = if self.is_running(owner, now_ms) && self.can_reach(me, owner, now_ms) {
            let owner_considers_alive = self.considered_alive(owner, now_ms);
            let liveness = Liveness {
                alive: owner_considers_alive.len(),
                silent: self.silent(owner, &owner_considers_alive, now_ms),
            };
            let uptime_ms = now_ms - self.instances[owner].started_ms;
            let limiter = &mut self.instances[owner].limiter;
            limiter.request_permit(&Arc::from(UPSTREAM), rate, liveness, uptime_ms)
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

    /// Returns the times at which requests reach the upstream, if each instance tries to send ten a
    /// second.
    fn simulate(&mut self, rate: Rate, until_ms: u64) -> Vec<u64> {
        let mut random = fastrand::Rng::with_seed(7);
        let mut sent = Vec::new();
        for now_ms in (0..until_ms).step_by(STEP_MS as usize) {
            if self.scenario == Scenario::Restart && now_ms == 8_500 {
                self.restart_all(now_ms);
            }
            for me in 0..self.instances.len() {
                let wants = random.u64(..1_000) < 10 * STEP_MS;
                if wants && self.is_running(me, now_ms) && self.may_send(me, rate, now_ms) {
                    sent.push(now_ms);
                }
            }
        }
        sent
    }
}

fn max_in_a_span(sent: &[u64]) -> usize {
    let enforced = || sent.iter().filter(|at_ms| **at_ms >= ENFORCED_FROM_MS);
    let within = |first_ms: &u64| {
        enforced().filter(|at_ms| (*first_ms..first_ms + SPAN_MS).contains(at_ms)).count()
    };
    enforced().map(within).max().unwrap_or(0)
}

/// However many instances there are and whatever happens to them, an upstream receives at most 1.5
/// times its rate and five more requests in any four seconds. While nothing happens to them, it
/// receives most of its rate.
#[parameterized(
    well = { Scenario::None },
    restart = { Scenario::Restart },
    freeze = { Scenario::Freeze },
    stops = { Scenario::Stops },
    cut = { Scenario::Partition },
    cut_one_by_one = { Scenario::PartitionOneByOne },
)]
fn instances_keep_to_an_upstreams_rate_together(scenario: Scenario) {
    for count in [1, 9, 73] {
        for per_s in [0.5, 2.0, 8.4, 28.0, 120.0] {
            let sent = Fleet::new(count, scenario).simulate(Rate::per_s(per_s), 20_000);
            let allowed = (6.0 * per_s) as usize + 5;
            let max_sent = max_in_a_span(&sent);
            assert!(max_sent <= allowed, "{count} at {per_s}: {max_sent} of {allowed}");
            let wanted = 10.0 * count as f64;
            let taken = sent.len() as f64 / 20.0;
            let is_used = taken >= 0.6 * per_s.min(wanted) - 0.3;
            assert!(
                scenario != Scenario::None || is_used,
                "{count} at {per_s}: only {taken} a second"
            );
        }
    }
}

/// An owner that has just started may not know the other instances yet.
#[test]
fn an_instance_that_has_just_started_grants_nothing() {
    let mut limiter = Limiter::default();
    let alone = Liveness { alive: 1, silent: 0 };
    let asked = limiter.request_permit(&Arc::from(UPSTREAM), Rate::per_s(1_000.0), alone, 100);
    assert_eq!(asked, Permit::Wait { after_ms: 1_400 });
}

/// An upstream with a rate of zero still receives a request now and then: only its response can
/// show that the limit has been lifted.
#[test]
fn a_rate_of_zero_lets_a_request_pass_every_ten_seconds() {
    let sent = Fleet::new(9, Scenario::None).simulate(Rate::per_s(0.0), 60_000);
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
fn a_rate_is_parsed_or_none(value: &str, per_s: Option<f64>) {
    assert_eq!(Rate::parse(value), per_s.map(Rate::per_s));
}

/// When one of nine instances goes, only the buckets that it owned change owners.
#[test]
fn other_upstreams_keep_their_bucket_owners_when_an_instance_goes() {
    let all: Vec<Arc<str>> = (0..9).map(|number| Arc::from(format!("edge-{number}"))).collect();
    for upstream in (0..100).map(|number| format!("i-{number}")) {
        let before = rate_limit::bucket_owner(&upstream, all.iter());
        let after = rate_limit::bucket_owner(&upstream, all[1..].iter());
        assert!(before == after || before == Some(&all[0]));
    }
}

fn advertised(per_s: f64, age_ms: u64) -> AdvertisedRate {
    AdvertisedRate { upstream: Arc::from(UPSTREAM), rate: Rate::per_s(per_s), age_ms }
}

/// Instances that keep sending each other all they know must not keep a rate alive that no upstream
/// advertises any more.
#[test]
fn forwarding_does_not_renew_a_rate() {
    let mut instances =
        [AdvertisedRates::default(), AdvertisedRates::default(), AdvertisedRates::default()];
    assert!(instances[0].note(&advertised(6.0, 0), 1_000));
    assert!(
        !instances[0].note(&advertised(6.0, 0), 2_000),
        "an unchanged rate is new again only after ten seconds"
    );
    for now_ms in (1_000..60_000).step_by(100) {
        let from = (now_ms / 100) as usize % 3;
        let all = instances[from].all(now_ms);
        for other in [(from + 1) % 3, (from + 2) % 3] {
            for advertised in &all {
                instances[other].note(advertised, now_ms);
            }
            instances[other].forget(now_ms);
        }
        let is_known = instances.iter().all(|rates| rates.of(UPSTREAM).is_some());
        assert!(now_ms < 2_000 || is_known == (now_ms < 31_000), "at {now_ms} ms: {is_known}");
    }
}

/// Of two rates, the one that was advertised last applies, whichever is received last.
#[test]
fn the_most_recently_advertised_rate_applies() {
    let mut rates = AdvertisedRates::default();
    assert!(rates.note(&advertised(6.0, 100), 1_000));
    assert!(!rates.note(&advertised(9.0, 500), 1_010));
    assert!(rates.note(&advertised(3.0, 0), 1_020));
    assert_eq!(rates.of(UPSTREAM).map(|entry| entry.rate), Some(Rate::per_s(3.0)));
}
