//! What a process takes of its machine: memory, bytes that wait to be read, and sockets.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// The pause between two looks.
const LOOK: Duration = Duration::from_millis(20);

/// The most that a process has taken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Peak {
    /// Its memory, with the bytes that have been received for it and not yet read.
    pub memory_kb: u64,
    /// Its sockets.
    pub sockets: usize,
}

impl Peak {
    fn max(self, other: Peak) -> Peak {
        Peak {
            memory_kb: self.memory_kb.max(other.memory_kb),
            sockets: self.sockets.max(other.sockets),
        }
    }
}

/// Looks at a process until it is asked what the most was.
pub struct Watch {
    pid: u32,
    is_over: Arc<AtomicBool>,
    looking: JoinHandle<Peak>,
}

impl Watch {
    /// Looks at a process from now on, and at what waits at its addresses.
    pub fn start(pid: u32, addrs: Vec<SocketAddr>) -> Watch {
        let is_over = Arc::new(AtomicBool::new(false));
        let ends = Arc::clone(&is_over);
        let looking = std::thread::spawn(move || {
            let mut peak = Peak::default();
            while !ends.load(Ordering::Relaxed) {
                peak = peak.max(now(pid, &addrs));
                std::thread::sleep(LOOK);
            }
            peak
        });
        Watch { pid, is_over, looking }
    }

    /// The most until now.
    ///
    /// # Panics
    ///
    /// If the process has ended.
    pub fn peak(self) -> Peak {
        let between_looks = status_kb(self.pid, "VmHWM:").expect("the process lives");
        self.is_over.store(true, Ordering::Relaxed);
        let peak = self.looking.join().expect("looking doesn't panic");
        peak.max(Peak { memory_kb: between_looks, sockets: 0 })
    }
}

/// What a process takes now.
fn now(pid: u32, addrs: &[SocketAddr]) -> Peak {
    let memory_kb = status_kb(pid, "VmRSS:").unwrap_or(0);
    Peak { memory_kb: memory_kb + unread_bytes(addrs) / 1024, sockets: sockets(pid) }
}

fn status_kb(pid: u32, name: &str) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix(name))?;
    line.trim().trim_end_matches(" kB").parse().ok()
}

fn sockets(pid: u32) -> usize {
    let Ok(descriptors) = fs::read_dir(format!("/proc/{pid}/fd")) else { return 0 };
    let links = descriptors.flatten().filter_map(|entry| fs::read_link(entry.path()).ok());
    links.filter(|link| link.to_string_lossy().starts_with("socket:")).count()
}

/// The bytes that wait at these addresses, in connections that were accepted or not yet.
fn unread_bytes(addrs: &[SocketAddr]) -> u64 {
    const ESTABLISHED: &str = "01";
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let unread = table.lines().skip(1).filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let local = local_addr(fields.next()?)?;
        let state = fields.nth(1)?;
        let received = fields.next()?.split_once(':')?.1;
        let is_asked = state == ESTABLISHED && addrs.contains(&local);
        is_asked.then(|| u64::from_str_radix(received, 16).unwrap_or(0))
    });
    unread.sum()
}

/// An address as the kernel writes it: the number in the machine's order of bytes, and the port.
fn local_addr(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let ip = Ipv4Addr::from(u32::from_str_radix(ip, 16).ok()?.to_ne_bytes());
    Some(SocketAddr::new(IpAddr::V4(ip), u16::from_str_radix(port, 16).ok()?))
}
