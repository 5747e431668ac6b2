//! What is remembered of upstreams that said that they leave.

use std::sync::Arc;

use siskinrock::gateway::fleet::{Departure, Upstream};
use siskinrock::gateway::policy::departures::Departures;

fn upstream(born_ms: Option<u64>) -> Upstream {
    Upstream {
        id: Arc::from("i-a184acbedf"),
        service: Arc::from("booking-app"),
        addr: ([127, 0, 0, 1], 8421).into(),
        domain: Arc::from("ranong-hall"),
        is_leaving: false,
        born_ms,
        listed_at: 7,
        is_spot: false,
    }
}

/// An upstream may start again under the id that it had.
#[test]
fn a_later_incarnation_under_the_same_id_did_not_say_so() {
    let mut departures = Departures::default();
    let before = upstream(Some(1_000));
    assert!(departures.note(&Departure::of(&before), 0));
    assert!(!departures.note(&Departure::of(&before), 10), "once is enough");
    assert!(departures.contains(&before));
    assert!(!departures.contains(&upstream(Some(9_000))));
}

/// An instance of a fleet that runs for months does not remember all that ever left.
#[test]
fn what_left_long_ago_is_forgotten() {
    let mut departures = Departures::default();
    departures.note(&Departure::of(&upstream(None)), 0);
    departures.expire(30_000);
    assert!(departures.contains(&upstream(None)));
    departures.expire(60_000);
    assert!(!departures.contains(&upstream(None)));
}
