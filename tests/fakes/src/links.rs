//! The links between one fake and those that connect to it, which can be cut by address.
//!
//! A cut is made in the kernel, by socket filters that drop what arrives: connections are neither
//! accepted nor refused, and what is sent is never acknowledged, as on a real network.

use std::collections::BTreeMap;
use std::future::Future;
use std::io::{self, ErrorKind};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::os::fd::{AsRawFd, RawFd};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::http::Connection;

/// What becomes of connections over a cut link; new ones are never accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Nothing passes over open ones.
    Hang,
    /// Open ones are reset.
    Reset,
    /// Open ones live on.
    LiveOn,
}

/// The address from which a connection comes, in the IP header.
const SOURCE_OFFSET: u32 = (libc::SKF_NET_OFF + 12) as u32;

#[derive(Debug, Default)]
struct State {
    listener: Option<RawFd>,
    connections: BTreeMap<RawFd, Ipv4Addr>,
    cut: Vec<Ipv4Addr>,
    how: Option<Cut>,
    /// Whether the process that listens has ended; its successor has another one.
    ended: Arc<AtomicBool>,
}

/// The links of one fake; cloning shares them.
#[derive(Debug, Clone, Default)]
pub struct Links {
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<u64>>,
}

/// The link that one connection goes over.
#[derive(Debug)]
pub struct Link {
    links: Links,
    fd: RawFd,
    source: Ipv4Addr,
    ended: Arc<AtomicBool>,
}

impl Links {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Cuts the links from these addresses and joins all others.
    pub fn cut(&self, sources: &[Ipv4Addr], how: Cut) {
        let mut state = self.lock();
        state.cut = sources.to_vec();
        state.how = Some(how);
        if let Some(listener) = state.listener {
            set_filter(listener, &drop_from(sources));
        }
        for (fd, source) in &state.connections {
            match how {
                Cut::Hang if sources.contains(source) => set_filter(*fd, &[DROP]),
                Cut::Reset if sources.contains(source) => abort(*fd),
                _ => set_filter(*fd, &[PASS]),
            }
        }
        drop(state);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Has nothing more said over the present connections: their process has ended, and they are closed
    /// one after the other.
    pub(crate) fn fall_silent(&self) {
        self.lock().ended.store(true, Ordering::SeqCst);
    }

    /// Serves each connection by `serve` until the handle is aborted.
    pub async fn listen<F, R>(
        &self,
        addr: &str,
        serve: F,
    ) -> (SocketAddr, tokio::task::JoinHandle<()>)
    where
        F: Fn(Connection) -> R + Send + 'static,
        R: Future<Output = ()> + Send + 'static,
    {
        self.accept(addr, move |stream, link| serve(Connection::over(stream, link))).await
    }

    /// The same with the bare socket; its link has to be dropped before it.
    pub async fn accept<F, R>(
        &self,
        addr: &str,
        serve: F,
    ) -> (SocketAddr, tokio::task::JoinHandle<()>)
    where
        F: Fn(TcpStream, Link) -> R + Send + 'static,
        R: Future<Output = ()> + Send + 'static,
    {
        let listener = bind(addr).await;
        let addr = listener.local_addr().expect("a listener has an address");
        let links = self.clone();
        let guard = ListenerGuard::new(links.clone(), &listener);
        let ended = Arc::new(AtomicBool::new(false));
        self.lock().ended = Arc::clone(&ended);
        let task = tokio::spawn(async move {
            let _guard = guard;
            let mut connections = tokio::task::JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => if let Ok((stream, peer)) = accepted {
                        let link = links.add(&stream, peer, Arc::clone(&ended));
                        connections.spawn(serve(stream, link));
                    },
                    Some(_) = connections.join_next() => {}
                }
            }
        });
        (addr, task)
    }

    fn add(&self, stream: &TcpStream, peer: SocketAddr, ended: Arc<AtomicBool>) -> Link {
        let source = match peer.ip() {
            IpAddr::V4(source) => source,
            IpAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
        };
        let fd = stream.as_raw_fd();
        // It inherited the listener's filter.
        set_filter(fd, &[PASS]);
        self.lock().connections.insert(fd, source);
        Link { links: self.clone(), fd, source, ended }
    }
}

impl Link {
    /// Waits while nothing passes: for ever, if the process at this end has ended.
    pub async fn wait_until_passing(&self) {
        if self.ended.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        let mut changed = self.links.changed.subscribe();
        while self.is_hanging() {
            // The links keep the sender.
            let _ = changed.changed().await;
        }
    }

    fn is_hanging(&self) -> bool {
        let state = self.links.lock();
        state.how == Some(Cut::Hang) && state.cut.contains(&self.source)
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.links.lock().connections.remove(&self.fd);
    }
}

/// Forgets a listener when it is closed.
struct ListenerGuard(Links);

impl ListenerGuard {
    fn new(links: Links, listener: &TcpListener) -> ListenerGuard {
        let mut state = links.lock();
        state.listener = Some(listener.as_raw_fd());
        set_filter(listener.as_raw_fd(), &drop_from(&state.cut));
        drop(state);
        ListenerGuard(links)
    }
}

impl Drop for ListenerGuard {
    fn drop(&mut self) {
        self.0.lock().listener = None;
    }
}

const DROP: libc::sock_filter = statement(libc::BPF_RET | libc::BPF_K, 0);
const PASS: libc::sock_filter = statement(libc::BPF_RET | libc::BPF_K, u32::MAX);

const fn statement(code: u32, k: u32) -> libc::sock_filter {
    libc::sock_filter { code: code as u16, jt: 0, jf: 0, k }
}

/// A filter that drops what comes from these addresses.
pub(crate) fn drop_from(sources: &[Ipv4Addr]) -> Vec<libc::sock_filter> {
    let mut filter = vec![statement(libc::BPF_LD | libc::BPF_W | libc::BPF_ABS, SOURCE_OFFSET)];
    for source in sources {
        // Skips the drop unless the address is this one.
        let equals = statement(libc::BPF_JMP | libc::BPF_JEQ | libc::BPF_K, source.to_bits());
        filter.extend([libc::sock_filter { jf: 1, ..equals }, DROP]);
    }
    filter.push(PASS);
    filter
}

pub(crate) fn set_filter(fd: RawFd, filter: &[libc::sock_filter]) {
    let mut filter = filter.to_vec();
    let program = libc::sock_fprog { len: filter.len() as u16, filter: filter.as_mut_ptr() };
    // SAFETY: the program and its statements live until the call returns, which copies them.
    let set = unsafe {
        libc::setsockopt(
            fd,
            libc::SOL_SOCKET,
            libc::SO_ATTACH_FILTER,
            (&raw const program).cast(),
            size_of::<libc::sock_fprog>() as libc::socklen_t,
        )
    };
    assert_eq!(set, 0, "{}", io::Error::last_os_error());
}

/// Resets a connection.
fn abort(fd: RawFd) {
    // A connection to an address without a family ends what there is, by a reset.
    // SAFETY: an address that consists of zeros is valid.
    let nowhere: libc::sockaddr = unsafe { std::mem::zeroed() };
    // SAFETY: the address lives until the call returns.
    let ended = unsafe {
        libc::connect(fd, &raw const nowhere, size_of::<libc::sockaddr>() as libc::socklen_t)
    };
    assert_eq!(ended, 0, "{}", io::Error::last_os_error());
}

/// How long an address may still be taken: a process that another thread of the test is starting holds the
/// listener before until its program runs.
const HELD: Duration = Duration::from_secs(10);

async fn bind(addr: &str) -> TcpListener {
    let since = Instant::now();
    loop {
        match TcpListener::bind(addr).await {
            Err(error) if error.kind() == ErrorKind::AddrInUse && since.elapsed() < HELD => {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            bound => return bound.expect("a loopback address is free"),
        }
    }
}
