//! The operators' command line for the duties that one instance at a time has.

use std::ffi::OsString;

use super::operate;
use crate::error::{Error, Result};
use crate::gateway::operator::DUTIES_PATH;
use crate::gateway::view::DutyView;
use crate::settings::Environment;

/// The help of `siskinrock duties`.
pub const HELP: &str = "\
siskinrock duties: who reports usage and orders workers, of which one instance at a time has the right

USAGE: siskinrock duties [--metrics IP:PORT]

  --metrics IP:PORT     SISKINROCK_METRICS        where an instance serves its metrics (required)

Any instance knows who has them; what was reported and ordered stands in the log of that one, under 'usage reported'
and 'workers ordered'.
";

/// Shows how the duties stand; what is printed.
///
/// # Errors
///
/// If the call can't be read, or the instance can't be reached or refuses.
pub async fn run(arguments: Vec<OsString>, environment: Environment<'_>) -> Result<String> {
    let mut arguments = pico_args::Arguments::from_vec(arguments);
    let addr = operate::metrics_addr(&mut arguments, environment)?;
    if !arguments.finish().is_empty() {
        return Err(operate::usage("write nothing behind 'duties'".to_owned()));
    }
    let body = operate::call(reqwest::Method::GET, addr, DUTIES_PATH).await?;
    let DutyView { holder, token, reported } =
        serde_json::from_str(&body).map_err(Error::internal)?;
    let Some(holder) = holder else {
        return Ok("no instance is known to have the duties".to_owned());
    };
    let Some(token) = token else { return Ok(format!("{holder} has the duties; ask it for more")) };
    let reported = reported.map_or("none yet".to_owned(), |window| window.to_string());
    Ok(format!("{holder} has the duties, with the token {token}; last window reported: {reported}"))
}
