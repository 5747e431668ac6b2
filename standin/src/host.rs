//! A stand-in's thread, runtime and listener.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use salvo::prelude::*;

use crate::fault::{Faults, Gate, Order};

/// A running stand-in.
pub struct Host {
    /// Where it listens.
    pub addr: SocketAddr,
    /// The faults it shows.
    pub faults: Arc<Faults>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Host {
    /// Listens on `addr` and serves the router that `build` makes inside the runtime.
    ///
    /// # Panics
    ///
    /// If the address can't be bound: a stand-in has no other way to tell its test.
    pub fn start(addr: &str, build: impl FnOnce(Arc<Faults>) -> Router + Send + 'static) -> Host {
        let faults = Arc::new(Faults::default());
        let listener = bind(addr);
        let local = listener.local_addr().expect("a bound listener has an address");
        let in_thread = Arc::clone(&faults);
        let thread = thread::Builder::new()
            .name("standin".to_owned())
            .spawn(move || serve(listener, &in_thread, build))
            .expect("a thread can be started");
        Host { addr: local, faults, thread: Some(thread) }
    }

    /// Shows a fault.
    pub fn fault(&self, order: &Order) {
        self.faults.apply(order);
    }

    /// Closes every socket at once and waits until that has happened.
    pub fn kill(mut self) {
        self.end();
    }

    fn end(&mut self) {
        self.faults.death.notify_one();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.end();
    }
}

fn bind(addr: &str) -> std::net::TcpListener {
    let listener = std::net::TcpListener::bind(addr);
    let listener = listener.unwrap_or_else(|error| panic!("{addr} can't be bound: {error}"));
    listener.set_nonblocking(true).expect("a listener can be made non-blocking");
    listener
}

fn serve(
    listener: std::net::TcpListener,
    faults: &Arc<Faults>,
    build: impl FnOnce(Arc<Faults>) -> Router,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime can be built");
    runtime.block_on(async {
        let listener = tokio::net::TcpListener::from_std(listener).expect("a listener is adopted");
        let acceptor = salvo::conn::tcp::TcpAcceptor::try_from(listener).expect("an acceptor");
        let router = Router::new().hoop(Gate(Arc::clone(faults))).push(build(Arc::clone(faults)));
        let router = router.push(Router::with_path("fault").post(answer_empty));
        tokio::select! {
            () = Server::new(acceptor).serve(router) => {}
            () = faults.death.notified() => {}
        }
    });
    // Dropping the runtime closes every connection, as the death of a process would.
    runtime.shutdown_background();
}

#[handler]
async fn answer_empty() {}
