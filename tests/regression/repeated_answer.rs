//! A holder's repeated answer counted twice, so that one holder could grant a claim alone.

use std::sync::Arc;

use siskinrock::records::record::{Identity, Kind, Owner, Record, Reply};
use siskinrock::records::vote::Vote;

#[test]
fn a_holder_counts_once() {
    let identity = Identity { key: Arc::from("o/k"), kind: Kind::Call, body_hash: 0, nonce: 1 };
    let owner = Owner { id: Arc::from("r"), addr: Arc::from("") };
    let record = Record::new(identity, owner, 1, 0);
    let mut vote = Vote::new(3);
    let granted = || Some(Reply::Granted(Box::new(record.clone())));
    assert_eq!(vote.take(&Arc::from("one"), granted()), None);
    assert_eq!(vote.take(&Arc::from("one"), granted()), None);
    assert!(vote.take(&Arc::from("two"), granted()).is_some());
}
