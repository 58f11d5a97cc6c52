//! A whole fleet: first-tier proxies, backends with proxies of their own, discovery, and the links between them.

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
use hillstall_simulation::sim::setup::{chance, DrawnScenario, Stream};
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

/// Longest wait for a process to be ready; far above anything measured.
const UP_WITHIN: Duration = Duration::from_secs(30);
/// Between two readiness checks of a starting process.
const POLL_INTERVAL: Duration = Duration::from_millis(15);

/// Why a scenario can't be run.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A system call failed, on sockets, files or processes.
    #[error("{what}: {why}")]
    System {
        /// What it was for.
        what: String,
        /// The system's error.
        why: std::io::Error,
    },
    /// A process did not become ready.
    #[error("{name} is not up after {seconds} s; its log ends with:\n{log}")]
    NotUp {
        /// Its name.
        name: String,
        /// How long it had.
        seconds: u64,
        /// The end of its log.
        log: String,
    },
}

/// For scripts, whose errors are text.
impl From<FleetError> for String {
    fn from(why: FleetError) -> String {
        why.to_string()
    }
}

/// Adds to a system error what the call was for.
pub(crate) fn system(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> FleetError {
    let what = what.into();
    move |why| FleetError::System { what, why }
}

/// The two ends of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LinkEnds {
    /// From clients to a first-tier proxy.
    ClientToProxy {
        /// The proxy.
        process: usize,
    },
    /// From a proxy to a backend.
    ProxyToBackend {
        /// The proxy.
        process: usize,
        /// The backend.
        server: usize,
    },
    /// From a proxy to discovery.
    ProxyToDiscovery {
        /// The proxy.
        process: usize,
    },
    /// From a proxy to a voter of the fleet.
    ProxyToVoter {
        /// The proxy.
        process: usize,
        /// The voter's slot.
        slot: usize,
    },
}

impl LinkEnds {
    /// The proxy at one of its ends.
    pub fn process(self) -> usize {
        match self {
            LinkEnds::ClientToProxy { process }
            | LinkEnds::ProxyToBackend { process, .. }
            | LinkEnds::ProxyToDiscovery { process }
            | LinkEnds::ProxyToVoter { process, .. } => process,
        }
    }
}

/// A proxy of the fleet.
pub struct Process {
    /// Its number.
    pub number: usize,
    /// Its name.
    pub name: String,
    /// The tier it sends to.
    pub tier: usize,
    /// Its rank among the proxies before that tier.
    pub rank: usize,
    /// Its zone.
    pub zone: usize,
    /// Its settings.
    pub settings: Settings,
    port: ReservedPort,
    /// Reserved for its admin address; the next one for coordination, if it is a voter.
    admin_port: ReservedPort,
    coordination_port: ReservedPort,
    folder: PathBuf,
    /// Whether its process runs.
    pub is_running: Cell<bool>,
    /// The system's number of its process.
    pub pid: Cell<Option<u32>>,
}

impl Process {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Its admin address.
    pub fn admin(&self) -> SocketAddr {
        self.admin_port.address()
    }

    /// Where its files are.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Its log.
    pub fn log(&self) -> PathBuf {
        self.folder.join("log")
    }
}

/// A running fleet.
pub struct Fleet {
    /// Its parameters, drawn from the scenario.
    pub parameters: DrawnScenario,
    /// The record of the run.
    pub history: Rc<History>,
    /// What clients received.
    pub summary: RefCell<RunSummary>,
    /// The proxies; those of the first tier come first.
    pub processes: Vec<Process>,
    /// Number of first-tier proxies.
    pub first_tier_count: usize,
    /// The backends, tier by tier.
    pub servers: Vec<Rc<Server>>,
    /// The discovery service of each tier.
    pub discovery_servers: Vec<Rc<DiscoveryServer>>,
    /// All links, with their ends.
    pub links: Vec<(LinkEnds, Rc<TcpProxy>)>,
    /// The weight that discovery reports for restarted backends; 1 is correct.
    pub restarted_weight: Cell<f64>,
    /// The coordination of its instances, if any.
    pub coordination: Option<CoordinationOptions>,
    link_by_ends: HashMap<LinkEnds, usize>,
    incarnations: Rc<RefCell<Vec<u32>>>,
    supervisor: RefCell<ProcessSupervisor>,
    program: PathBuf,
    seeds: RefCell<Xoshiro256PlusPlus>,
}

/// Falsifies the proxies' settings: to see what a rule is for, or that the checker detects its violation.
pub type SettingsFault = Rc<dyn Fn(&mut Settings)>;

/// How to build a fleet.
pub struct FleetPlan<'a> {
    /// The program: `run` is each proxy, `lab keeper` their supervisor.
    pub program: &'a Path,
    /// Its parameters, drawn from the scenario.
    pub parameters: DrawnScenario,
    /// The seed.
    pub seed: u64,
    /// Falsifies the proxies' settings, if given.
    pub settings_fault: Option<SettingsFault>,
    /// The coordination of its instances, if any.
    pub coordination: Option<CoordinationOptions>,
    /// Where files go.
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
    for (rank, zone) in parameters.proxies.iter().enumerate() {
        let (copies, port) = (parameters.proxies.len(), ReservedPort::take()?);
        let (name, admin_port, coordination_port) =
            (format!("front-{rank}"), ReservedPort::take()?, ReservedPort::take()?);
        all.push(ProcessPlan {
            name,
            tier: 0,
            rank,
            instances: copies,
            zone: *zone,
            port,
            admin_port,
            coordination_port,
        });
    }
    for (above, tier) in parameters.tiers.iter().take(parameters.tiers.len() - 1).enumerate() {
        for (rank, place) in tier.places.iter().enumerate() {
            let (copies, port) = (tier.places.len(), ReservedPort::take()?);
            let name = format!("beside-s{above}-{rank}");
            let (admin_port, coordination_port) = (ReservedPort::take()?, ReservedPort::take()?);
            let (tier, zone) = (above + 1, place.zone);
            all.push(ProcessPlan {
                name,
                tier,
                rank,
                instances: copies,
                zone,
                port,
                admin_port,
                coordination_port,
            });
        }
    }
    Ok(all)
}

impl Fleet {
    /// Starts everything, and waits until all processes are ready.
    #[allow(clippy::too_many_lines, reason = "starts the parts in order of dependency")]
    pub async fn start(plan: FleetPlan<'_>) -> Result<Rc<Fleet>, FleetError> {
        let FleetPlan { program, parameters, seed, settings_fault, coordination, folder } = plan;
        let history = Rc::new(History::default());
        let callers = ConnectionLinks::default();
        let owners: Rc<RefCell<Vec<usize>>> = Rc::default();
        let plans = plan_processes(&parameters).map_err(system("ports"))?;
        let incarnations = Rc::new(RefCell::new(vec![0u32; plans.len()]));
        let identify_sender: IdentifySender = {
            let (owners, incarnations) = (owners.clone(), incarnations.clone());
            Rc::new(move |link| {
                let process = owners.borrow()[link];
                (process, incarnations.borrow()[process])
            })
        };
        let servers = servers(&parameters, &plans, &history, (&callers, &identify_sender))
            .map_err(system("servers"))?;
        // Links, and the address by which each proxy reaches each backend.
        let places: Rc<RefCell<HashMap<(usize, usize), SocketAddr>>> = Rc::default();
        let mut links: Vec<(LinkEnds, Rc<TcpProxy>)> = Vec::new();
        let mut link = |ends: LinkEnds, to: SocketAddr| {
            owners.borrow_mut().push(ends.process());
            let link = TcpProxy::start(links.len(), to, callers.clone()).map_err(system("a link"))?;
            links.push((ends, link.clone()));
            Ok::<_, FleetError>(link)
        };
        for (process, plan) in plans.iter().enumerate() {
            for server in parameters.machines_of(plan.tier) {
                let of = &servers[server];
                let link = link(LinkEnds::ProxyToBackend { process, server }, of.address())?;
                places.borrow_mut().insert((process, server), link.address());
                of.is_reached_by(link);
            }
        }
        let (mut discovery_servers, mut discovery_addresses) = (Vec::new(), Vec::new());
        for (tier, of) in parameters.tiers.iter().enumerate() {
            let entries = (0..of.places.len()).map(|n| Entry {
                server: parameters.machines_of(tier).start + n,
                name: format!("s{tier}-{n}"),
                zone: of.places[n].zone,
                status: BackendState::Ready,
                weight: 1.0,
                since_ms: 0.0,
            });
            let places = places.clone();
            let places = Rc::new(move |process, server| places.borrow()[&(process, server)]);
            let discovery_server = DiscoveryServer::new(
                history.clone(),
                (callers.clone(), identify_sender.clone()),
                places,
                entries.collect(),
            );
            let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await.map_err(system("a list"))?;
            discovery_addresses.push(listener.local_addr().map_err(system("a list"))?);
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
            let keeper = plans[slot].coordination_port.address();
            for process in 0..plans.len() {
                link(LinkEnds::ProxyToVoter { process, slot }, keeper)?;
            }
        }
        for (process, plan) in plans.iter().enumerate().take(parameters.proxies.len()) {
            link(LinkEnds::ClientToProxy { process }, plan.port.address())?;
        }
        let processes: Vec<Process> = (plans.into_iter().enumerate())
            .map(|(number, s)| {
                let mut settings = parameters.settings(s.tier, s.rank, s.instances, s.zone);
                // Discovery here answers only requests, as the platform's does.
                settings.must_subscribe = true;
                settings.permissions.peer_messages = coordination.is_some();
                if let Some(settings_fault) = &settings_fault {
                    settings_fault(&mut settings);
                }
                let folder = folder.join(&s.name);
                Process {
                    number,
                    name: s.name,
                    tier: s.tier,
                    rank: s.rank,
                    zone: s.zone,
                    settings,
                    port: s.port,
                    admin_port: s.admin_port,
                    coordination_port: s.coordination_port,
                    folder,
                    is_running: Cell::new(false),
                    pid: Cell::new(None),
                }
            })
            .collect();
        let (tell, event) = mpsc::unbounded_channel();
        let keeper = ProcessSupervisor::start(program, &["lab", "keeper"], move |event| {
            // Fails only once the run is over.
            let _ = tell.send(event);
        });
        let summary = RunSummary::new("drill", seed, parameters.length, parameters.shares());
        let fleet = Rc::new(Fleet {
            first_tier_count: parameters.proxies.len(),
            summary: RefCell::new(summary),
            history,
            processes,
            servers,
            discovery_servers,
            restarted_weight: Cell::new(1.0),
            coordination,
            link_by_ends: links.iter().enumerate().map(|(place, (ends, _))| (*ends, place)).collect(),
            links,
            incarnations,
            supervisor: RefCell::new(keeper.map_err(system("the keeper"))?),
            program: program.to_path_buf(),
            seeds: RefCell::new(chance(seed, Stream::Policies)),
            parameters,
        });
        spawn_local(forward_supervisor_events(Rc::downgrade(&fleet), event));
        for (process, discovery) in fleet.processes.iter().zip(discovery_link_addresses) {
            std::fs::create_dir_all(process.folder.join("tmp")).map_err(system("a folder"))?;
            std::fs::create_dir_all(process.folder.join("disk")).map_err(system("a folder"))?;
            fleet.launch(process.number, discovery)?;
        }
        for process in 0..fleet.processes.len() {
            fleet.wait_up(process).await?;
        }
        for server in &fleet.servers {
            server.listen().map_err(system("a server"))?;
        }
        Ok(fleet)
    }

    /// The link between two ends.
    pub fn link(&self, ends: LinkEnds) -> &Rc<TcpProxy> {
        // All links there can be were made at the start.
        &self.links[self.link_by_ends[&ends]].1
    }

    /// Traffic over some links, added up.
    pub fn transferred(&self, which: impl Fn(LinkEnds) -> bool) -> TransferredBytes {
        let each = self.links.iter().filter(|(ends, _)| which(*ends)).map(|(_, link)| link.transferred());
        each.fold(TransferredBytes::default(), |a, b| TransferredBytes {
            connections: a.connections + b.connections,
            to_target: a.to_target + b.to_target,
            to_client: a.to_client + b.to_client,
        })
    }

    /// Sets the fault of some links.
    pub fn set_fault(&self, fault: Fault, which: impl Fn(LinkEnds) -> bool) {
        let meant = self.links.iter().filter(|(ends, _)| which(*ends));
        meant.for_each(|(_, link)| link.set_fault(fault));
    }

    /// The true parameters, for the checker.
    pub fn truth(&self) -> GroundTruth {
        let delays = self.parameters.failures.iter().map(|f| f.cut.delay);
        GroundTruth {
            settings: self.parameters.settings(0, 0, self.first_tier_count, 0),
            servers: (self.parameters.tiers.iter().enumerate())
                .flat_map(|(tier, of)| (0..of.places.len()).map(move |n| (tier, n)))
                .map(|(tier, n)| TrueBackend {
                    name: format!("s{tier}-{n}"),
                    tier,
                    slow_start: self.parameters.cold_start(tier, n),
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
        let config = process.folder.join("config.json");
        let told = platform::ProxyConfig {
            name: &process.name,
            listen: process.address(),
            discovery,
            seed: self.seeds.borrow_mut().next_u64(),
            known: self.discovery_servers[process.tier].known(number),
            settings: &process.settings,
        };
        let text = platform::file(&told).to_string();
        std::fs::write(&config, text).map_err(system(config.display().to_string()))?;
        let text = |path: &Path| path.display().to_string();
        let mut operator = Vec::new();
        if let Some(coordination) = &self.coordination {
            let path = process.folder.join("operator.toml");
            let keepers =
                (0..coordination.voters).map(|slot| LinkEnds::ProxyToVoter { process: number, slot });
            let keepers: Vec<SocketAddr> = keepers.map(|ends| self.link(ends).address()).collect();
            let listen = coordination.is_voter(number).then(|| process.coordination_port.address());
            let file = coordination.file(number, &keepers, listen, &process.folder.join("disk"));
            std::fs::write(&path, file).map_err(system(path.display().to_string()))?;
            operator = vec!["--operator".into(), text(&path)];
        }
        let start = StartProcess {
            number,
            program: self.program.clone(),
            arguments: ["run", "--set", "log.calls=true", "--set", "log.format=json"]
                .map(String::from)
                .into_iter()
                .chain(operator)
                .collect(),
            environment: vec![
                ("NODE_NAME".into(), process.name.clone()),
                ("NODE_LISTEN".into(), process.address().to_string()),
                ("NODE_DISCOVERY".into(), discovery.to_string()),
                ("NODE_ADMIN_ADDR".into(), process.admin().to_string()),
                ("NODE_CONFIG".into(), text(&config)),
                ("TMPDIR".into(), text(&process.folder.join("tmp"))),
            ],
            log: process.log(),
        };
        self.incarnations.borrow_mut()[number] += 1;
        self.record_event(number, ProcessEvent::Started);
        process.is_running.set(true);
        self.supervisor.borrow_mut().run(start).map_err(system("the keeper"))
    }

    /// Restarts a proxy, with no learned state, and waits until it is ready.
    pub async fn start_process(&self, number: usize) -> Result<(), FleetError> {
        let end = Instant::now() + UP_WITHIN;
        // Only once the process before it has been reaped.
        while self.processes[number].is_running.get() && Instant::now() < end {
            sleep(POLL_INTERVAL).await;
        }
        let discovery = self.link(LinkEnds::ProxyToDiscovery { process: number }).address();
        self.launch(number, discovery)?;
        self.wait_up(number).await
    }

    /// Waits until a proxy is ready.
    async fn wait_up(&self, number: usize) -> Result<(), FleetError> {
        let process = &self.processes[number];
        let up = async {
            while !is_ready(process.address()).await {
                sleep(POLL_INTERVAL).await;
            }
        };
        if timeout(UP_WITHIN, up).await.is_err() {
            let log = std::fs::read_to_string(process.log()).unwrap_or_default();
            let from = log.char_indices().rev().nth(2_000).map_or(0, |(at, _)| at);
            let seconds = UP_WITHIN.as_secs();
            return Err(FleetError::NotUp { name: process.name.clone(), seconds, log: log[from..].into() });
        }
        if number < self.first_tier_count {
            self.link(LinkEnds::ClientToProxy { process: number }).set_target_listening(true);
        }
        self.record_event(number, ProcessEvent::Ready);
        Ok(())
    }

    /// Signals a proxy.
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
            ProcessSignal::Go => self.record_event(number, ProcessEvent::Continued),
            ProcessSignal::Reload => {}
        }
        self.supervisor.borrow_mut().signal(number, signal).map_err(system("the keeper"))
    }

    /// Kills a proxy without a record: to the checker it is a crash.
    pub fn kill_unrecorded(&self, number: usize) -> Result<(), FleetError> {
        self.supervisor.borrow_mut().signal(number, ProcessSignal::Kill).map_err(system("the keeper"))
    }

    fn on_supervisor_event(&self, event: SupervisorEvent) {
        match event {
            SupervisorEvent::Started { number, pid } => self.processes[number].pid.set(Some(pid)),
            SupervisorEvent::Failed { number, why } => {
                eprintln!("{}: {why}", self.processes[number].name);
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
    mut event: mpsc::UnboundedReceiver<SupervisorEvent>,
) {
    while let Some(event) = event.recv().await {
        match fleet.upgrade() {
            Some(fleet) => fleet.on_supervisor_event(event),
            None => return,
        }
    }
}

/// Whether `GET /up` at an address answers 200.
pub(crate) async fn is_ready(address: SocketAddr) -> bool {
    use tokio::io::AsyncWriteExt;
    let asked = async {
        let mut wire = crate::http::Wire::new(tokio::net::TcpStream::connect(address).await?);
        wire.stream.write_all(b"GET /up HTTP/1.1\r\nHost: p\r\nConnection: close\r\n\r\n").await?;
        wire.message(false).await
    };
    matches!(timeout(Duration::from_secs(1), asked).await, Ok(Ok(Some(m))) if m.status == 200)
}

fn servers(
    parameters: &DrawnScenario,
    plans: &[ProcessPlan],
    history: &Rc<History>,
    (callers, identify_sender): (&ConnectionLinks, &IdentifySender),
) -> IoResult<Vec<Rc<Server>>> {
    let classes: Vec<(String, bool, bool)> = (parameters.classes.iter())
        .map(|c| (c.name.clone(), c.repeats == ClassRetrySafety::Safe, c.repeats == ClassRetrySafety::Keyed))
        .collect();
    let tenants: Vec<String> = parameters.tenants.iter().map(|t| t.name.clone()).collect();
    let mut all = Vec::new();
    for (tier, of) in parameters.tiers.iter().enumerate() {
        for (n, place) in of.places.iter().enumerate() {
            let own = plans.iter().position(|s| s.tier == tier + 1 && s.rank == n);
            let below = own.map(|process| {
                DownstreamTier::new(process, plans[process].port.address(), classes.clone(), tenants.clone())
            });
            let parameters = BackendParameters {
                number: all.len(),
                zone: place.zone,
                kind: hillstall_simulation::model::machine::Kind { speed: place.speed, ..of.kind },
                part: of.part,
                calls: of.calls,
            };
            let identify_sender = (callers.clone(), identify_sender.clone());
            all.push(Server::new(parameters, history.clone(), identify_sender, below)?);
        }
    }
    Ok(all)
}
