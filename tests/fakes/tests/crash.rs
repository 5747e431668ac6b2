//! A fake's process ends at once, as a real one does.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use siskinrock_fakes::http::{Connection, Process};

const CONNECTIONS: usize = 400;
const ROUNDS: usize = 10;
const ASKED: &[u8] = b"GET / HTTP/1.1\r\n\r\n";
/// Long enough for an answer.
const ANSWER: Duration = Duration::from_millis(100);

async fn answer(mut connection: Connection) {
    while let Ok(Some(_)) = connection.read_request().await {
        if connection.answer(200, &[], b"").await.is_err() {
            return;
        }
    }
}

/// Whether an answer came to what was asked.
fn is_answered(connection: &mut TcpStream) -> bool {
    matches!(connection.read(&mut [0; 256]), Ok(1..))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nothing_is_answered_once_a_channel_of_a_crashed_process_has_ended() {
    for round in 0..ROUNDS {
        let process = Process::default();
        let addr = process.start("127.0.0.1:0", answer).await;
        let callers = tokio::task::spawn_blocking(move || {
            let mut connections: Vec<TcpStream> =
                (0..CONNECTIONS).map(|_| TcpStream::connect(addr).expect("it listens")).collect();
            for connection in &mut connections {
                connection.write_all(ASKED).expect("it lives");
                assert!(is_answered(connection));
            }
            connections
        });
        let mut connections = callers.await.expect("all were answered");
        let asked = tokio::task::spawn_blocking(move || {
            let first = connections.remove(CONNECTIONS / 2);
            let ended = (&first).read(&mut [0; 256]);
            assert!(matches!(ended, Ok(0) | Err(_)), "{ended:?}");
            for connection in &mut connections {
                let _ = connection.write_all(ASKED);
                let _ = connection.set_read_timeout(Some(ANSWER));
            }
            connections
                .iter_mut()
                .filter_map(|connection| is_answered(connection).then_some(()))
                .count()
        });
        tokio::time::sleep(ANSWER).await;
        process.crash();
        assert_eq!(asked.await.expect("it ended"), 0, "answers in round {round}");
    }
}
