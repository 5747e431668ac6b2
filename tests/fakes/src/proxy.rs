//! A loopback proxy that harms connections from outside the processes at their ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::links::{Link, Links};

/// What happens to connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Harm {
    /// Nothing.
    #[default]
    None,
    /// Every piece is late.
    Delay(u64),
    /// Nothing passes, in either direction, and nobody is told.
    Silent,
    /// Nothing passes from the server back.
    OneWay,
    /// Connections are reset.
    Reset,
}

/// A running proxy; cloning shares it.
#[derive(Clone)]
pub struct Proxy {
    /// Where it listens.
    pub addr: SocketAddr,
    harm: Arc<watch::Sender<Harm>>,
    /// The links to whoever connects.
    pub links: Links,
}

impl Proxy {
    /// Starts one before `target`.
    pub async fn start(target: SocketAddr) -> Proxy {
        let links = Links::default();
        let harm = Arc::new(watch::Sender::new(Harm::None));
        let shared = Arc::clone(&harm);
        let serve = move |caller, link| join(caller, target, shared.subscribe(), link);
        let (addr, _) = links.accept("127.0.0.1:0", serve).await;
        Proxy { addr, harm, links }
    }

    /// Harms all connections from now on, open ones too.
    pub fn set(&self, harm: Harm) {
        self.harm.send_replace(harm);
    }
}

async fn join(caller: TcpStream, target: SocketAddr, harm: watch::Receiver<Harm>, link: Link) {
    let mut resets = harm.clone();
    if *harm.borrow() == Harm::Reset {
        return reset(caller);
    }
    let Ok(server) = TcpStream::connect(target).await else { return reset(caller) };
    let _ = (caller.set_nodelay(true), server.set_nodelay(true));
    let (mut from_caller, mut to_caller) = caller.into_split();
    let (mut from_server, mut to_server) = server.into_split();
    tokio::select! {
        () = pass(&mut from_caller, &mut to_server, harm.clone(), &link, false) => {}
        () = pass(&mut from_server, &mut to_caller, harm, &link, true) => {}
        _ = resets.wait_for(|harm| *harm == Harm::Reset) => {}
    }
    drop(link);
    if *resets.borrow() == Harm::Reset
        && let Ok(caller) = from_caller.reunite(to_caller)
    {
        reset(caller);
    }
}

fn reset(stream: TcpStream) {
    #[allow(deprecated, reason = "the successor lives in a crate that isn't needed otherwise")]
    let _ = stream.set_linger(Some(Duration::ZERO));
}

async fn pass<R, W>(
    from: &mut R,
    to: &mut W,
    mut harm: watch::Receiver<Harm>,
    link: &Link,
    is_back: bool,
) where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin,
{
    let mut buffer = vec![0; 16 << 10];
    loop {
        let Ok(read) = from.read(&mut buffer).await else { return };
        if read == 0 {
            return;
        }
        let blocks = |harm: &Harm| *harm == Harm::Silent || (is_back && *harm == Harm::OneWay);
        if harm.wait_for(|harm| !blocks(harm)).await.is_err() {
            return;
        }
        link.wait_until_passing().await;
        let now = *harm.borrow();
        if let Harm::Delay(delay_ms) = now {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
