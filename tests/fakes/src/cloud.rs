//! The platform's interface for duties: it takes reports, checks fencing tokens, and misbehaves.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use serde_json::Value;

use crate::http::{self, Connection, Message};

/// How long it takes to carry out a call late.
const LATE: Duration = Duration::from_millis(1_500);

/// How it misbehaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// It doesn't.
    #[default]
    None,
    /// It answers 429.
    Busy,
    /// It takes a call and doesn't answer.
    AnswerLost,
    /// It doesn't answer, and takes the call seconds later.
    Late,
}

/// A report that it took.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Taken {
    /// The window.
    pub window: u64,
    /// The whole body.
    pub body: Vec<u8>,
    /// Who sent it.
    pub holder: String,
    /// The fencing token.
    pub token: u64,
}

#[derive(Debug, Default)]
struct State {
    fault: Fault,
    token: u64,
    taken: Vec<Taken>,
}

/// A running one; cloning shares it.
#[derive(Clone)]
pub struct Cloud {
    /// Where it listens.
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Cloud {
    /// Starts it.
    pub async fn start() -> Cloud {
        let state: Arc<Mutex<State>> = Arc::default();
        let shared = Arc::clone(&state);
        let (addr, _) = http::listen("127.0.0.1:0", move |connection| {
            let addr = SocketAddr::from(([127, 0, 0, 1], 0));
            let cloud = Cloud { addr, state: Arc::clone(&shared) };
            async move { cloud.serve(connection).await }
        })
        .await;
        Cloud { addr, state }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Misbehaves from now on.
    pub fn fail(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    /// The reports that it took, repeats included.
    pub fn seen(&self) -> Vec<Taken> {
        self.lock().taken.clone()
    }

    /// The requests that were reported, each window once.
    pub fn counted(&self) -> u64 {
        let mut windows = std::collections::BTreeMap::new();
        for taken in self.seen() {
            let body: Value = serde_json::from_slice(&taken.body).unwrap_or_default();
            let counts = body["counts"].as_object().cloned().unwrap_or_default();
            let sum: u64 = counts.values().filter_map(Value::as_u64).sum();
            windows.insert(taken.window, sum);
        }
        windows.values().sum()
    }

    /// The newest window that was reported.
    pub fn newest(&self) -> u64 {
        self.lock().taken.iter().map(|taken| taken.window).max().unwrap_or(0)
    }

    /// Checks that no call was taken with a lower token than one before it.
    ///
    /// # Panics
    ///
    /// If one was.
    pub fn assert_fences_rise(&self) {
        let tokens: Vec<u64> = self.seen().iter().map(|taken| taken.token).collect();
        assert!(tokens.is_sorted(), "{tokens:?}");
    }

    async fn serve(self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read_request().await {
            let fault = self.lock().fault;
            let status = match fault {
                Fault::Busy => 429,
                Fault::Late => {
                    tokio::time::sleep(LATE).await;
                    self.take(&request);
                    return std::future::pending().await;
                }
                Fault::None | Fault::AnswerLost => self.take(&request),
            };
            if fault == Fault::AnswerLost {
                return std::future::pending().await;
            }
            if connection.answer(status, &[], b"").await.is_err() {
                return;
            }
        }
    }

    /// Takes a report unless a higher token was seen; the status of the answer.
    fn take(&self, request: &Message) -> u16 {
        let token = request.header("x-fencing-token").and_then(|token| token.parse().ok());
        let Some(token) = token.filter(|_| request.path() == "/usage") else { return 400 };
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let Some(window) = body["window-id"].as_u64() else { return 400 };
        let mut state = self.lock();
        if token < state.token {
            return 409;
        }
        state.token = token;
        let holder = request.header("x-duty-holder").unwrap_or_default().to_owned();
        state.taken.push(Taken { window, body: request.body.clone(), holder, token });
        200
    }
}
