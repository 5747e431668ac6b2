//! A run whose claim was still being counted was taken for lost by another run of the same key,
//! whose caller then heard 'outcome unknown' of a booking that was just being made.

use siskinrock::log;
use siskinrock::metrics::Metrics;
use siskinrock::request::registry::Registry;
use siskinrock::supervisor::Supervisor;
use siskinrock::wire::RunState;

#[tokio::test]
async fn a_run_that_is_being_claimed_is_active() {
    let registry = Registry::spawn(Metrics::new(None), &Supervisor::new(log::discard()));
    registry.claiming(5);
    assert_eq!(registry.state(5).await, RunState::Active);
    registry.abandon(5);
    assert_eq!(registry.state(5).await, RunState::Abandoned);
    assert_eq!(registry.state(6).await, RunState::Unknown);
}
