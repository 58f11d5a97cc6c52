//! A whole fleet: the first tier's proxies, backends that each call the next tier through a proxy of their
//! own, one discovery service per tier, and the links between all of them.

use crate::coordination_fleet::CoordinationOptions;
use crate::discovery_server::{DiscoveryServer, Entry};
use crate::history::{History, ProcessEvent, ProcessEventRecord};
use crate::invariant_checker::{GroundTruth, TrueBackend};
use crate::platform;
use crate::process_supervisor::{ProcessSignal, ProcessSupervisor, StartProcess, SupervisorEvent};
use crate::reserved_port::ReservedPort;
use crate::server::{BackendParameters, DownstreamTier, IdentifySender, Server};
use crate::tcp_proxy::{ConnectionLinks, Fault, TcpProxy, TransferredBytes};
use hillstall_decision::{BackendState, Settings};
use hillstall_simulation::scenario::ClassRetrySafety;
use hillstall_simulation::sim::setup::{stream_rng, DrawnScenario, Stream};
use hillstall_simulation::sim::RunSummary;
use rand_xoshiro::rand_core::RngCore;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::Result as IoResult;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

/// Longest wait for a process to be ready; far above what a start takes, so that only a hang reaches it.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two readiness checks of a starting process.
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(15);

/// Why a scenario could not be run to its end.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// An operation on sockets, files or processes failed.
    #[error("{operation}: {error}")]
    System {
        /// What failed, or the path of the file.
        operation: String,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// A process did not become ready in time.
    #[error("{name} is not ready after {seconds} s; the end of its log:\n{log}")]
    NotReady {
        /// The name of the process.
        name: String,
        /// The time limit, in seconds.
        seconds: u64,
        /// The last 2000 characters of its log.
        log: String,
    },
}

/// Scripts report their errors as text.
impl From<FleetError> for String {
    fn from(error: FleetError) -> String {
        error.to_string()
    }
}

/// Adds to an I/O error which operation failed, for `map_err`.
pub(crate) fn system_error(operation: impl Into<String>) -> impl FnOnce(std::io::Error) -> FleetError {
    let operation = operation.into();
    move |error| FleetError::System { operation, error }
}

/// The two ends of a link; the side that connects comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LinkEnds {
    /// From clients to a first-tier proxy.
    ClientToProxy {
        /// The number of the proxy.
        process: usize,
    },
    /// From a proxy to a backend.
    ProxyToBackend {
        /// The number of the proxy.
        process: usize,
        /// The number of the backend, counted over all tiers.
        server: usize,
    },
    /// From a proxy to discovery.
    ProxyToDiscovery {
        /// The number of the proxy.
        process: usize,
    },
    /// From a proxy to a voter of the coordination.
    ProxyToVoter {
        /// The number of the proxy.
        process: usize,
        /// The slot of the voter, which is the number of the proxy that runs it.
        slot: usize,
    },
}

impl LinkEnds {
    /// The number of the proxy that connects over the link or, on a link from clients, accepts.
    pub fn process(self) -> usize {
        match self {
            LinkEnds::ClientToProxy { process }
            | LinkEnds::ProxyToBackend { process, .. }
            | LinkEnds::ProxyToDiscovery { process }
            | LinkEnds::ProxyToVoter { process, .. } => process,
        }
    }
}

/// A proxy of the fleet. It outlives its operating-system process, which may be killed and started again.
pub struct Process {
    /// Its number; the proxies of the first tier have the lowest.
    pub number: usize,
    /// Its name, `front-RANK` in the first tier and `beside-sTIER-RANK` beside a backend.
    pub name: String,
    /// The tier of the backends that it sends to.
    pub tier: usize,
    /// Its rank among the proxies that send to the same tier.
    pub rank: usize,
    /// The index of its zone.
    pub zone: usize,
    /// The settings that are written to its platform file.
    pub settings: Settings,
    port: ReservedPort,
    admin_port: ReservedPort,
    /// Used only if the proxy is a voter.
    coordination_port: ReservedPort,
    folder: PathBuf,
    /// Whether its operating-system process runs.
    pub is_running: Cell<bool>,
    /// The process id of its latest process; `None` until that has started.
    pub pid: Cell<Option<u32>>,
}

impl Process {
    /// The address at which it accepts requests.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// The address at which it accepts admin commands.
    pub fn admin(&self) -> SocketAddr {
        self.admin_port.address()
    }

    /// The folder of its files.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// The path of its log, to which all its processes append.
    pub fn log(&self) -> PathBuf {
        self.folder.join("log")
    }
}

/// A running fleet.
pub struct Fleet {
    /// The parameters that were drawn from the scenario.
    pub parameters: DrawnScenario,
    /// The records of the run.
    pub history: Rc<History>,
    /// The accounting of client requests, as in the simulation.
    pub summary: RefCell<RunSummary>,
    /// The proxies by number; those of the first tier come first.
    pub processes: Vec<Process>,
    /// The number of proxies in the first tier.
    pub first_tier_count: usize,
    /// The backends by number, tier after tier.
    pub servers: Vec<Rc<Server>>,
    /// The discovery services, one for each tier.
    pub discovery_servers: Vec<Rc<DiscoveryServer>>,
    /// All links, with their ends.
    pub links: Vec<(LinkEnds, Rc<TcpProxy>)>,
    /// The weight that discovery announces for restarted backends: 1, unless a test falsifies it.
    pub restarted_weight: Cell<f64>,
    /// How the instances coordinate; `None` if they do not.
    pub coordination: Option<CoordinationOptions>,
    environment: Vec<(String, String)>,
    link_by_ends: HashMap<LinkEnds, usize>,
    incarnations: Rc<RefCell<Vec<u32>>>,
    supervisor: RefCell<ProcessSupervisor>,
    program: PathBuf,
    seeds: RefCell<Xoshiro256PlusPlus>,
}

/// Falsifies the settings that the proxies get. Tests use it to switch a mechanism off, and to provoke
/// violations that the invariant checker must find.
pub type SettingsFault = Rc<dyn Fn(&mut Settings)>;

/// What [`Fleet::start`] needs to build a fleet.
pub struct FleetPlan<'a> {
    /// The hillstall program. `run` starts a proxy, `lab keeper` the process supervisor.
    pub program: &'a Path,
    /// The parameters that were drawn from the scenario.
    pub parameters: DrawnScenario,
    /// The seed of the run.
    pub seed: u64,
    /// Falsifies the settings that the proxies get.
    pub settings_fault: Option<SettingsFault>,
    /// How the instances coordinate; `None` if they do not.
    pub coordination: Option<CoordinationOptions>,
    /// Further environment variables of the proxies.
    pub environment: Vec<(String, String)>,
    /// The folder for configurations, logs and stored replicas.
    pub folder: &'a Path,
}

struct ProcessPlan {
    name: String,
    tier: usize,
    rank: usize,
    instances: usize,
    zone: usize,
    port: ReservedPort,
    admin_port: ReservedPort,
    coordination_port: ReservedPort,
}

fn plan_processes(parameters: &DrawnScenario) -> IoResult<Vec<ProcessPlan>> {
    let mut all = Vec::new();
    for (rank, zone) in parameters.proxy_zones.iter().enumerate() {
        let (instances, port) = (parameters.proxy_zones.len(), ReservedPort::take()?);
        let (name, admin_port, coordination_port) =
            (format!("front-{rank}"), ReservedPort::take()?, ReservedPort::take()?);
        all.push(ProcessPlan {
            name,
            tier: 0,
            rank,
            instances,
            zone: *zone,
            port,
            admin_port,
            coordination_port,
        });
    }
    for (upper_tier, tier) in parameters.tiers.iter().take(parameters.tiers.len() - 1).enumerate() {
        for (rank, drawn) in tier.machines.iter().enumerate() {
            let (instances, port) = (tier.machines.len(), ReservedPort::take()?);
            let name = format!("beside-s{upper_tier}-{rank}");
            let (admin_port, coordination_port) = (ReservedPort::take()?, ReservedPort::take()?);
            let (tier, zone) = (upper_tier + 1, drawn.zone);
            all.push(ProcessPlan { name, tier, rank, instances, zone, port, admin_port, coordination_port });
        }
    }
    Ok(all)
}

impl Fleet {
    /// Starts all parts of a fleet, and waits until all proxies are ready; the backends listen only then.
    #[allow(clippy::too_many_lines, reason = "starts the parts in order of dependency")]
    pub async fn start(plan: FleetPlan<'_>) -> Result<Rc<Fleet>, FleetError> {
        let FleetPlan { program, parameters, seed, settings_fault, coordination, environment, folder } = plan;
        let history = Rc::new(History::default());
        let connection_links = ConnectionLinks::default();
        let link_processes: Rc<RefCell<Vec<usize>>> = Rc::default();
        let plans = plan_processes(&parameters).map_err(system_error("cannot reserve the ports"))?;
        let incarnations = Rc::new(RefCell::new(vec![0u32; plans.len()]));
        let identify_sender: IdentifySender = {
            let (link_processes, incarnations) = (link_processes.clone(), incarnations.clone());
            Rc::new(move |link| {
                let process = link_processes.borrow()[link];
                (process, incarnations.borrow()[process])
            })
        };
        let servers = start_backends(&parameters, &plans, &history, (&connection_links, &identify_sender))
            .map_err(system_error("cannot create the backends"))?;
        // The links, and the address by which each proxy reaches each backend.
        let backend_addresses: Rc<RefCell<HashMap<(usize, usize), SocketAddr>>> = Rc::default();
        let mut links: Vec<(LinkEnds, Rc<TcpProxy>)> = Vec::new();
        let mut link = |ends: LinkEnds, to: SocketAddr| {
            link_processes.borrow_mut().push(ends.process());
            let link = TcpProxy::start(links.len(), to, connection_links.clone())
                .map_err(system_error("cannot start a link"))?;
            links.push((ends, link.clone()));
            Ok::<_, FleetError>(link)
        };
        for (process, plan) in plans.iter().enumerate() {
            for server in parameters.machines_of_tier(plan.tier) {
                let backend = &servers[server];
                let link = link(LinkEnds::ProxyToBackend { process, server }, backend.address())?;
                backend_addresses.borrow_mut().insert((process, server), link.address());
                backend.add_link(link);
            }
        }
        let (mut discovery_servers, mut discovery_addresses) = (Vec::new(), Vec::new());
        for (tier, drawn_tier) in parameters.tiers.iter().enumerate() {
            let entries = (0..drawn_tier.machines.len()).map(|n| Entry {
                server: parameters.machines_of_tier(tier).start + n,
                name: format!("s{tier}-{n}"),
                zone: drawn_tier.machines[n].zone,
                status: BackendState::Ready,
                weight: 1.0,
                since_ms: 0.0,
            });
            let backend_addresses = backend_addresses.clone();
            let backend_address =
                Rc::new(move |process, server| backend_addresses.borrow()[&(process, server)]);
            let discovery_server = DiscoveryServer::new(
                history.clone(),
                (connection_links.clone(), identify_sender.clone()),
                backend_address,
                entries.collect(),
            );
            let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0))
                .await
                .map_err(system_error("discovery service cannot listen"))?;
            discovery_addresses
                .push(listener.local_addr().map_err(system_error("discovery service cannot listen"))?);
            spawn_local(discovery_server.clone().serve(listener));
            discovery_servers.push(discovery_server);
        }
        let mut discovery_link_addresses = Vec::new();
        for (process, plan) in plans.iter().enumerate() {
            discovery_link_addresses.push(
                link(LinkEnds::ProxyToDiscovery { process }, discovery_addresses[plan.tier])?.address(),
            );
        }
        for slot in 0..coordination.as_ref().map_or(0, |coordination| coordination.voters) {
            let voter = plans[slot].coordination_port.address();
            for process in 0..plans.len() {
                link(LinkEnds::ProxyToVoter { process, slot }, voter)?;
            }
        }
        for (process, plan) in plans.iter().enumerate().take(parameters.proxy_zones.len()) {
            link(LinkEnds::ClientToProxy { process }, plan.port.address())?;
        }
        let processes: Vec<Process> = (plans.into_iter().enumerate())
            .map(|(number, plan)| {
                let mut settings = parameters.settings(plan.tier, plan.rank, plan.instances, plan.zone);
                // As on the platform, discovery answers requests and pushes nothing to a proxy that has not
                // asked.
                settings.must_subscribe = true;
                settings.permissions.peer_messages = coordination.is_some();
                if let Some(settings_fault) = &settings_fault {
                    settings_fault(&mut settings);
                }
                let folder = folder.join(&plan.name);
                Process {
                    number,
                    name: plan.name,
                    tier: plan.tier,
                    rank: plan.rank,
                    zone: plan.zone,
                    settings,
                    port: plan.port,
                    admin_port: plan.admin_port,
                    coordination_port: plan.coordination_port,
                    folder,
                    is_running: Cell::new(false),
                    pid: Cell::new(None),
                }
            })
            .collect();
        let (event_sender, events) = mpsc::unbounded_channel();
        // `keeper` is the name of the hidden command of the program.
        let supervisor = ProcessSupervisor::start(program, &["lab", "keeper"], move |event| {
            // Fails only once the run is over and the fleet is dropped.
            let _ = event_sender.send(event);
        });
        let summary = RunSummary::new("drill", seed, parameters.length, parameters.tenant_quotas());
        let fleet = Rc::new(Fleet {
            first_tier_count: parameters.proxy_zones.len(),
            summary: RefCell::new(summary),
            history,
            processes,
            servers,
            discovery_servers,
            restarted_weight: Cell::new(1.0),
            coordination,
            environment,
            link_by_ends: links.iter().enumerate().map(|(index, (ends, _))| (*ends, index)).collect(),
            links,
            incarnations,
            supervisor: RefCell::new(supervisor.map_err(system_error("process supervisor"))?),
            program: program.to_path_buf(),
            seeds: RefCell::new(stream_rng(seed, Stream::Policies)),
            parameters,
        });
        spawn_local(forward_supervisor_events(Rc::downgrade(&fleet), events));
        for (process, discovery) in fleet.processes.iter().zip(discovery_link_addresses) {
            std::fs::create_dir_all(process.folder.join("tmp"))
                .map_err(system_error("cannot create a folder of a proxy"))?;
            std::fs::create_dir_all(process.folder.join("disk"))
                .map_err(system_error("cannot create a folder of a proxy"))?;
            fleet.launch(process.number, discovery)?;
        }
        for process in 0..fleet.processes.len() {
            fleet.wait_until_ready(process).await?;
        }
        for server in &fleet.servers {
            server.listen().map_err(system_error("a backend cannot listen"))?;
        }
        Ok(fleet)
    }

    /// Returns the link between two ends.
    ///
    /// # Panics
    /// If the fleet has no such link.
    pub fn link(&self, ends: LinkEnds) -> &Rc<TcpProxy> {
        // All links are made when the fleet starts.
        &self.links[self.link_by_ends[&ends]].1
    }

    /// Returns the sum of the traffic over the selected links.
    pub fn transferred(&self, is_selected: impl Fn(LinkEnds) -> bool) -> TransferredBytes {
        let each =
            self.links.iter().filter(|(ends, _)| is_selected(*ends)).map(|(_, link)| link.transferred());
        each.fold(TransferredBytes::default(), |a, b| TransferredBytes {
            connections: a.connections + b.connections,
            to_target: a.to_target + b.to_target,
            to_client: a.to_client + b.to_client,
        })
    }

    /// Sets the fault of the selected links.
    pub fn set_fault(&self, fault: Fault, is_selected: impl Fn(LinkEnds) -> bool) {
        let selected = self.links.iter().filter(|(ends, _)| is_selected(*ends));
        selected.for_each(|(_, link)| link.set_fault(fault));
    }

    /// Returns the true parameters of the fleet, for the invariant checker.
    pub fn truth(&self) -> GroundTruth {
        let delays = self.parameters.failures.iter().map(|f| f.link_fault.delay);
        GroundTruth {
            settings: self.parameters.settings(0, 0, self.first_tier_count, 0),
            servers: (self.parameters.tiers.iter().enumerate())
                .flat_map(|(tier, drawn)| (0..drawn.machines.len()).map(move |n| (tier, n)))
                .map(|(tier, n)| TrueBackend {
                    name: format!("s{tier}-{n}"),
                    tier,
                    slow_start: self.parameters.slow_start_model(tier, n),
                })
                .collect(),
            processes: self.processes.iter().map(|p| p.name.clone()).collect(),
            max_link_delay_ms: delays.fold(0.0, f64::max),
        }
    }

    fn record_event(&self, process: usize, event: ProcessEvent) {
        let at = self.history.now();
        self.history.record(|observations| {
            observations.process_events.push(ProcessEventRecord { process, at, event })
        });
    }

    #[allow(clippy::too_many_lines, reason = "writes a process's files and starts it")]
    fn launch(&self, number: usize, discovery: SocketAddr) -> Result<(), FleetError> {
        let process = &self.processes[number];
        let config_path = process.folder.join("config.json");
        let config = platform::ProxyConfig {
            name: &process.name,
            listen: process.address(),
            discovery,
            seed: self.seeds.borrow_mut().next_u64(),
            endpoint_list: self.discovery_servers[process.tier].snapshot(number),
            settings: &process.settings,
        };
        let text = platform::file(&config).to_string();
        std::fs::write(&config_path, text).map_err(system_error(config_path.display().to_string()))?;
        let text = |path: &Path| path.display().to_string();
        let mut operator_arguments = Vec::new();
        if let Some(coordination) = &self.coordination {
            let path = process.folder.join("operator.toml");
            let voters =
                (0..coordination.voters).map(|slot| LinkEnds::ProxyToVoter { process: number, slot });
            let voters: Vec<SocketAddr> = voters.map(|ends| self.link(ends).address()).collect();
            let listen = coordination.is_voter(number).then(|| process.coordination_port.address());
            let file = coordination.operator_file(number, &voters, listen, &process.folder.join("disk"));
            std::fs::write(&path, file).map_err(system_error(path.display().to_string()))?;
            operator_arguments = vec!["--operator".into(), text(&path)];
        }
        let start = StartProcess {
            number,
            program: self.program.clone(),
            arguments: ["run", "--set", "log.calls=true", "--set", "log.format=json"]
                .map(String::from)
                .into_iter()
                .chain(operator_arguments)
                .collect(),
            environment: [
                ("NODE_NAME".into(), process.name.clone()),
                ("NODE_LISTEN".into(), process.address().to_string()),
                ("NODE_DISCOVERY".into(), discovery.to_string()),
                ("NODE_ADMIN_ADDR".into(), process.admin().to_string()),
                ("NODE_CONFIG".into(), text(&config_path)),
                ("TMPDIR".into(), text(&process.folder.join("tmp"))),
            ]
            .into_iter()
            .chain(self.environment.iter().cloned())
            .collect(),
            log: process.log(),
        };
        self.incarnations.borrow_mut()[number] += 1;
        self.record_event(number, ProcessEvent::Started);
        process.is_running.set(true);
        self.supervisor.borrow_mut().run(start).map_err(system_error("process supervisor"))
    }

    /// Starts a proxy again, without any learned state, and waits until it is ready.
    pub async fn start_process(&self, number: usize) -> Result<(), FleetError> {
        let end = Instant::now() + READY_TIMEOUT;
        // The supervisor must have reaped the previous process before the next one starts.
        while self.processes[number].is_running.get() && Instant::now() < end {
            sleep(READINESS_CHECK_INTERVAL).await;
        }
        let discovery = self.link(LinkEnds::ProxyToDiscovery { process: number }).address();
        self.launch(number, discovery)?;
        self.wait_until_ready(number).await
    }

    /// Waits until a proxy is ready, records that, and lets the link from the clients through.
    async fn wait_until_ready(&self, number: usize) -> Result<(), FleetError> {
        let process = &self.processes[number];
        let ready = async {
            while !is_ready(process.address()).await {
                sleep(READINESS_CHECK_INTERVAL).await;
            }
        };
        if timeout(READY_TIMEOUT, ready).await.is_err() {
            let log = std::fs::read_to_string(process.log()).unwrap_or_default();
            let start = log.char_indices().rev().nth(2_000).map_or(0, |(at, _)| at);
            let seconds = READY_TIMEOUT.as_secs();
            return Err(FleetError::NotReady {
                name: process.name.clone(),
                seconds,
                log: log[start..].into(),
            });
        }
        if number < self.first_tier_count {
            self.link(LinkEnds::ClientToProxy { process: number }).set_target_listening(true);
        }
        self.record_event(number, ProcessEvent::Ready);
        Ok(())
    }

    /// Sends a signal to a proxy and records it.
    pub fn signal(&self, number: usize, signal: ProcessSignal) -> Result<(), FleetError> {
        match signal {
            ProcessSignal::Kill => {
                self.record_event(number, ProcessEvent::Killed);
                if number < self.first_tier_count {
                    self.link(LinkEnds::ClientToProxy { process: number }).set_target_listening(false);
                }
            }
            ProcessSignal::Term => self.record_event(number, ProcessEvent::SigtermSent),
            ProcessSignal::Stop => self.record_event(number, ProcessEvent::Stopped),
            ProcessSignal::Continue => self.record_event(number, ProcessEvent::Continued),
            ProcessSignal::Reload => {}
        }
        self.supervisor.borrow_mut().signal(number, signal).map_err(system_error("process supervisor"))
    }

    /// Kills a proxy without recording it, so that the invariant checker sees a crash.
    pub fn kill_unrecorded(&self, number: usize) -> Result<(), FleetError> {
        self.supervisor
            .borrow_mut()
            .signal(number, ProcessSignal::Kill)
            .map_err(system_error("process supervisor"))
    }

    fn on_supervisor_event(&self, event: SupervisorEvent) {
        match event {
            SupervisorEvent::Started { number, pid } => self.processes[number].pid.set(Some(pid)),
            SupervisorEvent::Failed { number, error } => {
                eprintln!("{} cannot be started: {error}", self.processes[number].name);
                self.processes[number].is_running.set(false);
            }
            SupervisorEvent::Ended { number, code, .. } => {
                let process = &self.processes[number];
                process.is_running.set(false);
                if number < self.first_tier_count {
                    self.link(LinkEnds::ClientToProxy { process: number }).set_target_listening(false);
                }
                self.record_event(number, ProcessEvent::Exited(code));
            }
        }
    }
}

async fn forward_supervisor_events(
    fleet: std::rc::Weak<Fleet>,
    mut events: mpsc::UnboundedReceiver<SupervisorEvent>,
) {
    while let Some(event) = events.recv().await {
        match fleet.upgrade() {
            Some(fleet) => fleet.on_supervisor_event(event),
            None => return,
        }
    }
}

/// Whether `GET /up` at an address is answered with 200 within a second.
pub(crate) async fn is_ready(address: SocketAddr) -> bool {
    use tokio::io::AsyncWriteExt;
    let check = async {
        let mut connection = crate::http::HttpConnection::new(tokio::net::TcpStream::connect(address).await?);
        connection.stream.write_all(b"GET /up HTTP/1.1\r\nHost: p\r\nConnection: close\r\n\r\n").await?;
        connection.read_message(false).await
    };
    matches!(timeout(Duration::from_secs(1), check).await, Ok(Ok(Some(response))) if response.status == 200)
}

fn start_backends(
    parameters: &DrawnScenario,
    plans: &[ProcessPlan],
    history: &Rc<History>,
    (connection_links, identify_sender): (&ConnectionLinks, &IdentifySender),
) -> IoResult<Vec<Rc<Server>>> {
    let classes: Vec<(String, bool, bool)> = (parameters.classes.iter())
        .map(|class| {
            (
                class.name.clone(),
                class.retry_safety == ClassRetrySafety::Safe,
                class.retry_safety == ClassRetrySafety::Keyed,
            )
        })
        .collect();
    let tenants: Vec<String> = parameters.tenants.iter().map(|t| t.name.clone()).collect();
    let mut all = Vec::new();
    for (tier, drawn_tier) in parameters.tiers.iter().enumerate() {
        for (n, drawn) in drawn_tier.machines.iter().enumerate() {
            let own_proxy = plans.iter().position(|plan| plan.tier == tier + 1 && plan.rank == n);
            let downstream = own_proxy.map(|process| {
                DownstreamTier::new(process, plans[process].port.address(), classes.clone(), tenants.clone())
            });
            let parameters = BackendParameters {
                number: all.len(),
                zone: drawn.zone,
                kind: hillstall_simulation::model::machine::MachineSpec {
                    speed: drawn.speed,
                    ..drawn_tier.spec
                },
                work_fraction: drawn_tier.work_fraction,
                downstream_requests: drawn_tier.requests_below,
            };
            let senders = (connection_links.clone(), identify_sender.clone());
            all.push(Server::new(parameters, history.clone(), senders, downstream)?);
        }
    }
    Ok(all)
}
