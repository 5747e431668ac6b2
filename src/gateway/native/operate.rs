//! Calls of operators to an instance, on the address of its metrics.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::StatusCode;

use crate::error::{Error, Kind, Result};
use crate::settings::Environment;

/// How long an instance may take.
const TIMEOUT_MS: u64 = 5_000;

/// The address that an operator names.
///
/// # Errors
///
/// If none is named, or it can't be read.
pub fn metrics_addr(
    arguments: &mut pico_args::Arguments,
    environment: Environment<'_>,
) -> Result<SocketAddr> {
    let named: Option<SocketAddr> = arguments
        .opt_value_from_str("--metrics")
        .map_err(|error| usage(format!("--metrics: {error}; write IP:PORT")))?;
    let set = environment("SISKINROCK_METRICS").and_then(|addr| addr.parse().ok());
    named.or(set).ok_or_else(|| {
        usage("--metrics is missing; name the address of any instance's metrics".to_owned())
    })
}

/// Calls an instance; the body of its answer.
///
/// # Errors
///
/// If it can't be reached, or refuses.
pub async fn call(method: reqwest::Method, addr: SocketAddr, path: &str) -> Result<String> {
    let (status, body) = send(method, addr, path).await?;
    if status.is_success() { Ok(body) } else { Err(refused(body.trim().to_owned())) }
}

/// Gives an instance an order; the body of its answer. An instance of an earlier version answers a
/// path that it doesn't know with its metrics, so that only one status means success.
///
/// # Errors
///
/// If it can't be reached, refuses, or doesn't know the order.
pub async fn order(addr: SocketAddr, path: &str) -> Result<String> {
    let (status, body) = send(reqwest::Method::POST, addr, path).await?;
    match status {
        StatusCode::ACCEPTED => Ok(body),
        status if status.is_success() => {
            Err(refused(format!("{addr} doesn't know this order; update the instance")))
        }
        _ => Err(refused(body.trim().to_owned())),
    }
}

async fn send(
    method: reqwest::Method,
    addr: SocketAddr,
    path: &str,
) -> Result<(StatusCode, String)> {
    let client = reqwest::Client::builder().timeout(Duration::from_millis(TIMEOUT_MS));
    let client = client.build().map_err(Error::internal)?;
    let answer = client.request(method, format!("http://{addr}{path}")).send().await;
    let answer = answer.map_err(|error| refused(format!("{addr} can't be reached ({error})")))?;
    let status = answer.status();
    let body = answer.text().await.map_err(|error| refused(error.to_string()))?;
    Ok((status, body))
}

/// A call that can't be read, with its remedy.
pub fn usage(fault: String) -> Error {
    Kind::Settings { faults: vec![fault] }.into()
}

fn refused(detail: String) -> Error {
    Kind::Internal { detail }.into()
}
