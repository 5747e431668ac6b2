//! Lists that come in pages, and watches, end by themselves whatever is in them.

use siskinrock::gateway::policy::caller_limits::Machine;
use siskinrock::gateway::policy::paging::{
    Fault, MAX_LIST_PAUSE_MS, MAX_WATCH_PAUSE_MS, Progress, Retry, Watched,
};
use yare::parameterized;

const ROOM_BYTES: usize = 1 << 20;

/// Reads pages, each said to have more behind it; returns what ended it, and how many were read.
fn read<'a>(pages: impl IntoIterator<Item = Vec<&'a str>>) -> (Option<Fault>, usize) {
    let mut progress = Progress::new(ROOM_BYTES);
    let mut read = 0;
    for page in pages {
        let added = page.iter().try_for_each(|key| progress.add(key, 0));
        if let Err(fault) = added.and_then(|()| progress.end_page(true, 0).map(drop)) {
            return (Some(fault), read);
        }
        read += 1;
    }
    (None, read)
}

#[parameterized(
    same = { "b", "b" },
    back = { "b", "a" },
    longer = { "b+", "b" },
)]
fn a_page_that_ends_no_later_than_the_one_before_is_the_last(first: &str, second: &str) {
    let fault = Fault::NotLater { after: first.to_owned(), last: second.to_owned() };
    assert_eq!(read([vec!["a", first], vec![second]]), (Some(fault), 1));
}

#[test]
fn an_empty_page_with_more_behind_it_is_the_last() {
    let fault = Fault::Empty { after: "b".to_owned() };
    assert_eq!(read([vec!["a", "b"], vec![]]), (Some(fault), 1));
    assert_eq!(read([vec![]]), (Some(Fault::Empty { after: String::new() }), 0));
}

#[test]
fn pages_that_repeat_keys_and_end_later_lead_on() {
    assert_eq!(read([vec!["a", "b"], vec!["a", "c"], vec!["b", "d"]]), (None, 3));
}

#[test]
fn a_list_of_new_keys_for_ever_ends_before_it_fills_its_room() {
    let keys: Vec<String> = (0..1 << 20).map(|number| format!("zz/{number:012}")).collect();
    let (fault, read) = read(keys.iter().map(|key| vec![key.as_str()]));
    assert!(matches!(fault, Some(Fault::TooLarge { max_bytes: ROOM_BYTES, .. })), "{fault:?}");
    let least_bytes = size_of::<String>() + keys[0].len();
    assert!(read <= ROOM_BYTES / least_bytes, "{read} keys were held");
}

#[test]
fn values_count_as_well() {
    let mut progress = Progress::new(ROOM_BYTES);
    progress.add("a", ROOM_BYTES / 2).unwrap();
    let fault = progress.add("b", ROOM_BYTES / 2).unwrap_err();
    assert_eq!(fault, Fault::TooLarge { key: "b".to_owned(), max_bytes: ROOM_BYTES });
    progress.add("b", usize::MAX).unwrap_err();
    progress.add("c", 0).unwrap();
}

#[test]
fn a_list_that_takes_too_long_ends() {
    let mut progress = Progress::new(ROOM_BYTES);
    progress.add("a", 0).unwrap();
    assert_eq!(progress.end_page(true, 1_000), Ok(false));
    progress.add("b", 0).unwrap();
    let fault = progress.end_page(true, 3_600_000).unwrap_err();
    assert_eq!(fault, Fault::Endless { after: "b".to_owned() });
    progress.add("c", 0).unwrap();
    assert_eq!(progress.end_page(false, 3_600_000), Ok(true), "it did end");
}

#[test]
fn a_list_has_less_room_than_the_process_itself() {
    for memory_mb in [32, 256, 4_096] {
        let machine = Machine { memory_bytes: memory_mb << 20, descriptors: 1_024 };
        assert!(machine.list_bytes() * 12 <= machine.memory_bytes);
    }
}

#[test]
fn a_fault_shows_a_key_within_a_line() {
    let key = "ä\n\"".repeat(1 << 18);
    let faults = [
        Fault::NotLater { after: key.clone(), last: key.clone() },
        Fault::Empty { after: key.clone() },
        Fault::TooLarge { key: key.clone(), max_bytes: 1 },
        Fault::Endless { after: key },
    ];
    for fault in faults {
        let text = fault.to_string();
        assert!(text.len() < 600, "{} bytes", text.len());
        assert!(!text.contains('\n'));
    }
}

const QUIET: Watched =
    Watched { from: 7, to: 7, has_changes: false, wait_ms: 2_000, waited_ms: 2_004 };

#[parameterized(
    quiet = { QUIET, None },
    moved = { Watched { to: 9, has_changes: true, waited_ms: 3, ..QUIET }, None },
    checked = { Watched { wait_ms: 1, waited_ms: 0, ..QUIET }, None },
    stays = { Watched { has_changes: true, ..QUIET }, Some(Fault::Unmoved { at: 7 }) },
    goes_back = { Watched { to: 6, ..QUIET }, Some(Fault::WentBack { from: 7, to: 6 }) },
    goes_back_with_changes = {
        Watched { to: 6, has_changes: true, ..QUIET }, Some(Fault::WentBack { from: 7, to: 6 })
    },
    moves_without_changes = { Watched { to: 9, waited_ms: 3, ..QUIET }, None },
    returns_at_once = {
        Watched { waited_ms: 3, ..QUIET },
        Some(Fault::Unwaiting { wait_ms: 2_000, waited_ms: 3 })
    },
)]
fn the_next_call_of_a_watch_follows_at_once_only_if_it_can_bring_more(
    watched: Watched,
    expected: Option<Fault>,
) {
    assert_eq!(watched.judge().err(), expected);
}

#[parameterized(list = { MAX_LIST_PAUSE_MS, 8_000 }, watch = { MAX_WATCH_PAUSE_MS, 1_000 })]
fn pauses_double_up_to_their_bound(max_pause_ms: u64, bound_ms: u64) {
    let mut retry = Retry::new(max_pause_ms);
    let pauses: Vec<u64> = (0..8).map(|_| retry.note_fault()).collect();
    assert!(pauses.windows(2).all(|two| two[1] == (two[0] * 2).min(bound_ms)), "{pauses:?}");
    assert_eq!((pauses[0], pauses[7]), (250, bound_ms));
    retry.note_progress();
    assert_eq!(retry.note_fault(), 250);
}
