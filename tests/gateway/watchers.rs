//! Which instances call the directory: pure functions of the ids of live instances.

use siskinrock::gateway::policy::watchers::{self, Rank, WatchPosition, rank};

fn ids(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("edge-{number}")).collect()
}

fn others(all: &[String], me: &str) -> impl Iterator<Item = Rank> {
    all.iter().filter(move |id| *id != me).map(|id| rank(id, 10))
}

/// Calls to the directory are billed, so their number must not grow with the fleet.
#[test]
fn four_watch_and_four_register_however_many_there_are() {
    for count in [1, 4, 9, 30, 195, 361, 1_000] {
        let all = ids(count);
        let watches = |id: &&String| WatchPosition::of(rank(id, 10), others(&all, id)).is_watcher();
        assert_eq!(all.iter().filter(watches).count(), count.min(4), "of {count}");
        let registers = |id: &&String| watchers::should_register(rank(id, 10), others(&all, id));
        assert_eq!(all.iter().filter(registers).count(), count.min(4), "of {count}");
    }
}

/// A watcher that the directory rejects no longer reads it, and the next in rank takes its place.
#[test]
fn the_next_in_rank_watches_for_one_that_is_rejected() {
    let all = ids(9);
    let watching = |readers: &[String]| -> Vec<String> {
        let watches =
            |id: &&String| WatchPosition::of(rank(id, 10), others(readers, id)).is_watcher();
        all.iter().filter(watches).cloned().collect()
    };
    let before = watching(&all);
    let remaining: Vec<String> = all.iter().filter(|id| **id != before[0]).cloned().collect();
    let after = watching(&remaining);
    assert!(before[1..].iter().all(|id| after.contains(id)));
    assert_eq!(after.iter().filter(|id| !before.contains(id)).count(), 1);
    assert_eq!(watching(&[]), all, "if nobody reads the directory, all watch");
}

/// While the store rejected all calls, 195 instances made 390 calls a second.
#[test]
fn a_directory_that_responds_to_nobody_is_called_less_often_by_later_ranks() {
    assert_eq!([0, 3, 4, 8, 100].map(WatchPosition::backoff_factor), [1, 1, 2, 3, 26]);
    let calls_a_second = |count: usize| -> f64 {
        (0..count).map(|rank| 2.0 / WatchPosition::backoff_factor(rank) as f64).sum()
    };
    assert!(calls_a_second(195) < 40.0, "{}", calls_a_second(195));
    assert!(calls_a_second(361) < 45.0, "{}", calls_a_second(361));
}

/// The first watcher notices within two seconds those changes for which the directory sent no
/// event; the others rely on it.
#[test]
fn the_first_in_rank_polls_most_often() {
    let positions = [0, 1, 2, 3].map(|ahead| WatchPosition { ahead, others: 3 });
    assert_eq!(positions.map(WatchPosition::wait_ms), [2_000, 4_000, 6_000, 8_000]);
    assert_eq!(positions.map(WatchPosition::batch_delay_ms), [400, 800, 1_200, 1_600]);
}

/// All instances start at once and read the directory; all but four then leave it to those, one by
/// one.
#[test]
fn a_start_of_the_whole_fleet_makes_few_watchers_check() {
    for count in [9, 73, 300, 1_000] {
        let calls: usize = (4..count)
            .rev()
            .map(|remaining| {
                if watchers::should_check_directory(remaining, remaining - 1) {
                    remaining
                } else {
                    0
                }
            })
            .sum();
        assert!(calls <= 16, "{calls} calls of {count}");
    }
}

#[test]
fn the_last_watchers_check_when_one_of_them_loses_the_directory() {
    assert!(watchers::should_check_directory(3, 2));
    assert!(watchers::should_check_directory(1, 0));
    assert!(!watchers::should_check_directory(2, 2), "nothing changed");
    assert!(!watchers::should_check_directory(2, 3), "one more reads the directory");
}
