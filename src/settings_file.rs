//! Reads the settings of a start, and waits while their file isn't whole.

use std::time::Duration;

use crate::clock::Clock;
use crate::error::Result;
use crate::gateway::policy::start::{self, Fault, Need, READY_WITHIN_MS, Step};

/// Reads a file until it is whole, at most as long as a start may wait for it.
///
/// # Errors
///
/// The last error of `read`, at once if waiting can't mend it.
pub async fn wait_for<T>(log: &slog::Logger, read: impl Fn() -> Result<T>) -> Result<T> {
    let clock = Clock::start();
    let since_ms = clock.now_ms();
    let mut has_told = false;
    loop {
        let result = read();
        let waited_ms = clock.now_ms().saturating_sub(since_ms);
        let error = match result {
            Ok(settings) => {
                if has_told {
                    slog::info!(log, "the settings are whole; the start goes on";
                        "waited_ms" => waited_ms);
                }
                return Ok(settings);
            }
            Err(error) => error,
        };
        let fault = if error.is_passing() { Fault::NotWhole } else { Fault::Wrong };
        let Step::Wait { pause_ms } =
            start::step(Need::Settings, fault, waited_ms, READY_WITHIN_MS)
        else {
            return Err(error);
        };
        if !has_told {
            has_told = true;
            slog::warn!(log, "waiting for the settings"; "why" => %error,
                "most_ms" => READY_WITHIN_MS, "pause_ms" => pause_ms);
        }
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}
