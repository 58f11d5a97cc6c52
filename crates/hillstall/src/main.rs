//! `hillstall`, the real proxy: the decision module on sockets. Here its parts are put together.

mod admin;
mod cli;
mod commands;
mod config;
mod coordination;
mod demo;
mod fault_injection;
mod handover;
mod logs;
mod operator;
mod platform;
mod simulation;

use admin::Admin;
use clap::Parser;
use cli::{exit, Command, Set, What};
use config::Config;
use handover::Handover;
use hillstall_http1::client::HttpClient;
use hillstall_http1::discovery::HttpDiscovery;
use hillstall_http1::front::Server;
use hillstall_proxy_core::driver::{Driver, DriverConfig};
use hillstall_proxy_core::lifecycle::Lifecycle;
use hillstall_proxy_core::limits::Limits;
use hillstall_proxy_core::metrics::Metrics;
use hillstall_proxy_core::sockets;
use logs::Logs;
use operator::{keys, Operator};
use std::cell::RefCell;
use std::io::Write;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

fn environment(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

async fn run(config: Config, operator: Operator, set: Set) -> Result<(), String> {
    let address = config.listen;
    let listen = || sockets::listen(address).map_err(|e| format!("listen: {address}: {e}"));
    let handover = Handover::meet(&std::env::temp_dir(), address).await;
    // With an older process at the address, this one listens there only once it can serve.
    let early = if handover.has_older() { None } else { Some(listen()?) };
    let admin = match config.admin {
        Some(address) => {
            Some(TcpListener::bind(address).await.map_err(|e| format!("admin_addr: {address}: {e}"))?)
        }
        None => None,
    };
    let mut reload = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let settings = config.settings.clone();
    let (fleet, hints) = coordination::start(operator.fleet.as_ref(), &settings)?.unzip();
    let fleet = fleet.map(Rc::new);
    let allowed = &settings.permissions;
    let limits = Limits::new(config.sockets, config.memory_mb);
    limits.tune(keys::tuning(&operator));
    let (connect_ms, idle_ms) = (allowed.connect_timeout_ms, allowed.idle_close_ms);
    let upstream = Rc::new(HttpClient::new(limits.clone(), connect_ms, idle_ms, settings.report.clone()));
    let (lifecycle, metrics) = (Lifecycle::new(), Metrics::new(&settings.classes));
    let knows_some = !config.known.endpoints.is_empty();
    let start = DriverConfig {
        settings: config.settings,
        seed: config.seed,
        known_endpoints: config.known,
        discovery: config.discovery,
        max_open_requests: limits.client_connections.limit(),
    };
    let driver = Driver::start(start, upstream.clone(), Rc::new(HttpDiscovery), metrics.clone());
    let reloads = Reloads {
        set,
        operator: RefCell::new(operator),
        driver: driver.clone(),
        upstream: upstream.clone(),
        limits: limits.clone(),
        fleet: fleet.clone(),
    };
    spawn_local(async move {
        while reload.recv().await.is_some() {
            reloads.reload();
        }
    });
    let state = (lifecycle.clone(), metrics.clone());
    let server = Server::new(driver.clone(), upstream, limits, state, &settings, knows_some);
    if let Some(listener) = admin {
        let (lifecycle, metrics, driver) = (lifecycle.clone(), metrics.clone(), driver.clone());
        let admin = Admin { lifecycle, metrics, driver, server: server.clone(), fleet: fleet.clone() };
        spawn_local(Rc::new(admin).serve(listener));
    }
    if handover.has_older() {
        server.share_with(1);
    }
    if let Some((fleet, hints)) = fleet.clone().zip(hints) {
        let calls = coordination::Calls {
            driver: driver.clone(),
            metrics: metrics.clone(),
            lifecycle: lifecycle.clone(),
            tier: settings.stage,
        };
        calls.join(fleet, hints, &settings);
    }
    handover.start(server.clone());
    spawn_local(server.clone().tidy());
    let listener = match early {
        Some(listener) => listener,
        None => {
            let ready = async {
                while !server.is_ready() {
                    sleep(Duration::from_millis(5)).await;
                }
            };
            tokio::select! {
                () = ready => listen()?,
                // Nothing was taken yet.
                _ = term.recv() => return Ok(()),
            }
        }
    };
    lifecycle.serve();
    spawn_local(server.clone().accept(listener));
    term.recv().await;
    // Others have its duties while it still ends what it has taken.
    let leave = async {
        if let Some(fleet) = &fleet {
            fleet.release_leases().await;
        }
    };
    tokio::join!(server.stop(handover.has_newer()), leave);
    handover.leave();
    Ok(())
}

/// Says a word to whoever started the program. Guards against the panic of `eprintln!` where nobody reads it.
fn say(word: impl std::fmt::Display) {
    let _ = writeln!(std::io::stderr(), "hillstall: {word}");
}

/// What SIGHUP changes.
struct Reloads {
    set: Set,
    operator: RefCell<Operator>,
    driver: Rc<Driver<HttpClient>>,
    upstream: Rc<HttpClient>,
    limits: Rc<Limits>,
    fleet: Option<Rc<hillstall_coordination::CoordinationHandle>>,
}

impl Reloads {
    /// Reads both files again. Each is taken whole, or not at all: one wrong key leaves the old settings.
    fn reload(&self) {
        if let Some(fleet) = &self.fleet {
            fleet.on_signal("SIGHUP");
        }
        match config::reload(environment) {
            Ok(discovery) => self.driver.set_discovery(discovery),
            Err(why) => tracing::error!("not reloaded: {why}"),
        }
        let new = match commands::operator(&self.set) {
            Ok(new) => new,
            Err(wrong) => {
                wrong.iter().for_each(|wrong| tracing::error!("not reloaded: {wrong}"));
                return;
            }
        };
        for key in self.operator.borrow().fixed_changes(&new) {
            tracing::warn!("{key} has changed and needs a restart");
        }
        self.limits.tune(keys::tuning(&new));
        self.upstream.tune();
        self.operator.replace(new);
    }
}

/// Runs a proxy until it is told to end.
fn serve(set: Set, load: impl FnOnce() -> Result<Config, String>) -> u8 {
    let operator = match commands::operator(&set) {
        Ok(operator) => operator,
        Err(wrong) => return commands::tell(&wrong),
    };
    let config = match load() {
        Ok(config) => config,
        Err(why) => {
            say(why);
            return exit::CONFIGURATION;
        }
    };
    let logs = Logs::start(operator.word("log.format"), operator.word("log.level"));
    let ran =
        Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string()).and_then(|runtime| {
            let tasks = LocalSet::new();
            tasks.spawn_local(logs::tell_of_dropped(logs.dropped()));
            tasks.block_on(&runtime, run(config, operator, set))
        });
    // Nothing is said of lines that were dropped: whoever did not read them would hold up the end.
    drop(logs);
    match ran {
        Ok(()) => exit::OK,
        Err(why) => {
            say(why);
            exit::FAILED
        }
    }
}

fn main() -> ExitCode {
    let Command { what, set } = Command::parse();
    ExitCode::from(match what {
        None | Some(What::Run) => serve(set, || config::load(environment)),
        Some(What::Demo { listen, servers }) => serve(set, || {
            let config = demo::start(listen, servers)?;
            say(demo::hint(listen));
            Ok(config)
        }),
        Some(What::Check { files }) => commands::check(&files),
        Some(What::Config { what: cli::Config::Show { json } }) => commands::show(&set, json),
        Some(What::Lab { what }) => commands::done(simulation::run(what)),
        Some(What::Completions { shell }) => commands::completions(shell),
    })
}
