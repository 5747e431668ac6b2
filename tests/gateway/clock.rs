//! The clock on a machine that is suspended: timers stop, while time goes on for all others.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use siskinrock::clock::Clock;

/// A simulated boot clock, which goes on during a suspension.
static BOOT_MS: AtomicU64 = AtomicU64::new(1_000);

fn boot_ms() -> u64 {
    BOOT_MS.load(Ordering::Relaxed)
}

/// Guards against deadlines that stand still during a suspension: with ten seconds left, a machine is
/// suspended for twenty. The deadline has then passed, although its timer has hardly run.
#[tokio::test]
async fn a_deadline_passes_while_the_machine_is_suspended() {
    const SUSPENDED_MS: u64 = 20_000;
    let clock = Clock::of(boot_ms);
    let deadline_ms = clock.now_ms() + 10_000;
    let since = Instant::now();
    let resumed = async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        BOOT_MS.fetch_add(SUSPENDED_MS, Ordering::Relaxed);
    };
    tokio::join!(clock.sleep_until(deadline_ms), resumed);
    assert!(since.elapsed() < Duration::from_secs(1), "it took {:?}", since.elapsed());
    assert!(clock.now_ms() >= deadline_ms);
}

/// The clock of a process advances with the machine's clock and never goes back.
#[tokio::test]
async fn the_clock_advances() {
    let clock = Clock::start();
    let before_ms = clock.now_ms();
    let until_ms = before_ms + 30;
    clock.sleep_until(until_ms).await;
    assert!(before_ms > 0 && clock.now_ms() >= until_ms);
}
