//! A holder's repeated answer counted twice, so that one holder could grant a claim alone.

use std::sync::Arc;

use siskinrock::journal::Journal;
use siskinrock::record::{Identity, Kind, Owner, Record, Reply};
use siskinrock::vote::Vote;

#[test]
fn a_holder_counts_once() {
    let record = Record {
        identity: Identity { key: Arc::from("o/k"), kind: Kind::Call, body_hash: 0, nonce: 1 },
        owner: Owner { id: Arc::from("r"), addr: Arc::from("") },
        term: 1,
        journal_term: 1,
        journal: Journal::default(),
        stream: None,
        outcome: None,
        contested: false,
        claimed_ms: 0,
    };
    let mut vote = Vote::new(3);
    let granted = || Some(Reply::Granted(Box::new(record.clone())));
    assert_eq!(vote.take(&Arc::from("one"), granted()), None);
    assert_eq!(vote.take(&Arc::from("one"), granted()), None);
    assert!(vote.take(&Arc::from("two"), granted()).is_some());
}
