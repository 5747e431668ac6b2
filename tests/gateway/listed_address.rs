//! Decisions on the addresses that entries name.

use std::net::SocketAddr;

use siskinrock::gateway::policy::listed_address::{TakenAddresses, Unusable};
use yare::parameterized;

fn addr(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

fn taken() -> TakenAddresses {
    TakenAddresses::new(
        [addr("10.1.0.19:8740"), addr("10.1.0.20:8748")],
        [addr("10.1.0.2:2379")],
        Some(addr("10.1.0.19:0")),
    )
}

/// Guards against requests that are sent to an address at which no upstream can be.
#[parameterized(
    upstream = { "10.1.0.50:9000", None },
    beside_an_instance = { "10.1.0.19:8741", None },
    front = { "10.1.0.19:8740", Some(Unusable::Ours) },
    peer = { "10.1.0.20:8748", Some(Unusable::Ours) },
    mapped_front = { "[::ffff:10.1.0.19]:8740", Some(Unusable::Ours) },
    directory = { "10.1.0.2:2379", Some(Unusable::Directory) },
    no_port = { "10.1.0.50:0", Some(Unusable::Port) },
    unspecified = { "0.0.0.0:9000", Some(Unusable::Host) },
    multicast = { "224.0.0.9:9000", Some(Unusable::Host) },
    broadcast = { "255.255.255.255:9000", Some(Unusable::Host) },
    other_family = { "[2001:db8::1]:9000", Some(Unusable::Family) }
)]
fn addresses_of_no_upstream_are_told(named: &str, expected: Option<Unusable>) {
    assert_eq!(taken().fault(addr(named)), expected);
}

#[test]
fn both_families_are_used_where_the_source_is_not_settled() {
    let open = TakenAddresses::new([], [], None);
    assert_eq!(open.fault(addr("[2001:db8::1]:9000")), None);
    assert_eq!(open.fault(addr("[ff02::1]:9000")), Some(Unusable::Host));
}
