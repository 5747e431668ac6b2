//! Reads the answers to calls that this process makes, within a size: how long one is, is for its sender
//! to choose.

use bytes::Bytes;

use crate::assembly::Assembly;

/// Why an answer could not be read to its end.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Fault {
    /// It is too long.
    #[display("the answer has more than {max_bytes} bytes")]
    TooLong {
        /// The longest answer that is taken.
        max_bytes: usize,
    },
    /// It broke off.
    #[display("{_0}")]
    Broken(reqwest::Error),
    /// It isn't what was asked for.
    #[display("{_0}")]
    Unreadable(serde_json::Error),
}

/// Reads a whole answer of at most so many bytes.
///
/// # Errors
///
/// If it is longer or breaks off.
pub async fn read(mut response: reqwest::Response, max_bytes: usize) -> Result<Bytes, Fault> {
    let too_long = || Fault::TooLong { max_bytes };
    let announced_bytes = response.content_length().map(|bytes| bytes as usize);
    if announced_bytes.is_some_and(|bytes| bytes > max_bytes) {
        return Err(too_long());
    }
    let mut assembly = Assembly::new(announced_bytes, max_bytes);
    while let Some(data) = response.chunk().await.map_err(Fault::Broken)? {
        assembly.bytes_with(data.len()).ok_or_else(too_long)?;
        assembly.push(data);
    }
    Ok(assembly.finish())
}

/// Reads a whole answer of at most so many bytes, as JSON.
///
/// # Errors
///
/// If it is longer, breaks off or can't be read.
pub async fn read_json<T: serde::de::DeserializeOwned>(
    response: reqwest::Response,
    max_bytes: usize,
) -> Result<T, Fault> {
    let body = read(response, max_bytes).await?;
    serde_json::from_slice(&body).map_err(Fault::Unreadable)
}
