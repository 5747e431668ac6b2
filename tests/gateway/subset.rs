//! Which upstreams an instance holds: pure functions, at the fleet sizes expected in two years.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use siskinrock::gateway::fleet::{Change, Delta, Fleet, SoftwareVersion, Upstream};
use siskinrock::gateway::policy::subset::{self, InstanceSubset, Share};
use yare::parameterized;

fn upstream(number: usize) -> Upstream {
    Upstream {
        id: format!("i-{:08x}", number.wrapping_mul(0x9e37_79b9)).into(),
        service: "plan".into(),
        addr: ([10, 1, (number / 250) as u8, (number % 250) as u8], 80).into(),
        domain: format!("hall-{}", number % 5).into(),
        is_leaving: false,
        born_ms: None,
        listed_at: number as u64,
        stated_at: 0,
        is_spot: false,
        version: SoftwareVersion::Unversioned,
    }
}

fn upstreams(count: usize) -> Vec<Upstream> {
    (0..count).map(upstream).collect()
}

fn holders(instances: usize) -> Vec<InstanceSubset> {
    (0..instances).map(|number| InstanceSubset::new(&format!("edge-{number}"))).collect()
}

/// The number of upstreams that an instance holds doesn't grow with the fleet, and each upstream is
/// held by some instances.
#[parameterized(
    small = { 9, 24 },
    few_instances = { 30, 3_000 },
    hundreds = { 300, 3_000 },
    thousand = { 1_000, 10_000 },
    twice = { 2_000, 20_000 },
)]
fn each_instance_holds_enough_and_each_upstream_is_held(instances: usize, count: usize) {
    let all = upstreams(count);
    let services = all.iter().map(|upstream| &upstream.service);
    let share = subset::suitable_share(services, Share::ALL, instances);
    let mut held_by: BTreeMap<&str, usize> = BTreeMap::new();
    for holder in holders(instances) {
        let held = all.iter().filter(|upstream| holder.holds(&upstream.id, share));
        let held: Vec<&str> = held.map(|upstream| &*upstream.id).collect();
        let min_held = if share.is_all() { count } else { 180 };
        let is_bounded = held.len() <= 700 || instances < 100;
        assert!(held.len() >= min_held && is_bounded, "{} of {count}", held.len());
        held.into_iter().for_each(|id| *held_by.entry(id).or_insert(0) += 1);
    }
    assert_eq!(held_by.len(), count, "each upstream is held by an instance");
}

/// A wider share includes all that a narrower one does, up to all upstreams.
#[test]
fn a_wider_share_holds_what_a_narrower_one_does() {
    let all = upstreams(2_000);
    let holder = InstanceSubset::new("edge-7");
    let mut share = Share::of(10_000, 1_000);
    while !share.is_all() {
        let wider = share.wider();
        for upstream in &all {
            let is_lost = holder.holds(&upstream.id, share) && !holder.holds(&upstream.id, wider);
            assert!(!is_lost);
        }
        share = wider;
    }
    assert!(all.iter().all(|upstream| holder.holds(&upstream.id, share)));
}

/// A few percent of the engines are free, as right after the loss of a failure domain. No request
/// then finds all engines of its instance busy while another one is free, in 100,000 requests.
#[parameterized(thousand = { 1_000, 10_000 }, twice = { 2_000, 20_000 })]
fn no_request_is_refused_while_an_engine_is_free(instances: usize, count: usize) {
    let all = upstreams(count);
    let share =
        subset::suitable_share(all.iter().map(|upstream| &upstream.service), Share::ALL, instances);
    let mut random = fastrand::Rng::with_seed(5);
    let free: BTreeSet<&str> =
        all.iter().filter(|_| random.u32(..100) < 8).map(|upstream| &*upstream.id).collect();
    let without = holders(instances)
        .into_iter()
        .filter(|holder| !free.iter().any(|id| holder.holds(id, share)))
        .count();
    assert_eq!(without, 0, "instances without a free engine");
}

/// Requests are spread as evenly over the engines as if each instance knew all of them.
#[test]
fn load_is_as_even_as_with_the_whole_list() {
    const REQUESTS: usize = 20_000;
    let all = upstreams(3_000);
    let share =
        subset::suitable_share(all.iter().map(|upstream| &upstream.service), Share::ALL, 300);
    let all_holders = holders(300);
    let held: Vec<Vec<usize>> = all_holders
        .iter()
        .map(|holder| (0..all.len()).filter(|index| holder.holds(&all[*index].id, share)).collect())
        .collect();
    let mut random = fastrand::Rng::with_seed(7);
    let mut runs = vec![0_usize; all.len()];
    for _ in 0..REQUESTS {
        let known = &held[random.usize(..held.len())];
        let best = *known.iter().min_by_key(|index| (runs[**index], **index)).unwrap();
        runs[best] += 1;
    }
    let max_runs = runs.iter().max().unwrap();
    assert!(*max_runs <= REQUESTS / all.len() + 3, "{max_runs} at one engine");
}

/// A service stays large while a few of its upstreams come and go.
#[test]
fn a_service_is_large_until_it_is_clearly_small() {
    let services = |count: usize| vec![Arc::<str>::from("plan"); count];
    let large = |count: usize, before: &BTreeSet<Arc<str>>| {
        subset::large_services(services(count).iter(), before).contains("plan")
    };
    let no = BTreeSet::new();
    let yes = BTreeSet::from([Arc::from("plan")]);
    assert_eq!([511, 512].map(|count| large(count, &no)), [false, true]);
    assert_eq!([383, 384].map(|count| large(count, &yes)), [false, true]);
}

fn held_part(fleet: &Fleet, holder: InstanceSubset, share: Share) -> BTreeMap<Arc<str>, Upstream> {
    let held = fleet.upstreams.iter().filter(|(id, _)| holder.holds(id, share));
    held.map(|(id, upstream)| (Arc::clone(id), upstream.clone())).collect()
}

/// Changes arrive in any order, some twice and some not at all. Missed changes are requested by
/// revision, and the list ends up equal to the same part of the list of an instance that holds
/// everything.
#[parameterized(one = { 3 }, two = { 5 }, three = { 9 })]
fn a_part_of_the_list_converges(seed: u64) {
    let share = Share::from_halvings(2);
    let holder = InstanceSubset::new("edge-3");
    let holds = |id: &str, _: &str| holder.holds(id, share);
    let mut random = fastrand::Rng::with_seed(seed);
    let mut whole = Fleet::default();
    whole.replace(1, upstreams(400), &[], 0);
    let mut partial = Fleet::default();
    partial.adopt(1, pages(&whole, &holds), 0);
    assert_eq!(partial.upstreams, held_part(&whole, holder, share));
    let mut pushed: Vec<(u64, Delta)> = Vec::new();
    for revision in 2..400 {
        let number = random.usize(..450);
        let change = match random.u32(..3) {
            0 => Change::Gone(upstream(number).id),
            1 => Change::Put(Upstream { is_leaving: true, ..upstream(number) }),
            _ => Change::Put(upstream(number)),
        };
        whole.apply(revision, vec![change], 0);
        let since = revision - random.u64(1..=2.min(revision - 1));
        pushed.push((since, whole.since_for(since, holds)));
        for _ in 0..random.u32(..3) {
            let (since, delta) =
                pushed[random.usize(pushed.len().saturating_sub(6)..pushed.len())].clone();
            partial.patch(delta, since, 0);
        }
        if revision % 40 == 0 {
            let since = partial.revision;
            partial.patch(whole.since_for(since, holds), since, 0);
            assert_eq!(partial.revision, whole.revision);
            assert_eq!(partial.upstreams, held_part(&whole, holder, share), "at {revision}");
        }
    }
}

/// Guards against an instance that says it holds all upstreams and holds a part: it knew a change of its
/// part that was newer than the directory's whole list, which it dropped as old.
#[test]
fn a_whole_list_that_is_older_than_a_change_of_the_part_completes_the_part() {
    let share = Share::from_halvings(3);
    let holder = InstanceSubset::new("edge-3");
    let holds = |id: &str, _: &str| holder.holds(id, share);
    let mut whole = Fleet::default();
    whole.replace(5, upstreams(400), &[], 0);
    let mut partial = Fleet::default();
    partial.adopt(5, pages(&whole, &holds), 0);
    let held = partial.upstreams.values().next().cloned().expect("a part has some");
    let leaving = Upstream { is_leaving: true, stated_at: 7, ..held };
    let id = Arc::clone(&leaving.id);
    let delta = Delta { revision: 7, upstreams: vec![leaving.clone()], ..Delta::default() };
    partial.patch(delta, 5, 0);
    partial.complete(6, upstreams(400), &[], 0);
    assert_eq!(partial.upstreams.len(), 400);
    assert_eq!(partial.upstreams[&id], leaving, "the newer change stays");
    assert_eq!(partial.revision, 6, "the changes of the others since then are still to come");
    assert!(partial.since(5).is_whole, "changes before it are known of a part only");
}

fn pages(
    fleet: &Fleet,
    holds: &dyn Fn(&str, &str) -> bool,
) -> Vec<siskinrock::gateway::fleet::Page> {
    let mut pages = Vec::new();
    let mut after: Arc<str> = "".into();
    loop {
        let page = fleet.page(&after, holds);
        let has_more = page.has_more;
        after = page.upstreams.last().map_or("".into(), |last| Arc::clone(&last.id));
        pages.push(page);
        if !has_more {
            return pages;
        }
    }
}

/// A list of thousands of upstreams is sent in pages small enough for any link.
#[test]
fn a_whole_list_comes_in_pages() {
    let mut whole = Fleet::default();
    whole.replace(7, upstreams(10_000), &[], 0);
    let pages = pages(&whole, &|_, _| true);
    assert_eq!(pages.len(), 20);
    assert!(pages.iter().all(|page| rmp_serde::to_vec(page).unwrap().len() < 80_000));
    let mut other = Fleet::default();
    other.adopt(7, pages, 0);
    assert_eq!(other.upstreams, whole.upstreams);
}
