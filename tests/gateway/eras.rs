//! Positions in the history of a directory that comes back from older copies, and what stands then.

use std::sync::Arc;

use siskinrock::gateway::fleet::{Change, Fleet, SoftwareVersion, Upstream};
use siskinrock::gateway::policy::eras::{self, position};
use siskinrock::gateway::policy::lease::{AcquireAttempt, Action, DutyLease, Holder};
use yare::parameterized;

fn upstream(id: &str, era: u64, created: u64, is_leaving: bool) -> Upstream {
    Upstream {
        id: Arc::from(id),
        service: Arc::from("booking-app"),
        addr: ([127, 0, 0, 1], 8421).into(),
        domain: Arc::from("ranong-hall"),
        is_leaving,
        born_ms: None,
        listed_at: position(era, created),
        stated_at: 0,
        is_spot: false,
        version: SoftwareVersion::Unversioned,
    }
}

/// A fleet that lists one upstream at revision 64 of the first era.
fn fleet(is_leaving: bool) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.replace(position(1, 64), vec![upstream("i-1", 1, 50, is_leaving)], &[], 0);
    fleet
}

#[parameterized(
    next_revision = { (1, 7), (1, 8) },
    next_era = { (1, 9_000_000), (2, 1) },
    no_era_named = { (0, 64), (1, 3) },
)]
fn positions_never_go_back(before: (u64, u64), after: (u64, u64)) {
    let (before_position, after_position) =
        (position(before.0, before.1), position(after.0, after.1));
    assert!(before_position < after_position);
    assert_eq!((eras::era_of(after_position), eras::revision_of(after_position)), after);
    assert!(position(u64::MAX, u64::MAX) < 1 << 53, "garbage stays a number");
}

#[parameterized(
    first = { "0", Some(0) },
    with_spaces = { " 12 ", Some(12) },
    largest = { "8191", Some(8_191) },
    too_large = { "8192", None },
    huge = { "1e300", None },
    not_a_number = { "NaN", None },
    fraction = { "1.5", None },
    negative = { "-1", None },
    nothing = { "", None },
)]
fn an_era_that_no_position_can_hold_is_not_taken_for_a_new_one(text: &str, era: Option<u64>) {
    assert_eq!(eras::named(text), era);
}

#[test]
fn a_list_of_a_new_era_is_taken_in_although_its_revision_is_lower() {
    let mut fleet = fleet(false);
    assert!(fleet.replace(position(2, 61), vec![upstream("i-1", 2, 50, true)], &[], 0));
    assert!(fleet.upstreams["i-1"].is_leaving);
    assert!(!fleet.replace(position(1, 900), vec![], &[], 0), "the era before is over");
}

#[test]
fn a_leaving_stands_although_a_list_of_a_new_era_does_not_know_it() {
    let mut fleet = fleet(true);
    fleet.replace(position(2, 61), vec![upstream("i-1", 2, 50, false)], &[], 0);
    assert!(fleet.upstreams["i-1"].is_leaving);
    assert_eq!(fleet.upstreams["i-1"].listed_at, position(1, 50), "the same entry");
    let written = Change::Put(upstream("i-1", 2, 50, false));
    fleet.apply(position(2, 62), vec![written], 0);
    assert!(!fleet.upstreams["i-1"].is_leaving, "something newer says otherwise");
}

/// A watch that breaks off is followed by another list, which may know no more than the first.
#[test]
fn a_leaving_stands_in_a_second_list_of_the_same_era() {
    let mut other = fleet(true);
    other.replace(position(2, 61), vec![upstream("i-1", 2, 50, false)], &[], 0);
    let mut fleet = fleet(false);
    fleet.take(other.since(position(1, 63)), 0);
    assert!(fleet.upstreams["i-1"].is_leaving, "a peer had read it");
    fleet.replace(position(2, 62), vec![upstream("i-1", 2, 50, false)], &[], 0);
    assert!(fleet.upstreams["i-1"].is_leaving);
}

#[test]
fn a_removed_entry_that_a_new_era_lists_is_doubted_for_a_while() {
    let mut fleet = fleet(false);
    fleet.apply(position(1, 65), vec![Change::Gone(Arc::from("i-1"))], 0);
    fleet.replace(position(2, 61), vec![upstream("i-1", 2, 50, false)], &[], 1_000);
    assert!(fleet.upstreams.is_empty());
    fleet.expire(1_000 + eras::DOUBT_MS - 1);
    assert!(fleet.upstreams.is_empty());
    fleet.expire(1_000 + eras::DOUBT_MS);
    assert!(fleet.upstreams.contains_key("i-1"), "nobody removed it again");
}

#[test]
fn a_removal_that_a_peer_repeats_is_still_older_than_the_list() {
    let mut fleet = fleet(false);
    fleet.apply(position(1, 65), vec![Change::Gone(Arc::from("i-1"))], 0);
    fleet.apply(position(2, 61), vec![Change::Gone(Arc::from("i-1"))], 0);
    fleet.replace(position(2, 62), vec![upstream("i-1", 2, 50, false)], &[], 1_000);
    assert!(fleet.upstreams.is_empty());
}

#[test]
fn a_removal_that_is_written_again_stands() {
    let mut fleet = fleet(false);
    fleet.apply(position(1, 65), vec![Change::Gone(Arc::from("i-1"))], 0);
    fleet.replace(position(2, 61), vec![upstream("i-1", 2, 50, false)], &[], 1_000);
    fleet.apply(position(2, 62), vec![Change::Gone(Arc::from("i-1"))], 1_500);
    fleet.expire(90_000);
    assert!(fleet.upstreams.is_empty());
}

/// An entry that was created again is another one.
#[test]
fn an_upstream_that_registered_again_is_believed_at_once() {
    let mut fleet = fleet(false);
    fleet.apply(position(1, 65), vec![Change::Gone(Arc::from("i-1"))], 0);
    fleet.replace(position(2, 61), vec![upstream("i-1", 2, 60, false)], &[], 1_000);
    assert!(fleet.upstreams.contains_key("i-1"));
}

/// What an instance learns from a peer that started meanwhile doesn't undo what it knows.
#[test]
fn a_peer_that_knows_less_undoes_nothing() {
    let mut knowing = fleet(true);
    let mut started = Fleet::default();
    started.replace(position(2, 61), vec![upstream("i-1", 2, 50, false)], &[], 0);
    knowing.take(started.since(0), 0);
    assert!(knowing.upstreams["i-1"].is_leaving);
}

/// An instance that watched the directory in the new era, and read there that the upstream is ready.
fn watching(created: u64) -> Fleet {
    let mut watching = Fleet::default();
    watching.replace(position(2, 61), vec![], &[], 0);
    let written = Change::Put(upstream("i-1", 2, created, false));
    watching.apply(position(2, 62), vec![written], 0);
    watching
}

#[test]
fn a_newer_word_that_a_peer_read_ends_a_leaving() {
    let mut fleet = fleet(true);
    fleet.take(watching(50).since(position(2, 61)), 0);
    assert!(!fleet.upstreams["i-1"].is_leaving);
    fleet.replace(position(2, 63), vec![upstream("i-1", 2, 50, false)], &[], 0);
    assert!(!fleet.upstreams["i-1"].is_leaving);
}

#[test]
fn a_peer_that_missed_a_newer_word_does_not_undo_it() {
    let mut behind = fleet(true);
    behind.replace(position(2, 63), vec![upstream("i-1", 2, 50, false)], &[], 0);
    let mut watching = watching(50);
    watching.take(behind.since(0), 0);
    assert!(!watching.upstreams["i-1"].is_leaving);
}

#[test]
fn an_entry_that_a_peer_saw_created_is_believed_at_once_though_its_revision_was_there_before() {
    let mut fleet = fleet(false);
    fleet.apply(position(1, 65), vec![Change::Gone(Arc::from("i-1"))], 0);
    fleet.take(watching(50).since(position(2, 61)), 1_000);
    assert!(fleet.upstreams.contains_key("i-1"));
}

#[parameterized(before_it = { 60, true }, after_it = { 70, false })]
fn a_list_of_a_new_era_ends_a_leaving_only_if_the_entry_was_created(
    created: u64,
    is_leaving: bool,
) {
    let mut fleet = fleet(true);
    fleet.replace(position(2, 75), vec![upstream("i-1", 2, created, false)], &[], 0);
    assert_eq!(fleet.upstreams["i-1"].is_leaving, is_leaving);
}

const TTL_MS: u64 = 3_000;

fn held() -> DutyLease {
    let mut lease = DutyLease::new(TTL_MS);
    lease.note_acquired(
        AcquireAttempt { nonce: 7, lease: 70, requested_ms: 1_000 },
        position(1, 64),
    );
    lease
}

/// A holder acts on nothing until it has read its entry back; the token then rises.
#[test]
fn a_holder_whose_entry_is_in_the_copy_goes_on_with_a_higher_token() {
    let mut lease = held();
    lease.note_restored();
    assert_eq!(lease.token(1_500), None);
    assert_eq!(lease.next_action(0, 8, 1_500), Some(Action::ReadBack));
    let entry = Holder { id: Arc::from("edge-1"), nonce: 7, token: position(2, 50) };
    lease.note_read(Some(&entry), 1_510);
    assert_eq!(lease.token(1_520), Some(position(2, 50)));
    assert!(lease.token(1_520) > Some(position(1, 64)));
    assert_eq!(lease.token(1_000 + TTL_MS), None, "the lease ends as before");
}

#[parameterized(lost = { None }, of_an_earlier_holder = { Some(3) })]
fn a_holder_whose_entry_is_lost_stops(nonce: Option<u64>) {
    let mut lease = held();
    lease.note_restored();
    let entry =
        nonce.map(|nonce| Holder { id: Arc::from("edge-2"), nonce, token: position(2, 40) });
    lease.note_read(entry.as_ref(), 1_510);
    assert_eq!(lease.token(1_520), None);
    let next = lease.next_action(0, 8, 1_520);
    assert_eq!(next, nonce.is_none().then_some(Action::Acquire { nonce: 8 }));
}
