//! Addresses of their own for fakes that listen again where they did before they crashed.

use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU32, Ordering};

/// The second byte of the addresses, and how many there are: those below belong to processes under test.
const FIRST: u32 = 201;
const COUNT: u32 = 54;
/// The last byte of an address, which is neither 0 nor 255.
const HOSTS: u32 = 254;

/// An address whose port the system chooses and that stays free while nothing listens there: outgoing
/// connections come from 127.0.0.1 or from addresses of the processes under test.
pub fn own_addr() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    // Test processes that run at the same time have different ids.
    let run = std::process::id();
    let host = NEXT.fetch_add(1, Ordering::Relaxed) % HOSTS;
    let bytes = [127, FIRST + run % COUNT, run / COUNT % 256, 1 + host];
    format!("{}:0", Ipv4Addr::from(bytes.map(|byte| byte as u8)))
}
