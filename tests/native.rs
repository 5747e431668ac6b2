//! A gateway by its own flags, configuration file and wire, as a process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::{Arc, Mutex};

use siskinrock_fakes::http::{self, Connection, Message};
use siskinrock_fakes::process::wait_for;
use siskinrock_standin::host;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// A plain service that remembers the requests which it ran.
#[derive(Clone)]
struct Upstream {
    addr: SocketAddr,
    seen: Arc<Mutex<Vec<Message>>>,
}

impl Upstream {
    async fn start() -> Upstream {
        let seen: Arc<Mutex<Vec<Message>>> = Arc::default();
        let kept = Arc::clone(&seen);
        let (addr, _) = http::listen("127.0.0.1:0", move |connection| {
            let kept = Arc::clone(&kept);
            async move { serve(connection, kept).await }
        })
        .await;
        Upstream { addr, seen }
    }

    fn seen(&self) -> Vec<Message> {
        self.seen.lock().unwrap().clone()
    }
}

async fn serve(mut connection: Connection, seen: Arc<Mutex<Vec<Message>>>) {
    while let Ok(Some(request)) = connection.read_request().await {
        let id = request.header("siskinrock-request-id").unwrap_or_default().to_owned();
        seen.lock().unwrap().push(request);
        let body = format!("answer to {id}");
        let headers = [("Siskinrock-Request-Id", &*id), ("Siskinrock-Load", "1,0,8")];
        if connection.answer(200, &headers, body.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// A gateway's process, its folder and its addresses.
struct Gateway {
    child: Child,
    folder: PathBuf,
    front: SocketAddr,
    directory: SocketAddr,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("siskinrock-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn free() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], host::free_port()))
}

fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_siskinrock"));
    command.args(arguments);
    command
}

impl Gateway {
    async fn start(name: &str, config: &str) -> Gateway {
        let folder = folder(name);
        std::fs::write(folder.join("config.toml"), config).unwrap();
        let (front, peer, directory) = (free(), free(), free());
        let log = std::fs::File::create(folder.join("log")).unwrap();
        let child = command(&["gateway", "--id", "g1", "--domain", "hall"])
            .args(["--config", folder.join("config.toml").to_str().unwrap()])
            .args(["--front", &front.to_string(), "--peer", &peer.to_string()])
            .args(["--directory", &directory.to_string()])
            .stdout(log)
            .stdin(Stdio::null())
            .spawn()
            .unwrap();
        let gateway = Gateway { child, folder, front, directory };
        wait_for("the gateway is ready", async || {
            matches!(gateway.get(gateway.directory, "/v1/ready", "").await, Some((200, _)))
        })
        .await;
        gateway
    }

    fn configure(&self, config: &str) {
        std::fs::write(self.folder.join("config.toml"), config).unwrap();
    }

    fn logged(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Sends a request with further headers; the status and the body of its answer.
    async fn get(&self, addr: SocketAddr, path: &str, headers: &str) -> Option<(u16, String)> {
        let mut stream = TcpStream::connect(addr).await.ok()?;
        let head = format!("GET {path} HTTP/1.1\r\nHost: seats.example\r\n{headers}\r\n");
        stream.write_all(head.as_bytes()).await.ok()?;
        let answer = Connection::new(stream).read_answer().await.ok()?;
        Some((answer.status(), String::from_utf8_lossy(&answer.body).into_owned()))
    }

    async fn call(&self, path: &str, id: &str, key: &str) -> Option<(u16, String)> {
        let headers = format!(
            "Siskinrock-Request-Id: {id}\r\nAuthorization: Bearer {key}\r\n\
             Siskinrock-Deadline-Ms: 2000\r\nSiskinrock-Organisation: another\r\n"
        );
        self.get(self.front, path, &headers).await
    }
}

fn config(version: u64, upstreams: &[(&str, SocketAddr, bool)], more: &str) -> String {
    let mut text = format!(
        r#"version = {version}
[[service]]
name = "booking"
max_channels = 100
[[route]]
name = "look"
host = "seats.example"
path_prefix = "/look/"
service = "booking"
repeat = "idempotent"
max_attempts = 2
timeout_ms = 1000
[[organisation]]
name = "harbour"
keys = ["harbour-key"]
"#
    );
    for (id, addr, leaving) in upstreams {
        text += &format!(
            "[[upstream]]\nid = \"{id}\"\nservice = \"booking\"\naddress = \"{addr}\"\n\
             domain = \"hall\"\nleaving = {leaving}\n"
        );
    }
    text + more
}

#[tokio::test]
async fn a_call_passes_with_its_organisation_and_time() {
    let upstream = Upstream::start().await;
    let gateway = Gateway::start("passes", &config(1, &[("u1", upstream.addr, false)], "")).await;
    let answer = gateway.call("/look/a?b=c", "r1", "harbour-key").await;
    assert_eq!(answer, Some((200, "answer to r1".to_owned())));
    let seen = &upstream.seen()[0];
    assert_eq!(seen.start.1, "/look/a?b=c");
    assert_eq!(seen.header("siskinrock-organisation"), Some("harbour"));
    assert_eq!(seen.header("siskinrock-upstream"), Some("u1"));
    assert_eq!(seen.header("authorization"), None, "the key goes no further");
    let left: u64 = seen.header("siskinrock-deadline-ms").unwrap().parse().unwrap();
    assert!(left <= 1_000, "the route's bound is shorter than the caller's patience");
    let refused = gateway.call("/look/a", "r2", "another-key").await.unwrap();
    assert_eq!(refused.0, 401);
    let addresses = gateway.get(gateway.directory, "/v1/addresses?domain=hall", "").await.unwrap();
    assert!(addresses.1.contains(&gateway.front.to_string()), "{addresses:?}");
}

#[tokio::test]
async fn a_saved_change_is_in_force_and_a_broken_one_is_refused() {
    let (old, new) = (Upstream::start().await, Upstream::start().await);
    let gateway = Gateway::start("changes", &config(1, &[("u1", old.addr, false)], "")).await;
    gateway.call("/look/a", "r1", "harbour-key").await.unwrap();
    gateway.configure(&config(2, &[("u1", old.addr, true), ("u2", new.addr, false)], ""));
    wait_for("the new upstream serves", async || {
        gateway.call("/look/a", "r2", "harbour-key").await.unwrap();
        !new.seen().is_empty()
    })
    .await;
    let before = old.seen().len();
    for _ in 0..20 {
        gateway.call("/look/a", "r3", "harbour-key").await.unwrap();
    }
    assert_eq!(old.seen().len(), before, "nothing new goes to an upstream that leaves");
    gateway.configure("version = 3\nroutes = 1\n");
    wait_for("the broken file is refused", async || gateway.logged().contains("record refused"))
        .await;
    gateway.configure(&config(2, &[], ""));
    wait_for("a version that does not grow is refused", async || {
        gateway.logged().contains("raise it")
    })
    .await;
    let answer = gateway.call("/look/a", "r4", "harbour-key").await;
    assert_eq!(answer, Some((200, "answer to r4".to_owned())), "what is in force stays");
}

fn check(config: &str, name: &str) -> Output {
    let folder = folder(name);
    std::fs::write(folder.join("config.toml"), config).unwrap();
    let output = command(&["check", "gateway", "--id", "g1", "--domain", "hall"])
        .args(["--config", folder.join("config.toml").to_str().unwrap()])
        .output()
        .unwrap();
    let _ = std::fs::remove_dir_all(&folder);
    output
}

#[test]
fn a_check_tells_every_fault_with_its_remedy() {
    let good = check(&config(4, &[], ""), "good");
    assert!(good.status.success());
    assert_eq!(String::from_utf8_lossy(&good.stdout), "version 4 is in order\n");
    let broken = r#"
[[route]]
name = "look"
host = "h"
path_prefix = "look"
service = "nowhere"
repeat = "never"
max_attempts = 0
[[organisation]]
name = "a"
keys = ["k"]
[[organisation]]
name = "b"
keys = ["k"]
"#;
    let faulty = check(&config(4, &[], broken), "faulty");
    assert_eq!(faulty.status.code(), Some(2));
    let told = String::from_utf8_lossy(&faulty.stderr).into_owned();
    let expected = [
        "names the service \"nowhere\"; add it",
        "begin and end it with a slash",
        "use 1 or more",
        "\"look\" stands twice; rename one",
        "give each its own",
    ];
    for remedy in expected {
        assert!(told.contains(remedy), "{remedy} is missing in {told}");
    }
}

#[test]
fn flags_tell_every_fault_with_its_remedy() {
    let output = command(&["gateway", "--front", "nowhere", "--grace-ms", "1", "--colour"])
        .env_clear()
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let told = String::from_utf8_lossy(&output.stderr).into_owned();
    let expected =
        ["--id is missing", "--config is missing", "--front", "out of range", "gateway --help"];
    for remedy in expected {
        assert!(told.contains(remedy), "{remedy} is missing in {told}");
    }
}
