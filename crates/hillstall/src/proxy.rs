//! Builds and connects the parts of the proxy, serves clients until SIGTERM, and shuts down.

use crate::admin::Admin;
use crate::cli::SettingOverrides;
use crate::config::Config;
use crate::coordination;
use crate::handover::Handover;
use crate::operator::{keys, OperatorConfig};
use crate::reload::Reloader;
use hillstall_coordination::{Advisory, CoordinationHandle};
use hillstall_decision::Settings;
use hillstall_http1::client::HttpClient;
use hillstall_http1::discovery::HttpDiscovery;
use hillstall_http1::server::HttpServer;
use hillstall_proxy_core::driver::{Driver, DriverConfig};
use hillstall_proxy_core::lifecycle::Lifecycle;
use hillstall_proxy_core::limits::Limits;
use hillstall_proxy_core::metrics::Metrics;
use hillstall_proxy_core::sockets;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Time between two checks whether the server is ready to take over from an older process.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Why the proxy failed.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// Listening on the address for clients failed.
    #[error("listen: {address}: {source}")]
    Listen {
        /// The address that can't be listened on.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// Listening on the address for admin commands failed.
    #[error("admin_addr: {address}: {source}")]
    AdminListen {
        /// The address that can't be listened on.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// A signal handler can't be installed.
    #[error("{name}: {source}")]
    Signal {
        /// The name of the signal.
        name: &'static str,
        /// The cause.
        source: std::io::Error,
    },
    /// The coordination runtime can't be started.
    #[error("{0}")]
    Coordination(String),
    /// The asynchronous runtime can't be built.
    #[error("{0}")]
    Runtime(std::io::Error),
}

/// The parts of the proxy that its tasks share.
struct Proxy {
    driver: Rc<Driver<HttpClient>>,
    client: Rc<HttpClient>,
    server: Rc<HttpServer>,
    limits: Rc<Limits>,
    lifecycle: Rc<Lifecycle>,
    metrics: Rc<Metrics>,
    coordination: Option<Rc<CoordinationHandle>>,
}

/// Runs a proxy until SIGTERM.
pub async fn run(
    config: Config,
    operator: OperatorConfig,
    overrides: SettingOverrides,
) -> Result<(), RunError> {
    let address = config.listen;
    let handover = Handover::connect(&std::env::temp_dir(), address).await;
    // If an older process serves this address, this one listens there only once it can serve as well.
    let early_listener = if handover.has_older() { None } else { Some(bind_clients(address).await?) };
    let admin_listener = bind_admin(config.admin).await?;
    let hangup = install_signal("SIGHUP", SignalKind::hangup())?;
    let mut terminate = install_signal("SIGTERM", SignalKind::terminate())?;
    let settings = config.settings.clone();
    let (coordination, advisories) = start_coordination(&operator, &settings)?;
    let proxy = Proxy::build(config, &operator, coordination);
    spawn_local(proxy.reloader(overrides, operator).run(hangup));
    if let Some(listener) = admin_listener {
        spawn_local(Rc::new(proxy.admin()).serve(listener));
    }
    if handover.has_older() {
        proxy.server.apply_resource_share(1);
    }
    proxy.connect_coordination(advisories, &settings);
    handover.start(proxy.server.clone());
    spawn_local(proxy.server.clone().maintain_connections());
    let listener = match early_listener {
        Some(listener) => listener,
        None => {
            tokio::select! {
                () = wait_until_ready(&proxy.server) => bind_clients(address).await?,
                // No connection has been accepted yet, so there is nothing to drain.
                _ = terminate.recv() => return Ok(()),
            }
        }
    };
    proxy.lifecycle.serve();
    spawn_local(proxy.server.clone().accept(listener));
    terminate.recv().await;
    proxy.shut_down(&handover).await;
    Ok(())
}

async fn bind_clients(address: SocketAddr) -> Result<TcpListener, RunError> {
    let listener = sockets::open_with_retries(|| async { sockets::listen(address) }).await;
    listener.map_err(|source| RunError::Listen { address, source })
}

async fn bind_admin(address: Option<SocketAddr>) -> Result<Option<TcpListener>, RunError> {
    let Some(address) = address else { return Ok(None) };
    match sockets::open_with_retries(|| TcpListener::bind(address)).await {
        Ok(listener) => Ok(Some(listener)),
        Err(source) => Err(RunError::AdminListen { address, source }),
    }
}

fn install_signal(name: &'static str, kind: SignalKind) -> Result<Signal, RunError> {
    signal(kind).map_err(|source| RunError::Signal { name, source })
}

type Coordination = (Option<Rc<CoordinationHandle>>, Option<UnboundedReceiver<Advisory>>);

/// Starts the coordination runtime, if the operator's settings have the section `[fleet]` and the platform
/// allows messages between instances.
fn start_coordination(operator: &OperatorConfig, settings: &Settings) -> Result<Coordination, RunError> {
    let started = coordination::start(operator.coordination.as_ref(), settings)
        .map_err(|error| RunError::Coordination(error.to_string()))?;
    let (handle, advisories) = started.unzip();
    Ok((handle.map(Rc::new), advisories))
}

/// Waits until the server can serve clients.
async fn wait_until_ready(server: &HttpServer) {
    while !server.is_ready() {
        sleep(READINESS_POLL_INTERVAL).await;
    }
}

impl Proxy {
    /// Builds the driver, the HTTP client and server, and their shared state. Starts discovery, but does not
    /// listen.
    fn build(
        config: Config,
        operator: &OperatorConfig,
        coordination: Option<Rc<CoordinationHandle>>,
    ) -> Proxy {
        let settings = config.settings.clone();
        let limits = Limits::new(config.sockets, config.memory_mb);
        limits.set_tuning(keys::tuning(operator));
        let client = Rc::new(HttpClient::new(
            limits.clone(),
            settings.permissions.connect_timeout_ms,
            settings.permissions.idle_close_ms,
            settings.report.clone(),
        ));
        let (lifecycle, metrics) = (Lifecycle::new(), Metrics::new(&settings.classes));
        let has_known_endpoints = !config.known_endpoints.endpoints.is_empty();
        let driver_config = DriverConfig {
            settings: config.settings,
            seed: config.seed,
            known_endpoints: config.known_endpoints,
            discovery_address: config.discovery,
            max_open_requests: limits.client_connections.limit(),
        };
        let driver = Driver::start(driver_config, client.clone(), Rc::new(HttpDiscovery), metrics.clone());
        let state = (lifecycle.clone(), metrics.clone());
        let server = HttpServer::new(
            driver.clone(),
            client.clone(),
            limits.clone(),
            state,
            &settings,
            has_known_endpoints,
        );
        Proxy { driver, client, server, limits, lifecycle, metrics, coordination }
    }

    fn reloader(&self, overrides: SettingOverrides, operator: OperatorConfig) -> Reloader {
        Reloader {
            overrides,
            operator: RefCell::new(operator),
            driver: self.driver.clone(),
            client: self.client.clone(),
            limits: self.limits.clone(),
            coordination: self.coordination.clone(),
        }
    }

    fn admin(&self) -> Admin {
        Admin {
            lifecycle: self.lifecycle.clone(),
            metrics: self.metrics.clone(),
            driver: self.driver.clone(),
            server: self.server.clone(),
            coordination: self.coordination.clone(),
        }
    }

    /// Starts load reports to the coordination runtime and the handling of its advisories, if coordination is
    /// on.
    fn connect_coordination(&self, advisories: Option<UnboundedReceiver<Advisory>>, settings: &Settings) {
        let Some((coordination, advisories)) = self.coordination.clone().zip(advisories) else { return };
        let handles = coordination::ProxyHandles {
            driver: self.driver.clone(),
            metrics: self.metrics.clone(),
            lifecycle: self.lifecycle.clone(),
            tier: settings.tier,
        };
        handles.spawn(coordination, advisories, settings);
    }

    /// Drains the server, and at the same time releases this instance's leases so that others can acquire
    /// them.
    async fn shut_down(&self, handover: &Handover) {
        let release_leases = async {
            if let Some(coordination) = &self.coordination {
                coordination.release_leases().await;
            }
        };
        tokio::join!(self.server.shut_down(handover.has_newer()), release_leases);
        handover.remove_socket();
    }
}
