//! The platform's key-value service and its list of upstreams, behind one small trait.

use std::time::Duration;

use futures_util::future::BoxFuture;
use serde::{Deserialize, Serialize};

use crate::control::health::Listed;
use crate::error::{Kind, Result};
use crate::{limited, target};

/// How long an ordinary call may take.
const TIMEOUT_MS: u64 = 1_500;
/// The maximum size of an answer: the configuration and the list of upstreams may have several
/// megabytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// A stored value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The value as text.
    pub value: String,
    /// The store's revision of the key.
    pub revision: u64,
}

/// What became of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Written {
    /// It is in the store.
    Applied {
        /// The store's revision of it.
        revision: u64,
    },
    /// The key had changed; this is what it holds now.
    Refused(Option<Entry>),
    /// It can't have reached the store.
    NotSent,
    /// It may have been applied.
    Unknown,
}

/// What the system needs of the platform.
pub trait Store: Send + Sync {
    /// Reads a key.
    ///
    /// # Errors
    ///
    /// If the store can't be reached or refuses.
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Entry>>>;

    /// Waits up to `wait_ms` for a revision over `after`; `None` if none came.
    ///
    /// # Errors
    ///
    /// If the store can't be reached or refuses.
    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: u64,
        wait_ms: u64,
    ) -> BoxFuture<'a, Result<Option<Entry>>>;

    /// Writes a key whose revision must still be `expect`, 0 for a key that must not exist.
    fn write<'a>(&'a self, key: &'a str, write: Write) -> BoxFuture<'a, Written>;

    /// Takes a lease.
    ///
    /// # Errors
    ///
    /// If the store can't be reached or refuses.
    fn grant_lease(&self, ttl_ms: u64) -> BoxFuture<'_, Result<u64>>;

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// If the store can't be reached, or the lease has ended.
    fn renew_lease(&self, id: u64) -> BoxFuture<'_, Result<()>>;

    /// The lagging list of upstreams.
    ///
    /// # Errors
    ///
    /// If the platform can't be reached or refuses.
    fn list(&self) -> BoxFuture<'_, Result<Vec<Listed>>>;
}

/// A compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Write {
    /// The new value.
    pub value: String,
    /// The revision that the writer saw.
    pub expect: u64,
    /// The lease whose end removes the key.
    pub lease: Option<u64>,
}

/// The store over HTTP.
#[derive(Debug, Clone)]
pub struct HttpStore {
    client: reqwest::Client,
    base: String,
}

#[derive(Deserialize)]
struct Revision {
    revision: u64,
}

#[derive(Deserialize)]
struct Lease {
    lease: u64,
}

impl HttpStore {
    /// A store at `base`, such as `http://10.0.0.2:2379`.
    pub fn new(client: reqwest::Client, base: String) -> HttpStore {
        HttpStore { client, base }
    }

    async fn get<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        timeout_ms: u64,
    ) -> Result<Option<T>> {
        let request = self.client.get(format!("{}{path}", self.base));
        let sent = request.timeout(Duration::from_millis(timeout_ms)).send().await;
        let response = sent.map_err(down)?;
        match response.status().as_u16() {
            204 | 404 => Ok(None),
            200 => limited::read_json(response, MAX_ANSWER_BYTES).await.map(Some).map_err(down),
            status => Err(down(format!("status {status}"))),
        }
    }

    async fn try_write(&self, key: &str, write: &Write) -> Written {
        let request =
            self.client.put(format!("{}/kv/{}", self.base, target::escape(key))).json(write);
        let sent = request.timeout(Duration::from_millis(TIMEOUT_MS)).send().await;
        let response = match sent {
            Ok(response) => response,
            Err(error) if error.is_connect() => return Written::NotSent,
            Err(_) => return Written::Unknown,
        };
        match response.status().as_u16() {
            200 => match limited::read_json::<Revision>(response, MAX_ANSWER_BYTES).await {
                Ok(Revision { revision }) => Written::Applied { revision },
                Err(_) => Written::Unknown,
            },
            409 => {
                let now = limited::read_json(response, MAX_ANSWER_BYTES).await;
                Written::Refused(now.unwrap_or_default())
            }
            503 | 400 => Written::NotSent,
            _ => Written::Unknown,
        }
    }
}

impl Store for HttpStore {
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Entry>>> {
        Box::pin(async move { self.get(&format!("/kv/{}", target::escape(key)), TIMEOUT_MS).await })
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: u64,
        wait_ms: u64,
    ) -> BoxFuture<'a, Result<Option<Entry>>> {
        let path = format!("/watch/{}?after={after}&wait_ms={wait_ms}", target::escape(key));
        Box::pin(async move { self.get(&path, wait_ms + TIMEOUT_MS).await })
    }

    fn write<'a>(&'a self, key: &'a str, write: Write) -> BoxFuture<'a, Written> {
        Box::pin(async move { self.try_write(key, &write).await })
    }

    fn grant_lease(&self, ttl_ms: u64) -> BoxFuture<'_, Result<u64>> {
        Box::pin(async move {
            let request = self.client.post(format!("{}/leases?ttl_ms={ttl_ms}", self.base));
            let sent = request.timeout(Duration::from_millis(TIMEOUT_MS)).send().await;
            let response = sent.and_then(reqwest::Response::error_for_status).map_err(down)?;
            let answer = limited::read_json(response, MAX_ANSWER_BYTES).await;
            let Lease { lease } = answer.map_err(down)?;
            Ok(lease)
        })
    }

    fn renew_lease(&self, id: u64) -> BoxFuture<'_, Result<()>> {
        Box::pin(async move {
            let request = self.client.put(format!("{}/leases/{id}", self.base));
            let sent = request.timeout(Duration::from_millis(TIMEOUT_MS)).send().await;
            sent.and_then(reqwest::Response::error_for_status).map_err(down)?;
            Ok(())
        })
    }

    fn list(&self) -> BoxFuture<'_, Result<Vec<Listed>>> {
        Box::pin(async move {
            let listed = self.get("/upstreams", TIMEOUT_MS).await?;
            Ok(listed.unwrap_or_default())
        })
    }
}

fn down(detail: impl ToString) -> crate::error::Error {
    Kind::StoreDown { detail: detail.to_string() }.into()
}
