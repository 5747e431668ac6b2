//! Starts whose surroundings are late, incomplete or wrong.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use siskinrock::binds::Binds;
use siskinrock::clock::Clock;
use siskinrock::gateway::native;
use siskinrock::log;
use siskinrock_fakes::process::wait_for;
use siskinrock_fakes::site::HOST;
use yare::parameterized;

use crate::run::{Ground, RouterGround, get};

/// How long the surroundings are not as they should be.
const LATE: Duration = Duration::from_millis(700);
/// How long a start waits at most, and what its end may take beyond that.
const LONGEST_WAIT: Duration = Duration::from_secs(10);
const END: Duration = Duration::from_secs(4);
/// An end that waited for nothing.
const AT_ONCE: Duration = Duration::from_secs(3);
/// An address that no machine has.
const NOWHERE: &str = "192.0.2.7:20000";

/// Part of a settings file, as one who reads while it is written sees it.
fn first_lines(settings: &str, until: &str) -> String {
    settings.split_once(until).expect("the settings have it").0.to_owned()
}

/// Guards against a start that ends because its settings file is being written.
#[parameterized(
    not_there = { None },
    empty = { Some("") },
    cut_in_a_line = { Some("ttl_max_s") },
    cut_before_the_store = { Some("[provider]") },
    cut_in_an_address = { Some(":20009") },
)]
#[test_macro(tokio::test)]
async fn settings_that_are_being_written_are_waited_for(until: Option<&str>) {
    let ground = Ground::new().await;
    let settings = ground.settings();
    if let Some(until) = until {
        let part = if until.is_empty() { String::new() } else { first_lines(&settings, until) };
        ground.write(&part);
    }
    let mut running = ground.start();
    tokio::time::sleep(LATE).await;
    running.assert_lives("while its settings are written");
    assert!(running.log().contains("waiting for the settings"), "{}", running.log());
    ground.write(&settings);
    ground.wait_until_ready().await;
    assert!(running.log().contains("the settings are whole"), "{}", running.log());
}

/// Guards against a start that waits for ever, or ends without a word.
#[tokio::test]
async fn settings_that_never_come_end_the_start_with_a_line() {
    let ground = Ground::new().await;
    let settings = ground.settings();
    ground.write(&first_lines(&settings, "[provider]"));
    let mut running = ground.start();
    let ended = running.wait(LONGEST_WAIT + END).await.expect("it waits no longer");
    assert_eq!(ended.code(), Some(2));
    for text in [running.errors(), running.log()] {
        assert!(text.contains("provider.address is missing"), "{text}");
    }
}

/// Guards against a wait for what can never be right, and an error that doesn't name it.
#[parameterized(
    address = { "front = \"127", "front = \"nowhere-127", "listen.front", "nowhere-127" },
    word = { "retry-slack = 150", "retry-slack = \"much\"", "bounds.retry-slack", "much" },
    under_zero = { "retry-slack = 150", "retry-slack = -2", "bounds.retry-slack", "-2" },
    no_number = { "budget-window-s = 10", "budget-window-s = nan", "bounds.budget-window-s", "NaN" },
    no_time = { "grace-s = 4.0", "grace-s = 0", "bounds.grace-s", "0" },
    a_list = { "grace-s = 4.0", "grace-s = [4]", "bounds.grace-s", "[4]" },
)]
#[test_macro(tokio::test)]
async fn a_value_that_is_never_right_is_refused_at_once(
    from: &str,
    to: &str,
    key: &str,
    value: &str,
) {
    let ground = Ground::new().await;
    let settings = ground.settings();
    assert!(settings.contains(from), "{settings}");
    ground.write(&settings.replace(from, to));
    let mut running = ground.start();
    let ended = running.wait(AT_ONCE).await.expect("it doesn't wait");
    assert_eq!(ended.code(), Some(2));
    let errors = running.errors();
    assert!(errors.contains(key) && errors.contains(value), "{errors}");
}

/// Guards against a start that ends for a key which it can do without.
#[parameterized(
    no_source = { "upstream-source = \"", "upstream-source = \"\" #" },
    no_duties = { "[provider]", "[cloud]\naddress = \"\"\nduties = [\"autoscale\"]\n[provider]" },
    no_cloud = { "[provider]", "[cloud]\n[provider]" },
    no_seed = { "seeds = [", "seeds = [\"the first\",\"\"," },
    no_slack = { "retry-slack = 150", "" },
    no_ratio = { "retry-budget-ratio = 0.8", "retry-budget-ratio = \"\"" },
    no_window = { "budget-window-s = 10", "" },
    no_grace = { "grace-s = 4.0", "" },
    number_as_text = { "grace-s = 4.0", "grace-s = \"4\"" },
    no_memory = { "[provider]", "[limits]\nmemory-mb = \"\"\nmax-fds = \"2000\"\n[provider]" },
    no_peer_port = { "control = \"", "control = \"\" #" },
)]
#[test_macro(tokio::test)]
async fn a_key_without_a_value_is_done_without(from: &str, to: &str) {
    let ground = Ground::new().await;
    let settings = ground.settings();
    assert!(settings.contains(from), "{settings}");
    ground.write(&settings.replace(from, to));
    let mut running = ground.start();
    ground.wait_until_ready().await;
    running.assert_lives("although it is ready");
}

/// Guards against a start that ends for want of an address for its readiness.
#[tokio::test]
async fn an_empty_readiness_is_done_without() {
    let ground = Ground::new().await;
    ground.write(&ground.settings().replace("readiness = \"", "readiness = \"\" #"));
    let _running = ground.start();
    let asked =
        format!("/siskinrock/resolve?name={}&region=r&zone=-", siskinrock_fakes::site::HOST);
    wait_for("addresses are told", async || {
        let answer = get(ground.directory(), &asked).await;
        answer.is_some_and(|(status, _)| status == 200)
    })
    .await;
}

/// Holds an address as another process would.
enum Held {
    Tcp(#[allow(dead_code)] TcpListener),
    Udp(#[allow(dead_code)] UdpSocket),
}

fn hold(addr: SocketAddr, is_tcp: bool) -> Held {
    match is_tcp {
        true => Held::Tcp(TcpListener::bind(addr).unwrap()),
        false => Held::Udp(UdpSocket::bind(addr).unwrap()),
    }
}

/// Guards against a start that ends because the process before still holds an address.
#[parameterized(
    front = { Ground::front, true, "listen.front" },
    peers = { Ground::peer, true, "listen.control" },
    datagrams = { Ground::peer, false, "listen.control" },
    directory = { Ground::directory, true, "listen.directory" },
    readiness = { Ground::readiness, true, "listen.readiness" },
)]
#[test_macro(tokio::test)]
async fn an_address_in_use_is_waited_for(addr: fn(&Ground) -> SocketAddr, is_tcp: bool, key: &str) {
    let ground = Ground::new().await;
    ground.write(&ground.settings());
    let held = hold(addr(&ground), is_tcp);
    let mut running = ground.start();
    tokio::time::sleep(LATE).await;
    running.assert_lives("while an address is in use");
    let log = running.log();
    let told = log.lines().find(|line| line.contains("waiting for an address"));
    assert!(told.is_some_and(|line| line.contains(&format!("\"key\":\"{key}\""))), "{log}");
    if key != "listen.readiness" {
        assert!(!ground.is_ready().await, "it isn't ready before it listens");
    }
    drop(held);
    ground.wait_until_ready().await;
}

/// Guards against a start that ends because another process has the port of the metrics.
#[tokio::test]
async fn metrics_are_served_as_soon_as_their_address_is_free() {
    let ground = Ground::new().await;
    ground.write(&ground.settings());
    let held = hold(ground.metrics(), true);
    let running = ground.start();
    ground.wait_until_ready().await;
    assert!(running.log().contains("metrics can't be served yet"), "{}", running.log());
    drop(held);
    wait_for("the metrics are served", async || {
        let answer = get(ground.metrics(), "/metrics").await;
        answer.is_some_and(|(_, text)| text.contains("siskinrock_resident_bytes "))
    })
    .await;
}

/// Guards against a start that waits for ever for an address that never comes; it names the address.
#[tokio::test]
async fn an_address_that_never_comes_ends_the_start_with_a_line() {
    let ground = Ground::new().await;
    let front = ground.front().to_string();
    ground.write(
        &ground.settings().replace(&format!("front = \"{front}"), &format!("front = \"{NOWHERE}")),
    );
    let since = Instant::now();
    let mut running = ground.start();
    let ended = running.wait(LONGEST_WAIT + END).await.expect("it waits no longer");
    assert_eq!(ended.code(), Some(1));
    assert!(since.elapsed() >= LONGEST_WAIT, "the address may still come");
    for text in [running.errors(), running.log()] {
        assert!(text.contains("listen.front") && text.contains(NOWHERE), "{text}");
    }
}

/// Guards against waits that add up, one address after the other, to a multiple of the longest wait.
#[tokio::test]
async fn addresses_are_waited_for_at_the_same_time() {
    /// One address is free after this time, the other never.
    const FREE: Duration = Duration::from_secs(6);
    let ground = Ground::new().await;
    let readiness = ground.readiness().to_string();
    ground.write(&ground.settings().replace(&readiness, NOWHERE));
    let held = hold(ground.peer(), false);
    let since = Instant::now();
    let mut running = ground.start();
    tokio::time::sleep(FREE).await;
    drop(held);
    let left = (LONGEST_WAIT + END).saturating_sub(since.elapsed());
    let ended = running.wait(left).await.expect("the waits don't add up");
    assert_eq!(ended.code(), Some(1));
    assert!(running.errors().contains("listen.readiness"), "{}", running.errors());
}

/// Guards against an address that the system denies and that is told only after a wait for another one.
#[parameterized(
    front = { "front" },
    readiness = { "readiness" },
    directory = { "directory" },
    peers = { "control" },
    source = { "upstream-source" },
)]
#[test_macro(tokio::test)]
async fn a_denied_address_is_told_at_once(key: &str) {
    /// An address of a link that isn't named.
    const DENIED: &str = "fe80::1";
    let ground = Ground::new().await;
    let port = if key == "upstream-source" { String::new() } else { ":20009".to_owned() };
    let denied = if port.is_empty() { DENIED.to_owned() } else { format!("[{DENIED}]{port}") };
    ground.write(&with_value(&ground.settings(), key, &denied));
    let held = if key == "control" { ground.front() } else { ground.peer() };
    let _held = hold(held, true);
    let mut running = ground.start();
    let ended = running.wait(AT_ONCE).await.expect("it doesn't wait");
    assert_eq!(ended.code(), Some(1));
    for text in [running.errors(), running.log()] {
        assert!(text.contains(&format!("listen.{key}")) && text.contains(DENIED), "{text}");
    }
}

/// The settings with another value of an address.
fn with_value(settings: &str, key: &str, value: &str) -> String {
    let begin = format!("{key} = \"");
    let lines = settings.lines().map(|line| match line.starts_with(&begin) {
        true => format!("{begin}{value}\""),
        false => line.to_owned(),
    });
    let changed: Vec<String> = lines.collect();
    assert!(changed.iter().any(|line| line.contains(value)), "{settings}");
    changed.join("\n")
}

/// Guards against an instance that is ready although its connections to upstreams have no address.
#[tokio::test]
async fn an_address_of_connections_that_never_comes_ends_the_start_with_a_line() {
    let ground = Ground::new().await;
    ground.write(&with_value(&ground.settings(), "upstream-source", "192.0.2.7"));
    let mut running = ground.start();
    wait_for("it waits", async || running.log().contains("waiting for an address")).await;
    assert!(running.log().contains("\"key\":\"listen.upstream-source\""), "{}", running.log());
    assert!(!ground.is_ready().await, "it can't reach an upstream");
    let ended = running.wait(LONGEST_WAIT + END).await.expect("it waits no longer");
    assert_eq!(ended.code(), Some(1));
    assert!(running.errors().contains("listen.upstream-source"), "{}", running.errors());
}

/// Guards against a start that ends because the machine gets its address a moment later.
#[parameterized(
    absent = { libc::EADDRNOTAVAIL, 1 },
    taken = { libc::EADDRINUSE, 4 },
    no_descriptor = { libc::EMFILE, 2 },
    no_memory = { libc::ENOBUFS, 3 },
)]
#[test_macro(tokio::test)]
async fn an_address_that_comes_later_is_waited_for(errno: i32, failures: usize) {
    let binds = Binds::new(Clock::start(), LONGEST_WAIT.as_millis() as u64, log::discard());
    let tries = AtomicUsize::new(0);
    let bind = async || match tries.fetch_add(1, Ordering::Relaxed) {
        number if number < failures => Err(std::io::Error::from_raw_os_error(errno)),
        number => Ok(number),
    };
    let bound = binds.needed("listen.front", NOWHERE.parse().unwrap(), bind).await;
    assert_eq!(bound.unwrap(), failures);
}

/// Guards against a second process that disturbs the first, or that doesn't take over from it.
#[tokio::test]
async fn a_second_start_waits_until_the_first_has_stopped() {
    let ground = Ground::new().await;
    ground.write(&ground.settings());
    let mut first = ground.start();
    ground.wait_until_ready().await;
    let mut second = ground.start();
    tokio::time::sleep(LATE).await;
    first.assert_lives("while a second one waits");
    second.assert_lives("while the first one runs");
    assert!(ground.is_ready().await, "the first one serves");
    first.signal(libc::SIGTERM);
    assert!(first.wait(AT_ONCE + END).await.is_some_and(|status| status.success()));
    ground.wait_until_ready().await;
    second.assert_lives("although it is ready");
}

/// Guards against a second process that waits for ever, or ends the first one with it.
#[tokio::test]
async fn a_second_start_ends_with_a_line_if_the_first_goes_on() {
    let ground = Ground::new().await;
    ground.write(&ground.settings());
    let mut first = ground.start();
    ground.wait_until_ready().await;
    let mut second = ground.start();
    let ended = second.wait(LONGEST_WAIT + END).await.expect("it waits no longer");
    assert_eq!(ended.code(), Some(1));
    first.assert_lives("after the second one");
    assert!(ground.is_ready().await);
}

/// Guards against a start that can't be stopped while it waits for an address.
#[tokio::test]
async fn a_start_that_waits_for_an_address_can_be_stopped() {
    let ground = Ground::new().await;
    ground.write(&ground.settings());
    let _held = hold(ground.front(), true);
    let mut running = ground.start();
    wait_for("it waits", async || running.log().contains("waiting for an address")).await;
    running.signal(libc::SIGTERM);
    let ended = running.wait(AT_ONCE).await;
    assert!(ended.is_some_and(|status| status.success()), "{ended:?}");
}

/// Guards against a request that is cut since a start is stopped whose front listens already.
#[tokio::test]
async fn a_request_taken_before_the_start_was_over_is_answered_at_its_stop() {
    let ground = Ground::new().await;
    ground.write(&ground.settings());
    let _held = hold(ground.peer(), true);
    let mut running = ground.start();
    wait_for("its front listens", async || TcpStream::connect(ground.front()).is_ok()).await;
    let mut caller = TcpStream::connect(ground.front()).unwrap();
    caller.set_read_timeout(Some(AT_ONCE + END)).unwrap();
    caller.write_all(format!("GET /look/a HTTP/1.1\r\nHost: {HOST}\r\n\r\n").as_bytes()).unwrap();
    tokio::time::sleep(Duration::from_millis(200)).await;
    running.signal(libc::SIGTERM);
    let head = tokio::task::spawn_blocking(move || {
        let mut head = [0; 12];
        caller.read_exact(&mut head).map(|()| String::from_utf8_lossy(&head).into_owned())
    });
    let head = head.await.unwrap();
    assert!(head.as_ref().is_ok_and(|head| head == "HTTP/1.1 503"), "{head:?}");
    assert!(running.wait(AT_ONCE + END).await.is_some_and(|status| status.success()));
}

/// Guards against a router that ends because the process before still holds its address.
#[tokio::test]
async fn a_routers_address_in_use_is_waited_for() {
    let ground = RouterGround::new();
    let held = hold(ground.addr, true);
    let mut running = ground.start();
    tokio::time::sleep(LATE).await;
    running.assert_lives("while its address is in use");
    assert!(running.log().contains("waiting for an address"), "{}", running.log());
    drop(held);
    ground.wait_until_serving().await;
}

/// Guards against processes that don't come up when a whole machine starts anew.
#[tokio::test]
async fn many_processes_start_at_once() {
    const PROCESSES: usize = 30;
    let mut grounds = Vec::new();
    for _ in 0..PROCESSES {
        let ground = Ground::new().await;
        ground.write(&ground.settings());
        grounds.push(ground);
    }
    let mut running: Vec<_> = grounds.iter().map(Ground::start).collect();
    for (ground, running) in grounds.iter().zip(&mut running) {
        ground.wait_until_ready().await;
        running.assert_lives("although it is ready");
    }
}

/// Guards against a configuration file that is refused, and not waited for, since it is still being written.
#[test]
fn a_configuration_cut_anywhere_is_waited_for_or_whole() {
    for whole in [include_str!("../../examples/gateway.toml"), SERVICES_LAST] {
        assert!(native::document::parse(whole).is_ok());
        for end in (0..whole.len()).filter(|end| whole.is_char_boundary(*end)) {
            if let Err(error) = native::document::parse(&whole[..end]) {
                assert!(
                    error.is_passing(),
                    "cut behind {:?}: {error}",
                    whole[..end].lines().last()
                );
            }
        }
    }
}

/// A configuration whose services stand behind all that names them.
const SERVICES_LAST: &str = r#"
version = 1
[[upstream]]
id = "seats-1"
service = "booking"
address = "10.0.2.7:8000"
domain = "ranong-hall"
[[route]]
name = "book"
host = "plans.example"
path_prefix = "/book/"
repeat = "never"
service = "booking"
[[service]]
name = "booking"
"#;

/// Guards against a wait for a configuration that more lines can't mend.
#[test]
fn a_configuration_that_is_never_right_is_refused_at_once() {
    let whole = include_str!("../../examples/gateway.toml");
    let wrong = whole.replacen("path_prefix = \"/", "path_prefix = \"", 1);
    assert_ne!(wrong, whole);
    let error = native::document::parse(&wrong).unwrap_err();
    assert!(!error.is_passing(), "{error}");
}
