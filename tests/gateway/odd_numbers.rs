//! Numbers of the configuration and of upstreams' answers that are too large, negative or none.

use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};
use serde_json::json;
use siskinrock::gateway::dialect::Dialect;
use siskinrock::platform::document;
use siskinrock::platform::wire::Wire;
use siskinrock_fakes::site::{KEY, config};
use yare::parameterized;

/// A time that clocks can be added to, in milliseconds.
const CREDIBLE_MS: u64 = 366 * 86_400_000;

/// Guards against sums of times and weights that overflow by what a configuration says.
#[test]
fn numbers_of_a_configuration_are_bounded() {
    let mut odd = config(3, &[KEY], &[]);
    for field in ["timeout-ms", "target-latency-ms", "target-gap-ms"] {
        odd["routes"][0][field] = json!(1e300);
        odd["routes"][1][field] = json!(-1e300);
    }
    odd["routes"][0]["weighted-backends"] =
        json!([{"backend": "a", "weight": 1e300}, {"backend": "b", "weight": 1e300}]);
    odd["backends"][0]["engine"] =
        json!({"handle-s": 1e300, "kv-capacity": 1e300, "slots": 1e300, "stride": -1.0});
    odd["limits"] = json!({"max-header-bytes": u64::MAX, "max-body-bytes": u64::MAX,
        "header-timeout-ms": 1e300, "idle-timeout-ms": 1e300});
    let config = document::decode_config(odd.to_string().as_bytes()).unwrap();
    let route = &config.routes[0];
    for time_ms in [route.timeout_ms, route.target_latency_ms, route.target_gap_ms] {
        assert!(time_ms < CREDIBLE_MS, "{time_ms}");
    }
    assert_eq!(config.routes[1].timeout_ms, 0);
    assert!(
        route.targets.iter().map(|target| target.weight).try_fold(0, u64::checked_add).is_some()
    );
    let engine = config.services["plan-llm"].engine.as_ref().unwrap();
    assert!(engine.copy_kept_ms < CREDIBLE_MS && engine.memory_tokens < Some(1 << 50));
    assert!(config.limits.idle_timeout_ms < CREDIBLE_MS && config.limits.body_bytes < 1 << 40);
}

/// Guards against a clock that overflows by what an upstream's answer says.
#[parameterized(
    keep = { "keep-alive", "timeout=18446744073709551615" },
    keep_overflowing = { "keep-alive", "timeout=18446744073709552" },
    retry = { "retry-after", "1e300" },
    retry_negative = { "retry-after", "-5" },
    retry_none = { "retry-after", "NaN" },
    rate = { "server-limit", "1e300" },
    brittle = { "server-brittle", "1e300" },
    load = { "x-server-load", "4294967295,4294967295,4294967295,4294967295" }
)]
fn numbers_of_an_answer_are_bounded(name: &'static str, value: &'static str) {
    let mut headers = HeaderMap::new();
    headers.insert(HeaderName::from_static(name), HeaderValue::from_static(value));
    let marks = Wire::new().marks(&headers);
    assert!(marks.keep_ms.unwrap_or(0) < CREDIBLE_MS);
    assert!(marks.retry_after_ms.unwrap_or(0) < CREDIBLE_MS);
    assert!(marks.rate_limit.is_none_or(|rate| rate.as_per_s() < 1e12));
}

/// Guards against sums that overflow by what an engine says of its state.
#[test]
fn numbers_of_an_engine_are_bounded() {
    let state = json!({"queued": u64::MAX, "active": u64::MAX,
        "runs": [["a", 1e300, 1e300, 1.0], ["b", 1e300, -1.0, 1.0]]});
    let state = Wire::new().engine_state(state.to_string().as_bytes()).unwrap();
    assert_eq!(state.unstarted(), u64::MAX);
    let tokens = state.runs.iter().flatten().map(|run| run.tokens).try_fold(0, u64::checked_add);
    assert!(tokens.is_some_and(|tokens| tokens < 1 << 50));
}
