//! Reads the bodies of requests to a router, within what each and all of them may hold, and drops those
//! that are refused.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use salvo::http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HeaderValue};
use salvo::http::{HeaderMap, ReqBody};
use salvo::hyper::body::Body;
use salvo::prelude::*;

use crate::assembly::Assembly;
use crate::error::{Error, Kind, Result};
use crate::gateway::policy::yielding::Pace;
use crate::node::Node;
use crate::request::callers::{Caller, HeldRequest};

/// The longest request body of a caller.
pub const BODY_LIMIT_BYTES: usize = 1 << 20;
/// How much of a refused body is read and dropped while its caller reads the answer.
const DROP_LIMIT_BYTES: usize = 8 << 20;
/// How long a body may take to arrive.
const BODY_TIMEOUT_MS: u64 = 10_000;
/// How long the rest of a refused body is read.
const DROP_TIMEOUT_MS: u64 = 3_000;
/// When to retry where callers hold all that they may: those that make no progress yield by then.
const CROWDED_RETRY_MS: u64 = 1_000;

/// Follows the connection of each request, and drops what a handler left of its body.
#[handler]
pub async fn follow_callers(
    req: &mut Request,
    depot: &mut Depot,
    res: &mut Response,
    ctrl: &mut FlowCtrl,
) {
    let node = depot.get_typed::<Arc<Node>>().expect("the node is injected before").clone();
    let caller = caller_of(&node, req);
    if let Some(caller) = &caller {
        caller.request_begun();
    }
    let waits_for_leave = req.headers().contains_key(EXPECT);
    ctrl.call_next(req, depot, res).await;
    let Some(caller) = caller else { return };
    if req.body().is_end_stream() {
        caller.answered();
        return;
    }
    res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    caller.rest_dropped();
    if !waits_for_leave && !caller.must_yield() {
        tokio::spawn(drop_rest(req.take_body()));
    }
}

fn caller_of(node: &Node, req: &Request) -> Option<Arc<Caller>> {
    node.callers.caller(req.remote_addr().clone().into_std()?)
}

/// Reads the body of a request; it holds room until what is returned with it is dropped.
///
/// # Errors
///
/// Fails if it is too long, too slow or broken off, or finds no room. The rest of it is still to be read.
pub async fn read_body(node: &Node, req: &mut Request) -> Result<(Bytes, HeldRequest)> {
    let announced_bytes = announced_bytes(req.headers());
    if announced_bytes.is_some_and(|bytes| bytes > BODY_LIMIT_BYTES) {
        return Err(too_large());
    }
    let caller = caller_of(node, req);
    let reading = Reading {
        node,
        caller: caller.as_deref(),
        assembly: Assembly::new(announced_bytes, BODY_LIMIT_BYTES),
        pace: Pace::start(node.clock.now_ms()),
        held: HeldRequest::new(&node.callers),
    };
    let yielded = async {
        match &caller {
            Some(caller) => caller.yielded().await,
            None => std::future::pending().await,
        }
    };
    let timeout = Duration::from_millis(BODY_TIMEOUT_MS);
    let read = tokio::select! {
        read = tokio::time::timeout(timeout, reading.run(req.body_mut())) => {
            read.unwrap_or_else(|_| Err(Kind::TooSlow { timeout_ms: BODY_TIMEOUT_MS }.into()))
        }
        () = yielded => Err(crowded()),
    };
    match &caller {
        Some(caller) if read.is_ok() => caller.request_whole(),
        Some(caller) => caller.request_begun(),
        None => {}
    }
    read
}

fn announced_bytes(headers: &HeaderMap) -> Option<usize> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn too_large() -> Error {
    Kind::TooLarge { limit_bytes: BODY_LIMIT_BYTES }.into()
}

fn crowded() -> Error {
    Kind::Crowded { retry_after_ms: CROWDED_RETRY_MS }.into()
}

/// The reading of one body.
struct Reading<'a> {
    node: &'a Node,
    caller: Option<&'a Caller>,
    assembly: Assembly,
    pace: Pace,
    held: HeldRequest,
}

impl Reading<'_> {
    async fn run(mut self, body: &mut ReqBody) -> Result<(Bytes, HeldRequest)> {
        self.note(0);
        while let Some(frame) = body.next().await {
            let broken = |error: std::io::Error| Kind::Malformed { detail: error.to_string() };
            // Trailers hold nothing that matters here.
            let Ok(data) = frame.map_err(broken)?.into_data() else { continue };
            let more_bytes = data.len();
            let bytes = self.assembly.bytes_with(more_bytes).ok_or_else(too_large)?;
            if !self.held.cover(bytes).await {
                return Err(crowded());
            }
            self.assembly.push(data);
            self.note(more_bytes);
        }
        Ok((self.assembly.finish(), self.held))
    }

    /// Records that more has come.
    fn note(&mut self, more_bytes: usize) {
        self.pace = self.pace.moved(more_bytes, self.node.clock.now_ms());
        if let Some(caller) = self.caller {
            caller.body_arriving(self.pace, self.held.bytes());
        }
    }
}

/// Reads and drops the rest of a refused body. Closing a connection with unread bytes would reset it,
/// and its caller would not get the answer.
async fn drop_rest(mut body: ReqBody) {
    let mut left_bytes = DROP_LIMIT_BYTES;
    let dropping = async {
        while let Some(Ok(frame)) = body.next().await {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            let Some(rest_bytes) = left_bytes.checked_sub(bytes) else { return };
            left_bytes = rest_bytes;
        }
    };
    let _ = tokio::time::timeout(Duration::from_millis(DROP_TIMEOUT_MS), dropping).await;
}
