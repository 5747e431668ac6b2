//! Whether an entry among the upstreams names an address at which an upstream may be.
//!
//! Whoever writes entries may name any address. A request that is sent to one of ours comes back as a
//! caller's, and the directory and the calls of duties answer it as their own; none of them says that it
//! is no upstream. Addresses are compared whole: an upstream may share a host with an instance.

use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Why no upstream can be at an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Unusable {
    /// An instance of ours listens there.
    #[display("an instance of ours listens there")]
    Ours,
    /// The directory is there, or where calls of duties go.
    #[display("the directory or the calls of duties have it")]
    Directory,
    /// Its port is 0.
    #[display("it has no port")]
    Port,
    /// It names no host, or many.
    #[display("it names no single host")]
    Host,
    /// It is of another family than the address from which this instance connects.
    #[display("it is of another family than the address from which this instance connects")]
    Family,
}

/// The addresses at which no upstream is, as far as this instance knows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TakenAddresses {
    /// Those at which instances of ours listen.
    ours: BTreeSet<SocketAddr>,
    /// Those of the directory and of the calls of duties.
    directory: BTreeSet<SocketAddr>,
    /// The address from which this instance connects to upstreams, if that is settled; its port says nothing.
    source: Option<SocketAddr>,
}

impl TakenAddresses {
    /// Those of instances, and of the directory and the calls of duties.
    pub fn new(
        ours: impl IntoIterator<Item = SocketAddr>,
        directory: impl IntoIterator<Item = SocketAddr>,
        source: Option<SocketAddr>,
    ) -> TakenAddresses {
        TakenAddresses {
            ours: ours.into_iter().map(canonical).collect(),
            directory: directory.into_iter().map(canonical).collect(),
            source: source.map(canonical),
        }
    }

    /// Why no upstream can be at an address, if none can.
    pub fn fault(&self, addr: SocketAddr) -> Option<Unusable> {
        let addr = canonical(addr);
        let ip = addr.ip();
        let is_broadcast = matches!(addr, SocketAddr::V4(addr) if addr.ip().is_broadcast());
        if addr.port() == 0 {
            Some(Unusable::Port)
        } else if ip.is_unspecified() || ip.is_multicast() || is_broadcast {
            Some(Unusable::Host)
        } else if self.source.is_some_and(|source| source.is_ipv4() != addr.is_ipv4()) {
            Some(Unusable::Family)
        } else if self.directory.contains(&addr) {
            Some(Unusable::Directory)
        } else if self.ours.contains(&addr) {
            Some(Unusable::Ours)
        } else {
            None
        }
    }
}

/// The same address in its shortest form: one of IPv4 may be written as one of IPv6.
fn canonical(addr: SocketAddr) -> SocketAddr {
    SocketAddr::new(addr.ip().to_canonical(), addr.port())
}
