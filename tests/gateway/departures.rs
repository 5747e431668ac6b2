//! Upstreams that have announced that they are leaving.

use std::sync::Arc;

use siskinrock::gateway::fleet::{Departure, SoftwareVersion, Upstream};
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
        stated_at: 0,
        is_spot: false,
        version: SoftwareVersion::Unversioned,
    }
}

/// An upstream may restart under the same id.
#[test]
fn a_later_incarnation_under_the_same_id_is_not_leaving() {
    let mut departures = Departures::default();
    let before = upstream(Some(1_000));
    assert!(departures.note(&Departure::of(&before), 0));
    assert!(!departures.note(&Departure::of(&before), 10), "it is already known");
    assert!(departures.contains(&before));
    assert!(!departures.contains(&upstream(Some(9_000))));
}

/// An instance of a fleet that runs for months must not keep all upstreams that ever left.
#[test]
fn old_departures_are_forgotten() {
    let mut departures = Departures::default();
    departures.note(&Departure::of(&upstream(None)), 0);
    departures.expire(30_000);
    assert!(departures.contains(&upstream(None)));
    departures.expire(60_000);
    assert!(!departures.contains(&upstream(None)));
}
