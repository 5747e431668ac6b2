//! The one binary: an instance, its settings' check, and the operators' command line.

use std::convert::Infallible;
use std::ffi::OsString;
use std::io::Write;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use std::time::Duration;

use siskinrock::error::Error;
use siskinrock::gateway::native;
use siskinrock::gateway::native::settings::Native;
use siskinrock::settings::{self, Settings};
use siskinrock::signals::{Order, Signals};
use siskinrock::{ctl, log, platform, router};
use tokio::runtime::Runtime;
use tokio::sync::watch;

/// A request was refused, or something can't be reached.
const EXIT_FAILED: u8 = 1;
/// The call or the settings can't be read.
const EXIT_USAGE: u8 = 2;
/// It isn't known whether a command was applied.
const EXIT_UNKNOWN: u8 = 4;

/// How long requests in progress may take where a part of a router has panicked: as long as the last
/// connections of a planned stop.
const LAST_ANSWERS: Duration = Duration::from_secs(5);

const HELP: &str = "\
siskinrock: a serving system for long generations on engines that fail

USAGE: siskinrock COMMAND [FLAGS]

  router      serve callers, operators and peers
  gateway     forward by routes, as a configuration file or the platform says
  check       check the settings of a router without serving; check gateway: those of a gateway
  ctl         ask and command a running system
  duties      show which instance reports usage and orders workers
  quarantine  list the requests that crash upstreams, and lift their quarantine
  queue       list the requests that wait for room, close or open a class, empty a queue
  help        this page; also --help after each command
";

fn main() -> ExitCode {
    let mut arguments: Vec<OsString> = std::env::args_os().skip(1).collect();
    let command = if arguments.is_empty() { OsString::new() } else { arguments.remove(0) };
    let wants_help = arguments.iter().any(|argument| argument == "--help" || argument == "-h");
    match command.to_str() {
        Some("router" | "check") if wants_help => print(settings::HELP),
        Some("ctl") if wants_help || arguments.is_empty() => print(ctl::HELP),
        Some("gateway") if wants_help => print(native::settings::HELP),
        Some("quarantine") if wants_help => print(native::quarantine::HELP),
        Some("quarantine") => ask(native::quarantine::run(arguments, &environment)),
        Some("queue") if wants_help => print(&native::queue::help()),
        Some("queue") => ask(native::queue::run(arguments, &environment)),
        Some("duties") if wants_help => print(native::duties::HELP),
        Some("duties") => ask(native::duties::run(arguments, &environment)),
        Some("router") => serve(arguments),
        Some("gateway") => forward(arguments),
        Some("check") if arguments.first().is_some_and(|first| first == "gateway") => {
            check_gateway(arguments.split_off(1))
        }
        Some("check") => check(arguments),
        Some("ctl") => operate(arguments),
        Some("help" | "--help" | "-h") => print(HELP),
        Some("--version") => print(concat!("siskinrock ", env!("CARGO_PKG_VERSION"), "\n")),
        _ => {
            log::say(HELP.trim_end());
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn print(text: &str) -> ExitCode {
    match std::io::stdout().write_all(text.as_bytes()) {
        Ok(()) => ExitCode::SUCCESS,
        // Whoever read it has left, as `head` does.
        Err(_) => ExitCode::from(EXIT_FAILED),
    }
}

fn environment(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn check(arguments: Vec<OsString>) -> ExitCode {
    match Settings::read(arguments, &environment) {
        Ok(settings) => print(&format!("the settings of {} are in order\n", settings.id)),
        Err(error) => fail(&error, EXIT_USAGE),
    }
}

fn serve(arguments: Vec<OsString>) -> ExitCode {
    let (runtime, mut signals) = match begin() {
        Ok(begun) => begun,
        Err(error) => return fail(&error, EXIT_FAILED),
    };
    let settings = match Settings::read(arguments, &environment) {
        Ok(settings) => settings,
        Err(error) => return fail(&error, EXIT_USAGE),
    };
    let logger = log::to_stderr(settings.log);
    log::log_panics(logger.clone(), log::Beside::Nowhere);
    tell_unhandled(&signals, &logger);
    let traffic = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .thread_name("traffic")
        .enable_all()
        .build();
    let traffic = match traffic {
        Ok(traffic) => traffic,
        Err(error) => return fail(&Error::from_runtime(&error), EXIT_FAILED),
    };
    let (order, orders) = watch::channel(0);
    let logged = logger.clone();
    let ended = caught("router", || {
        traffic.block_on(async {
            tokio::select! {
                ended = run_router(settings, logged, orders) => ended,
                never = pass_on(&mut signals, &order, &logger) => match never {},
            }
        })
    });
    drop(runtime);
    traffic.shutdown_background();
    end(ended, &logger)
}

/// Passes on each order to stop, and logs what else comes.
async fn pass_on(
    signals: &mut Signals,
    order: &watch::Sender<u32>,
    log: &slog::Logger,
) -> Infallible {
    loop {
        match signals.next(log).await {
            Order::Stop => order.send_modify(|orders| *orders += 1),
            _ => slog::info!(log, "flags can't change while a process runs; going on";
                "signal" => "HUP"),
        }
    }
}

/// A runtime for what goes on before and beside the work, and the signals: both before anything else,
/// since a signal without a handler ends the process, with all it has taken.
fn begin() -> Result<(Runtime, Signals), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Error::from_runtime(&error))?;
    let signals = {
        let _guard = runtime.enter();
        Signals::new()?
    };
    Ok((runtime, signals))
}

/// Says which signals still end this process.
fn tell_unhandled(signals: &Signals, log: &slog::Logger) {
    for (signal, error) in &signals.unhandled {
        slog::warn!(log, "a signal keeps its default action"; "signal" => signal,
            "detail" => %error);
    }
}

/// Runs the whole of a process; a panic of its main thread ends it with an error like any other.
fn caught(name: &str, run: impl FnOnce() -> Result<(), Error>) -> Result<(), Error> {
    catch_unwind(AssertUnwindSafe(run)).unwrap_or_else(|_| Err(Error::from_panic(name)))
}

/// Logs how a process ended, and waits a moment for its last records.
fn end(ended: Result<(), Error>, log: &slog::Logger) -> ExitCode {
    if let Err(error) = &ended {
        slog::crit!(log, "the process ends"; "why" => %error);
    }
    log::flush();
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) if error.code() == "settings" => fail(&error, EXIT_USAGE),
        Err(error) => fail(&error, EXIT_FAILED),
    }
}

/// Checks the settings of a gateway and its configuration file.
fn check_gateway(arguments: Vec<OsString>) -> ExitCode {
    let checked = native::settings::read(arguments, &environment);
    let checked = checked.and_then(|settings| native::document::read(&settings.config));
    match checked {
        Ok(document) => print(&format!("version {} is in order\n", document.config.version)),
        Err(error) => fail(&error, EXIT_USAGE),
    }
}

/// Runs a gateway until it is stopped: with flags by them, else as the platform says.
fn forward(arguments: Vec<OsString>) -> ExitCode {
    let (runtime, mut signals) = match begin() {
        Ok(begun) => begun,
        Err(error) => return fail(&error, EXIT_FAILED),
    };
    let native = match arguments.is_empty() {
        true => None,
        false => match native::settings::read(arguments, &environment) {
            Ok(settings) => Some(settings),
            Err(error) => return fail(&error, EXIT_USAGE),
        },
    };
    let level = native.as_ref().map_or(slog::Level::Info, |native| native.gateway.log);
    let logger = log::to_stdout(level);
    log::log_panics(logger.clone(), log::Beside::StandardError);
    tell_unhandled(&signals, &logger);
    let running = run_gateway(native, &logger, &mut signals);
    let ended = caught("gateway", || runtime.block_on(running));
    end(ended, &logger)
}

/// Starts a gateway and obeys signals until it has ended.
async fn run_gateway(
    native: Option<Native>,
    log: &slog::Logger,
    signals: &mut Signals,
) -> Result<(), Error> {
    let reload = if native.is_some() { native::reload } else { platform::reload };
    let starting = async {
        match native {
            Some(settings) => native::start(settings, log.clone()).await,
            None => platform::start(log.clone()).await,
        }
    };
    let mut gateway = tokio::select! {
        started = starting => started?,
        () = signals.stop(log) => {
            slog::info!(log, "stopped before the start was over");
            return Ok(());
        }
    };
    loop {
        tokio::select! {
            ended = gateway.ended() => return ended,
            order = signals.next(log) => match order {
                Order::Reload => read_again(reload, log),
                _ => gateway.stop(),
            },
        }
    }
}

/// Says whether the next start will take the settings as they are now.
fn read_again(reload: fn() -> Result<(), Error>, log: &slog::Logger) {
    match reload() {
        Ok(()) => slog::info!(log, "settings read again; all of them need a restart"),
        Err(error) => slog::warn!(log, "settings refused; the old ones stay in force";
            "why" => %error),
    }
}

/// Runs a router until an operator's command or an order of `orders` stops it.
async fn run_router(
    settings: Settings,
    logger: slog::Logger,
    mut orders: watch::Receiver<u32>,
) -> Result<(), Error> {
    let router = tokio::select! {
        started = router::Router::start(settings, logger.clone()) => started?,
        _ = orders.changed() => {
            slog::info!(logger, "stopped before the start was over");
            return Ok(());
        }
    };
    let supervisor = router.supervisor().clone();
    tokio::select! {
        _ = orders.changed() => {}
        () = router.wait_for_stop() => {}
        _ = supervisor.failure() => {}
    }
    // Further signals are taken and change nothing: a planned stop cuts no request.
    tokio::spawn(async move {
        while orders.changed().await.is_ok() {
            slog::info!(logger, "already stopping; requests in progress end first");
        }
    });
    supervisor.end(router.stop(), LAST_ANSWERS).await
}

fn operate(arguments: Vec<OsString>) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return fail(&Error::from_runtime(&error), EXIT_FAILED),
    };
    match runtime.block_on(ctl::run(arguments, &environment)) {
        Ok(output) => {
            print(&format!("{}\n", output.text));
            ExitCode::from(output.status)
        }
        Err(error) => match error.code() {
            "settings" | "bad_command" => fail(&error, EXIT_USAGE),
            "store_unknown" => fail(&error, EXIT_UNKNOWN),
            _ => fail(&error, EXIT_FAILED),
        },
    }
}

/// Prints what an operator asks of a running gateway.
fn ask(asked: impl Future<Output = Result<String, Error>>) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return fail(&Error::from_runtime(&error), EXIT_FAILED),
    };
    match runtime.block_on(asked) {
        Ok(text) => print(&format!("{text}\n")),
        Err(error) if error.code() == "settings" => fail(&error, EXIT_USAGE),
        Err(error) => fail(&error, EXIT_FAILED),
    }
}

fn fail(error: &Error, status: u8) -> ExitCode {
    log::say(&format!("siskinrock: {error}"));
    ExitCode::from(status)
}
