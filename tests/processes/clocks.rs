//! Clocks that the system refuses, or that leap.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use siskinrock::clock::{self, Clock};

/// A clock that its test sets.
static SET_MS: AtomicU64 = AtomicU64::new(0);

fn set_ms() -> u64 {
    SET_MS.load(Ordering::Relaxed)
}

/// Guards against a process that stands still, or ends, where the system refuses its boot clock.
#[tokio::test]
async fn time_passes_where_the_boot_clock_is_refused() {
    const PAUSE_MS: u64 = 50;
    let clock = Clock::of(clock::source(|| None));
    let since_ms = clock.now_ms();
    clock.sleep_until(since_ms + PAUSE_MS).await;
    let passed_ms = clock.now_ms() - since_ms;
    assert!((PAUSE_MS..10_000).contains(&passed_ms), "{passed_ms} ms");
}

/// Guards against sums that overflow where a machine's clock goes back or stands near its end.
#[tokio::test]
async fn a_clock_that_leaps_is_borne() {
    SET_MS.store(1 << 40, Ordering::Relaxed);
    let clock = Clock::of(set_ms);
    for leap_ms in [0, 1, 1 << 40, u64::MAX - 1] {
        SET_MS.store(leap_ms, Ordering::Relaxed);
        assert!(clock.now_ms() >= 1);
        let passed = clock.sleep_until(clock.now_ms());
        tokio::time::timeout(Duration::from_secs(1), passed).await.expect("its time has come");
    }
}
