//! The operators' command line for the quarantine of poison requests.

use std::ffi::OsString;
use std::net::SocketAddr;

use super::operate;
use crate::error::{Error, Result};
use crate::gateway::operator::{QUARANTINE_PATH, QuarantineEntry};
use crate::settings::Environment;

/// The help of `siskinrock quarantine`.
pub const HELP: &str = "\
siskinrock quarantine: requests, and parts of prompts, that crash the upstreams that run them

USAGE: siskinrock quarantine [--metrics IP:PORT]                   list them
       siskinrock quarantine lift FINGERPRINT [--metrics IP:PORT]  have one served again

  --metrics IP:PORT     SISKINROCK_METRICS        where an instance serves its metrics (required)

Any instance will do: all of them hear of a quarantine, and of its end. A quarantine ends by itself after ten
minutes. Lift it once the upstreams are mended; otherwise the request ends three more of them.
";

/// Lists the quarantine, or lifts one; what is printed.
///
/// # Errors
///
/// If the call can't be read, or the instance can't be reached or refuses.
pub async fn run(arguments: Vec<OsString>, environment: Environment<'_>) -> Result<String> {
    let mut arguments = pico_args::Arguments::from_vec(arguments);
    let addr = operate::metrics_addr(&mut arguments, environment)?;
    let words: Vec<String> =
        arguments.finish().iter().map(|word| word.to_string_lossy().into_owned()).collect();
    match words.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        [] | ["list"] => list(addr).await,
        ["lift", fingerprint] => lift(addr, fingerprint).await,
        _ => Err(operate::usage("write nothing to list, or 'lift FINGERPRINT'".to_owned())),
    }
}

async fn list(addr: SocketAddr) -> Result<String> {
    let body = operate::call(reqwest::Method::GET, addr, QUARANTINE_PATH).await?;
    let suspects: Vec<QuarantineEntry> = serde_json::from_str(&body).map_err(Error::internal)?;
    if suspects.is_empty() {
        return Ok("no request is known to crash upstreams".to_owned());
    }
    let lines = suspects.iter().map(|entry| {
        let QuarantineEntry { fingerprint, part, crashes, quarantined_ms } = entry;
        let what =
            part.as_ref().map(|part| format!("  part {part} of prompts")).unwrap_or_default();
        let standing = match quarantined_ms {
            Some(left_ms) => format!("in quarantine for {} s more", left_ms / 1_000),
            None => "served".to_owned(),
        };
        format!("{fingerprint}{what}  {crashes} upstreams ended  {standing}")
    });
    Ok(lines.collect::<Vec<_>>().join("\n"))
}

async fn lift(addr: SocketAddr, fingerprint: &str) -> Result<String> {
    let path = format!("{QUARANTINE_PATH}/{fingerprint}");
    let answer = operate::call(reqwest::Method::DELETE, addr, &path).await?;
    Ok(answer.trim().to_owned())
}
