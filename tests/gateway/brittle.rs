//! Upstreams that fall over when they turn too many requests away.

use std::sync::Arc;
use std::time::{Duration, Instant};

use siskinrock::gateway::policy::rejections::{Rejection, Rejections};
use siskinrock_fakes::service::Brittle;
use siskinrock_fakes::signals::Signals;
use yare::parameterized;

use crate::load::{self, booking_or_look_up};
use crate::support;

/// How long callers press.
const LOAD: Duration = Duration::from_secs(8);
/// Time from which on the upstreams fall over (`contact-ms`).
const CONTACT: Duration = Duration::from_secs(3);

fn reject(rejections: &mut Rejections, bound: u32, at_ms: u64) -> Option<u64> {
    rejections.note(&Rejection::new(Arc::from("w"), bound).unwrap(), at_ms)
}

#[test]
fn half_of_the_bound_begins_a_pause_for_the_rest_of_the_second() {
    let mut rejections = Rejections::default();
    assert_eq!(reject(&mut rejections, 6, 1_000), None);
    assert_eq!(reject(&mut rejections, 6, 1_300), None);
    assert_eq!(reject(&mut rejections, 6, 1_500), Some(2_000));
    assert_eq!(reject(&mut rejections, 6, 1_501), Some(2_300), "one that was under way");
    assert_eq!(rejections.paused().get("w"), Some(&2_300));
    rejections.expire(2_300);
    assert!(rejections.paused().is_empty());
}

#[test]
fn a_bound_that_falls_counts_at_once() {
    let mut rejections = Rejections::default();
    assert_eq!(reject(&mut rejections, 100, 1_000), None);
    assert_eq!(reject(&mut rejections, 2, 1_100), Some(2_100));
}

#[parameterized(none = { 0 }, huge = { u32::MAX })]
fn a_bound_that_is_not_credible_is_ignored(bound: u32) {
    assert_eq!(Rejection::new(Arc::from("w"), bound), None);
}

/// Three upstreams with two places each get half as many calls again as they can run. The platform's
/// rule allows two falls and a tenth of their number.
#[parameterized(one_instance = { 1, 8 }, nine_instances = { 9, 8 }, many_instances = { 73, 8 }, few_allowed = { 9, 3 })]
#[test_macro(tokio::test)]
async fn brittle_upstreams_rarely_fall_over(instances: u8, bound: u32) {
    let running = support::start(instances).await;
    let brittle = Brittle { bound, places: 2, waiting: 1 };
    let signals = Signals { brittle: Some(bound), ..Signals::default() };
    for service in &running.site.services {
        service.work_for(60);
        service.signal(signals);
        service.be_brittle(brittle, Instant::now() + CONTACT);
    }
    let interval = Duration::from_millis(7);
    load::run_load(&running, interval, booking_or_look_up, Instant::now() + LOAD).await;
    let falls: usize = running.site.services.iter().map(|service| service.falls()).sum();
    assert!(falls <= 2, "{falls} falls");
    let served = running.site.services.iter().flat_map(|service| service.seen());
    let served = served.filter(|seen| seen.ran).count();
    println!("{falls} falls, {served} calls ran");
}
