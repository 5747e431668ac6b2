//! Upstreams that advertise a rate limit for all instances together.

use std::time::{Duration, Instant};

use siskinrock_fakes::engine::Seen;
use siskinrock_fakes::service::Fault;
use siskinrock_fakes::signals::Signals;
use yare::parameterized;

use crate::load::{
    self, CALL_INTERVAL, MAX_REFUSAL_DURATION, Received, STREAM_INTERVAL, booking_or_look_up,
};
use crate::support::{self, call, plan};

/// The rate that upstreams advertise.
const LIMIT_PER_S: f64 = 6.0;
/// Time after an upstream has advertised its rate from which the limit must be kept.
const ENFORCED_AFTER: Duration = Duration::from_secs(3);
/// Length of the spans over which requests are counted: 1.5 times the rate and five more are
/// allowed.
const SPAN: Duration = Duration::from_secs(4);
/// How long callers send requests after the rate was advertised.
const LOAD_DURATION: Duration = Duration::from_secs(9);

fn limiting() -> Signals {
    Signals { limit_per_s: Some(LIMIT_PER_S), ..Signals::default() }
}

/// Returns the maximum number of requests that an upstream received within any span from a time on.
fn max_in_a_span(seen: &[Seen], from: Instant) -> usize {
    let at: Vec<Instant> = seen.iter().map(|seen| seen.at).filter(|at| *at >= from).collect();
    let within = |first: &Instant| {
        at.iter().filter(|other| *other >= first && other.duration_since(*first) < SPAN).count()
    };
    at.iter().map(within).max().unwrap_or(0)
}

/// Returns the number of requests allowed within a span.
fn allowed() -> usize {
    (1.5 * LIMIT_PER_S * SPAN.as_secs_f64()) as usize + 5
}

fn assert_within(seen: &[Seen], advertised_at: Instant) {
    let max_seen = max_in_a_span(seen, advertised_at + ENFORCED_AFTER);
    assert!(max_seen <= allowed(), "{max_seen} requests in 4 s, {} are allowed", allowed());
}

/// Two of three services advertise a rate, and the third takes the remaining requests. Before rates
/// were read, a service with a limit of 6 a second received 130 to 230 requests in 4 s, where 41
/// are allowed.
#[parameterized(one_instance = { 1 }, nine_instances = { 9 }, many_instances = { 73 })]
#[test_macro(tokio::test)]
async fn upstreams_that_limit_their_rate_get_no_more(instances: u8) {
    let running = support::start(instances).await;
    let advertised_at = Instant::now();
    for service in &running.site.services[..2] {
        service.signal(limiting());
    }
    let got =
        load::run_load(&running, CALL_INTERVAL, booking_or_look_up, advertised_at + LOAD_DURATION)
            .await;
    for service in &running.site.services[..2] {
        assert_within(&service.seen(), advertised_at);
    }
    let unserved = got.iter().filter(|got| got.status != 200).count();
    assert_eq!(
        unserved,
        0,
        "of {} calls: the third service takes what the others don't",
        got.len()
    );
}

/// Calls beyond the rates of all upstreams are refused at once and not executed, and at least 60 % of
/// the rates is used.
#[parameterized(one_instance = { 1 }, nine_instances = { 9 })]
#[test_macro(tokio::test)]
async fn calls_beyond_the_rates_of_all_upstreams_are_refused_at_once(instances: u8) {
    let running = support::start(instances).await;
    let advertised_at = Instant::now();
    running.site.services.iter().for_each(|service| service.signal(limiting()));
    let got =
        load::run_load(&running, CALL_INTERVAL, booking_or_look_up, advertised_at + LOAD_DURATION)
            .await;
    running.site.services.iter().for_each(|service| assert_within(&service.seen(), advertised_at));
    let (served, refused): (Vec<&Received>, Vec<&Received>) =
        got.iter().partition(|got| got.status == 200);
    let taken = running.site.services.len() as f64 * LIMIT_PER_S * LOAD_DURATION.as_secs_f64();
    assert!(
        served.len() as f64 >= 0.6 * taken,
        "{} calls served, where the limits allow {taken}",
        served.len()
    );
    for got in refused {
        assert_eq!(got.status, 503);
        assert!(got.retry_after_s.is_some_and(|after_s| after_s > 0.0));
        assert_eq!(running.runs_of(&got.id), 0);
        assert!(got.took <= MAX_REFUSAL_DURATION, "refused after {:?}", got.took);
    }
}

/// Retries after errors, hedges beside unresponsive upstreams and calls that lost their upstream
/// count towards the same limit as first attempts.
#[parameterized(
    errors = { Fault::Error },
    lost_answers = { Fault::LostAnswer },
    silent = { Fault::Mute },
    full = { Fault::Full },
)]
#[test_macro(tokio::test)]
async fn repeats_keep_to_the_rate_as_well(fault: Fault) {
    let running = support::start(3).await;
    let advertised_at = Instant::now();
    for service in &running.site.services[..2] {
        service.signal(limiting());
    }
    running.site.services[2].fail(fault);
    let look_up = |_| call("GET", "/look/seat");
    let got = load::run_load(&running, CALL_INTERVAL, look_up, advertised_at + LOAD_DURATION).await;
    for service in &running.site.services[..2] {
        assert_within(&service.seen(), advertised_at);
    }
    let refused = got.iter().filter(|got| got.status == 503);
    refused
        .for_each(|got| assert_eq!(running.runs_of(&got.id), 0, "a refused call was not executed"));
}

/// Streams, resumed streams and those that continue from a KV cache copy keep to the rate of
/// engines.
#[parameterized(calm = { false }, engines_crash = { true })]
#[test_macro(tokio::test)]
async fn streams_keep_to_the_rate(engines_crash: bool) {
    let running = support::start(3).await;
    let advertised_at = Instant::now();
    running.site.engines.iter().for_each(|engine| engine.signal(limiting()));
    let crash = async {
        let mut crashed = 0;
        while engines_crash && advertised_at.elapsed() < LOAD_DURATION {
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            running.site.engines[crashed % 2].fail(siskinrock_fakes::engine::Fault::Torn);
            tokio::time::sleep(Duration::from_millis(500)).await;
            running.site.engines[crashed % 2].fail(siskinrock_fakes::engine::Fault::None);
            crashed += 1;
        }
    };
    let streams =
        load::run_load(&running, STREAM_INTERVAL, |_| plan(), advertised_at + LOAD_DURATION);
    let (got, ()) = tokio::join!(streams, crash);
    running.site.engines.iter().for_each(|engine| assert_within(&engine.seen(), advertised_at));
    let served = got.iter().filter(|got| got.status == 200).count();
    assert!(served * 2 >= got.len(), "{served} of {} began", got.len());
    let refused = got.iter().filter(|got| got.status == 503);
    refused.for_each(|got| assert_eq!(running.runs_of(&got.id), 0));
}

/// Instances that are frozen, killed, stopped and started change the owners of the token buckets.
#[tokio::test]
async fn the_rate_holds_while_instances_come_and_go() {
    let mut running = support::start(9).await;
    let advertised_at = Instant::now();
    running.site.services.iter().for_each(|service| service.signal(limiting()));
    let fronts: Vec<_> = running.gateways.iter().map(|gateway| gateway.front).collect();
    let callers = tokio::spawn(async move {
        let mut asked = tokio::task::JoinSet::new();
        let mut number = 0;
        while advertised_at.elapsed() < 2 * LOAD_DURATION {
            let front = fronts[fastrand::usize(..fronts.len())];
            asked.spawn(load::send(front, booking_or_look_up(number)));
            number += 1;
            tokio::time::sleep(CALL_INTERVAL).await;
        }
        asked.join_all().await
    });
    for round in 0..4 {
        let [frozen, killed, stopped] = [round, round + 4, (round + 7) % 9];
        running.gateways[frozen].signal(libc::SIGSTOP);
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        running.gateways[killed].kill();
        running.gateways[stopped].signal(libc::SIGTERM);
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        running.gateways[frozen].signal(libc::SIGCONT);
        running.gateways[killed].restart();
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        if running.gateways[stopped].has_ended() {
            running.gateways[stopped].restart();
        }
    }
    let got = callers.await.expect("no caller panics");
    running.site.services.iter().for_each(|service| assert_within(&service.seen(), advertised_at));
    assert!(got.iter().filter(|got| got.status == 200).count() > 100);
}

/// An upstream that no longer advertises a rate takes its part of the requests again.
#[tokio::test]
async fn a_rate_that_is_no_longer_advertised_is_lifted() {
    let running = support::start(3).await;
    let limited = &running.site.services[0];
    limited.signal(limiting());
    load::run_load(&running, CALL_INTERVAL, booking_or_look_up, Instant::now() + ENFORCED_AFTER)
        .await;
    limited.signal(Signals::default());
    load::run_load(&running, CALL_INTERVAL, booking_or_look_up, Instant::now() + ENFORCED_AFTER)
        .await;
    let before = limited.seen().len();
    let got = load::run_load(
        &running,
        CALL_INTERVAL,
        booking_or_look_up,
        Instant::now() + ENFORCED_AFTER,
    )
    .await;
    let taken = limited.seen().len() - before;
    assert!(taken * 6 > got.len(), "{taken} of {} calls went to one of three services", got.len());
}

/// Guards against an instance that has just started and sends without a limit. It never learned of
/// the rate, since the upstream sent the responses of other requests, none of which could be passed on.
#[tokio::test]
async fn a_rate_is_heard_of_in_answers_that_belong_to_other_requests() {
    let running = support::start(1).await;
    let crossing = &running.site.services[0];
    crossing.fail(Fault::Crossed);
    running.site.services.iter().for_each(|service| service.signal(limiting()));
    let advertised_at = Instant::now();
    load::run_load(&running, CALL_INTERVAL, booking_or_look_up, advertised_at + LOAD_DURATION)
        .await;
    assert_within(&crossing.seen(), advertised_at);
}
