//! The operators' command line for the quarantine of poison requests.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::time::Duration;

use crate::error::{Error, Kind, Result};
use crate::gateway::operator::{QUARANTINE_PATH, QuarantineEntry};
use crate::settings::Environment;

/// The help of `siskinrock quarantine`.
pub const HELP: &str = "\
siskinrock quarantine: requests that crash the upstreams that run them

USAGE: siskinrock quarantine [--metrics IP:PORT]                   list them
       siskinrock quarantine lift FINGERPRINT [--metrics IP:PORT]  have one served again

  --metrics IP:PORT     SISKINROCK_METRICS        where an instance serves its metrics (required)

Any instance will do: all of them hear of a quarantine, and of its end. A quarantine ends by itself after ten
minutes. Lift it once the upstreams are mended; otherwise the request ends three more of them.
";

/// How long an instance may take.
const TIMEOUT_MS: u64 = 5_000;

/// Lists the quarantine, or lifts one; what is printed.
///
/// # Errors
///
/// If the call can't be read, or the instance can't be reached or refuses.
pub async fn run(arguments: Vec<OsString>, environment: Environment<'_>) -> Result<String> {
    let mut arguments = pico_args::Arguments::from_vec(arguments);
    let named: Option<SocketAddr> = arguments
        .opt_value_from_str("--metrics")
        .map_err(|error| usage(format!("--metrics: {error}; write IP:PORT")))?;
    let set = environment("SISKINROCK_METRICS").and_then(|addr| addr.parse().ok());
    let addr = named.or(set).ok_or_else(|| {
        usage("--metrics is missing; name the address of any instance's metrics".to_owned())
    })?;
    let words: Vec<String> =
        arguments.finish().iter().map(|word| word.to_string_lossy().into_owned()).collect();
    match words.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        [] | ["list"] => list(addr).await,
        ["lift", fingerprint] => lift(addr, fingerprint).await,
        _ => Err(usage("write nothing to list, or 'lift FINGERPRINT'".to_owned())),
    }
}

async fn list(addr: SocketAddr) -> Result<String> {
    let body = call(reqwest::Method::GET, addr, QUARANTINE_PATH).await?;
    let suspects: Vec<QuarantineEntry> = serde_json::from_str(&body).map_err(Error::internal)?;
    if suspects.is_empty() {
        return Ok("no request is known to crash upstreams".to_owned());
    }
    let lines = suspects.iter().map(|QuarantineEntry { fingerprint, crashes, quarantined_ms }| {
        let standing = match quarantined_ms {
            Some(left_ms) => format!("in quarantine for {} s more", left_ms / 1_000),
            None => "served".to_owned(),
        };
        format!("{fingerprint}  {crashes} upstreams ended  {standing}")
    });
    Ok(lines.collect::<Vec<_>>().join("\n"))
}

async fn lift(addr: SocketAddr, fingerprint: &str) -> Result<String> {
    let path = format!("{QUARANTINE_PATH}/{fingerprint}");
    let answer = call(reqwest::Method::DELETE, addr, &path).await?;
    Ok(answer.trim().to_owned())
}

async fn call(method: reqwest::Method, addr: SocketAddr, path: &str) -> Result<String> {
    let client = reqwest::Client::builder().timeout(Duration::from_millis(TIMEOUT_MS));
    let client = client.build().map_err(Error::internal)?;
    let answer = client.request(method, format!("http://{addr}{path}")).send().await;
    let answer = answer.map_err(|error| refused(format!("{addr} can't be reached ({error})")))?;
    let status = answer.status();
    let body = answer.text().await.map_err(|error| refused(error.to_string()))?;
    if status.is_success() { Ok(body) } else { Err(refused(body.trim().to_owned())) }
}

fn usage(fault: String) -> Error {
    Kind::Settings { faults: vec![fault] }.into()
}

fn refused(detail: String) -> Error {
    Kind::Internal { detail }.into()
}
