//! Messages of a router's peers that are damaged: it refuses them, logs no panic, and serves on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use siskinrock::control::membership::{Change, Member, Roster, Table};
use siskinrock::control::peers::Exchange;
use siskinrock::records::journal::Journal;
use siskinrock::records::record::{Identity, Kind, Op, Outcome, Owner, Request};
use siskinrock::wire::{self, AskHandover, Inquiry, RunState, Witness};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use yare::parameterized;

use crate::hostile::damage;
use crate::run::RouterGround;

/// Damaged messages of one seed.
const DAMAGED: usize = 3_000;
/// An answer that isn't there after this time counts as none.
const ANSWER: Duration = Duration::from_secs(5);
/// The key of [`RouterGround`]'s peers.
const PEER_KEY: &str = "peer-key-0123456789";

fn member(id: &str, incarnation: u64, addr: SocketAddr) -> Member {
    let (id, domain) = (Arc::from(id), Arc::from("hall"));
    Member { id, incarnation, addr: Arc::from(addr.to_string()), domain }
}

/// One message of each kind, with its path.
fn messages(addr: SocketAddr) -> Vec<(&'static str, Vec<u8>)> {
    let peer = member("r-1", 7, SocketAddr::from(([127, 0, 0, 1], 9)));
    let members = vec![member("r-0", 8, addr), peer.clone()];
    let changes = vec![Change { joined: vec![peer.clone()], left: Vec::new() }];
    let table = Arc::new(Table { roster: Roster { epoch: 2, members }, changes });
    let exchange = Exchange {
        from: peer.clone(),
        epoch: 2,
        revision: 3,
        table: Some(Arc::clone(&table)),
        document: None,
        reports: Vec::new(),
        briefs: Vec::new(),
        route: None,
    };
    vec![
        ("exchange", wire::encode(&exchange)),
        ("handover", wire::encode(&AskHandover { slots: vec![1, 2, 1_023], table })),
        ("witness", wire::encode(&Witness { suspect: peer, reaches: false })),
        ("inquire", wire::encode(&Inquiry { nonce: 5, state: RunState::Unknown })),
        ("records", wire::encode(&wire::Batch { requests: operations() })),
    ]
}

/// What a run does to its record, from its claim to its outcome.
fn operations() -> Vec<Request> {
    let identity = Identity {
        key: Arc::from("harbour/a-key"),
        kind: Kind::Generation,
        body_hash: 9,
        nonce: 5,
    };
    let owner = Owner { id: Arc::from("r-1"), addr: Arc::from("127.0.0.1:9") };
    let claim = Op::Claim { identity: identity.clone(), owner: owner.clone() };
    let append = Op::Append {
        identity: identity.clone(),
        owner: owner.clone(),
        term: 1,
        from: 0,
        tokens: wire::decode(&wire::encode(&("one two three", [3, 7, 13]))).unwrap(),
        stream: None,
    };
    let over = Op::TakeOver { identity: identity.clone(), owner: owner.clone(), term: 2 };
    let outcome = Outcome::Finished { tokens: 3, reason: Arc::from("length") };
    let settle = Op::Settle { identity: identity.clone(), owner, term: 2, outcome };
    let release = Op::Release { identity };
    let all = [claim, append, over, settle, release];
    all.map(|op| Request { epoch: 2, op }).into()
}

/// Sends one message; whether there is an answer of any status.
async fn is_answered(addr: SocketAddr, path: &str, body: &[u8]) -> bool {
    let exchanged = async {
        let mut stream = TcpStream::connect(addr).await?;
        let head = format!(
            "POST /peer/{path} HTTP/1.1\r\nHost: x\r\n{}: {PEER_KEY}\r\nConnection: close\r\n\
             Content-Length: {}\r\n\r\n",
            wire::PEER_KEY,
            body.len()
        );
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(body).await?;
        let mut first = [0; 12];
        stream.read_exact(&mut first).await
    };
    tokio::time::timeout(ANSWER, exchanged).await.is_ok_and(|answered| answered.is_ok())
}

/// Guards against a peer's message that ends a router, or a part of it.
#[parameterized(one = { 1 }, two = { 2 })]
#[test_macro(tokio::test)]
async fn damaged_messages_of_peers_are_borne(seed: u64) {
    let ground = RouterGround::new();
    let mut running = ground.start();
    ground.wait_until_serving().await;
    let sound = messages(ground.addr);
    let mut random = Rng::with_seed(seed);
    let mut unanswered = 0;
    for number in 0..DAMAGED {
        let (path, bytes) = &sound[random.usize(..sound.len())];
        let bytes = damage(bytes, &mut random);
        if !is_answered(ground.addr, path, &bytes).await {
            unanswered += 1;
            let ended = running.ended();
            assert!(ended.is_none(), "message {number} ({path}): {ended:?}; {}", running.log());
        }
    }
    println!("{unanswered} of {DAMAGED} damaged messages had no answer");
    running.assert_lives("by damaged messages");
    let log = running.log();
    let panic = log.lines().find(|line| line.contains("panicked"));
    assert!(panic.is_none(), "{panic:?}");
    assert!(ground.is_serving().await);
}

/// Guards against a journal of a peer that can't be cut between two tokens.
#[parameterized(
    inside_a_letter = { "\u{e9}", &[1, 2] },
    beyond_the_text = { "one", &[3, 9] },
    backwards = { "one two", &[7, 3, 7] },
    short_of_the_text = { "one two", &[3] },
)]
fn a_journal_whose_ends_dont_fit_is_refused(text: &str, ends: &[u32]) {
    let told = wire::encode(&(text, ends));
    let cut = std::panic::catch_unwind(|| {
        wire::decode::<Journal>(&told).map(|mut journal| journal.truncate(1))
    });
    assert!(cut.is_ok_and(|read| read.is_err()));
}
