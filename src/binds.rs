//! Binds the addresses of a process; those that aren't free or there yet are waited for.

use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use nix::errno::Errno;
use tokio::net::{TcpListener, UdpSocket};

use crate::clock::Clock;
use crate::error::{Kind, Result};
use crate::gateway::policy::start::{self, Fault, Need, Step};

/// The port of an address of which only the machine matters.
const ANY_PORT: u16 = 0;

/// How the addresses of a process are bound.
#[derive(Debug, Clone)]
pub struct Binds {
    clock: Clock,
    since_ms: u64,
    bound_ms: u64,
    log: slog::Logger,
}

impl Binds {
    /// Waits for all addresses together at most `bound_ms` from now on.
    pub fn new(clock: Clock, bound_ms: u64, log: slog::Logger) -> Binds {
        Binds { clock, since_ms: clock.now_ms(), bound_ms, log }
    }

    /// Listens on the address that `key` of the settings gives.
    ///
    /// # Errors
    ///
    /// If the address can't be used, or not within the bound.
    pub async fn tcp(&self, key: &str, addr: SocketAddr) -> Result<TcpListener> {
        self.needed(key, addr, async || TcpListener::bind(addr).await).await
    }

    /// Takes datagrams at the address that `key` of the settings gives.
    ///
    /// # Errors
    ///
    /// As [`Binds::tcp`].
    pub async fn udp(&self, key: &str, addr: SocketAddr) -> Result<UdpSocket> {
        self.needed(key, addr, async || UdpSocket::bind(addr).await).await
    }

    /// Waits until connections can be made from the address that `key` of the settings gives.
    ///
    /// # Errors
    ///
    /// As [`Binds::tcp`].
    pub async fn source(&self, key: &str, ip: IpAddr) -> Result<()> {
        let addr = SocketAddr::new(ip, ANY_PORT);
        self.needed(key, addr, async || UdpSocket::bind(addr).await).await.map(drop)
    }

    /// Listens on the address of the metrics, which `key` of the settings gives, as soon as it can be used.
    pub async fn metrics(&self, key: &str, addr: SocketAddr) -> TcpListener {
        let mut has_told = false;
        loop {
            let error = match TcpListener::bind(addr).await {
                Ok(listener) => {
                    if has_told {
                        slog::info!(self.log, "metrics are served after all"; "addr" => %addr);
                    }
                    return listener;
                }
                Err(error) => error,
            };
            if !has_told {
                has_told = true;
                slog::warn!(self.log, "metrics can't be served yet; going on without";
                    "key" => key, "addr" => %addr, "detail" => %error);
            }
            let step = start::step(Need::Metrics, fault(&error), 0, 0);
            let (Step::DoWithout { pause_ms } | Step::Wait { pause_ms }) = step else {
                return std::future::pending().await;
            };
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Waits until `bind` succeeds.
    ///
    /// # Errors
    ///
    /// As [`Binds::tcp`].
    pub async fn needed<T>(
        &self,
        key: &str,
        addr: SocketAddr,
        bind: impl AsyncFn() -> io::Result<T>,
    ) -> Result<T> {
        let mut has_told = false;
        loop {
            let bound = bind().await;
            let waited_ms = self.clock.now_ms().saturating_sub(self.since_ms);
            let error = match bound {
                Ok(bound) => {
                    if has_told {
                        slog::info!(self.log, "the address can be used; the start goes on";
                            "key" => key, "addr" => %addr, "waited_ms" => waited_ms);
                    }
                    return Ok(bound);
                }
                Err(error) => error,
            };
            match start::step(Need::Address, fault(&error), waited_ms, self.bound_ms) {
                Step::Wait { pause_ms } => {
                    if !has_told {
                        has_told = true;
                        slog::warn!(self.log, "waiting for an address"; "key" => key,
                            "addr" => %addr, "detail" => %error, "most_ms" => self.bound_ms,
                            "pause_ms" => pause_ms);
                    }
                    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                }
                Step::DoWithout { .. } | Step::End => {
                    let (key, address) = (key.to_owned(), addr.to_string());
                    let detail = error.to_string();
                    return Err(Kind::Listen { key, address, detail, waited_ms }.into());
                }
            }
        }
    }
}

/// What a failed bind means to a start.
fn fault(error: &io::Error) -> Fault {
    const SHORT: [Errno; 4] = [Errno::EMFILE, Errno::ENFILE, Errno::ENOBUFS, Errno::ENOMEM];
    let errno = error.raw_os_error().map(Errno::from_raw);
    match error.kind() {
        ErrorKind::AddrInUse => Fault::Taken,
        ErrorKind::AddrNotAvailable => Fault::Absent,
        _ if errno.is_some_and(|errno| SHORT.contains(&errno)) => Fault::Short,
        _ => Fault::Denied,
    }
}
