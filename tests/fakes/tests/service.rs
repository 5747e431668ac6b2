//! The fake service's own promises, on which the checks of tests and of the soak rest.

use siskinrock_fakes::caller::{self, Call};
use siskinrock_fakes::service::ServiceFake;
use siskinrock_fakes::site;

/// A soak of a hundred gateways said of 257 requests that they ran and nobody had sent them: gateways
/// that doubted a service asked it for its state, and the fake ran the question as a call.
#[tokio::test]
async fn a_question_for_the_state_is_no_call() {
    let service = ServiceFake::start("s-1").await;
    let question = Call {
        method: "GET",
        path: "/siskinrock/report".to_owned(),
        host: site::HOST.to_owned(),
        id: String::new(),
        key: None,
        deadline_ms: 1_000,
        last_event: None,
        resumes: None,
        shared_parts: Vec::new(),
        part: None,
        body: Vec::new(),
    };
    let answer = caller::send(service.addr, &question).await.expect("the service answers");
    assert_eq!(answer.status(), 200);
    assert_eq!(service.seen().iter().filter(|seen| seen.ran).count(), 0);
}
