//! A whole fleet: first-tier proxies, backends with proxies of their own, discovery, and the links between them.

use crate::coordination_fleet::CoordinationOptions;
use crate::discovery_server::{DiscoveryServer, Entry};
use crate::history::{History, ProcessEvent, ProcessEventRecord};
use crate::invariant_checker::{GroundTruth, Server as TrueServer};
use crate::platform;
use crate::process_supervisor::{ProcessSignal, ProcessSupervisor, StartProcess, SupervisorEvent};
use crate::reserved_port::ReservedPort;
use crate::server::{BackendParameters as ServerFigures, DownstreamTier, Server, WhoCalls};
use crate::tcp_proxy::{Callers, Fault, TcpProxy, TransferredBytes};
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
    Door {
        /// The proxy.
        process: usize,
    },
    /// From a proxy to a backend.
    Server {
        /// The proxy.
        process: usize,
        /// The backend.
        server: usize,
    },
    /// From a proxy to discovery.
    List {
        /// The proxy.
        process: usize,
    },
    /// From a proxy to a voter of the fleet.
    Keeper {
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
            LinkEnds::Door { process }
            | LinkEnds::Server { process, .. }
            | LinkEnds::List { process }
            | LinkEnds::Keeper { process, .. } => process,
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
    pub runs: Cell<bool>,
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
    pub figures: DrawnScenario,
    /// The record of the run.
    pub history: Rc<History>,
    /// What clients received.
    pub tally: RefCell<RunSummary>,
    /// The proxies; those of the first tier come first.
    pub processes: Vec<Process>,
    /// Number of first-tier proxies.
    pub fronts: usize,
    /// The backends, tier by tier.
    pub servers: Vec<Rc<Server>>,
    /// The discovery service of each tier.
    pub lists: Vec<Rc<DiscoveryServer>>,
    /// All links, with their ends.
    pub links: Vec<(LinkEnds, Rc<TcpProxy>)>,
    /// The weight that discovery reports for restarted backends; 1 is correct.
    pub weight_again: Cell<f64>,
    /// The coordination of its instances, if any.
    pub talk: Option<CoordinationOptions>,
    by_ends: HashMap<LinkEnds, usize>,
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
    pub figures: DrawnScenario,
    /// The seed.
    pub seed: u64,
    /// Falsifies the proxies' settings, if given.
    pub lie: Option<SettingsFault>,
    /// The coordination of its instances, if any.
    pub talk: Option<CoordinationOptions>,
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

fn plan_processes(figures: &DrawnScenario) -> IoResult<Vec<ProcessPlan>> {
    let mut all = Vec::new();
    for (rank, zone) in figures.proxies.iter().enumerate() {
        let (copies, port) = (figures.proxies.len(), ReservedPort::take()?);
        let (name, admin_port, talk_port) =
            (format!("front-{rank}"), ReservedPort::take()?, ReservedPort::take()?);
        all.push(ProcessPlan {
            name,
            tier: 0,
            rank,
            instances: copies,
            zone: *zone,
            port,
            admin_port,
            coordination_port: talk_port,
        });
    }
    for (above, tier) in figures.tiers.iter().take(figures.tiers.len() - 1).enumerate() {
        for (rank, place) in tier.places.iter().enumerate() {
            let (copies, port) = (tier.places.len(), ReservedPort::take()?);
            let name = format!("beside-s{above}-{rank}");
            let (admin_port, talk_port) = (ReservedPort::take()?, ReservedPort::take()?);
            let (tier, zone) = (above + 1, place.zone);
            all.push(ProcessPlan {
                name,
                tier,
                rank,
                instances: copies,
                zone,
                port,
                admin_port,
                coordination_port: talk_port,
            });
        }
    }
    Ok(all)
}

impl Fleet {
    /// Starts everything, and waits until all processes are ready.
    #[allow(clippy::too_many_lines, reason = "starts the parts in order of dependency")]
    pub async fn start(plan: FleetPlan<'_>) -> Result<Rc<Fleet>, FleetError> {
        let FleetPlan { program, figures, seed, lie, talk, folder } = plan;
        let history = Rc::new(History::default());
        let callers = Callers::default();
        let owners: Rc<RefCell<Vec<usize>>> = Rc::default();
        let sketches = plan_processes(&figures).map_err(system("ports"))?;
        let incarnations = Rc::new(RefCell::new(vec![0u32; sketches.len()]));
        let who: WhoCalls = {
            let (owners, incarnations) = (owners.clone(), incarnations.clone());
            Rc::new(move |link| {
                let process = owners.borrow()[link];
                (process, incarnations.borrow()[process])
            })
        };
        let servers = servers(&figures, &sketches, &history, (&callers, &who)).map_err(system("servers"))?;
        // Links, and the address by which each proxy reaches each backend.
        let places: Rc<RefCell<HashMap<(usize, usize), SocketAddr>>> = Rc::default();
        let mut links: Vec<(LinkEnds, Rc<TcpProxy>)> = Vec::new();
        let mut link = |ends: LinkEnds, to: SocketAddr| {
            owners.borrow_mut().push(ends.process());
            let link = TcpProxy::start(links.len(), to, callers.clone()).map_err(system("a link"))?;
            links.push((ends, link.clone()));
            Ok::<_, FleetError>(link)
        };
        for (process, sketch) in sketches.iter().enumerate() {
            for server in figures.machines_of(sketch.tier) {
                let of = &servers[server];
                let link = link(LinkEnds::Server { process, server }, of.address())?;
                places.borrow_mut().insert((process, server), link.address());
                of.is_reached_by(link);
            }
        }
        let (mut lists, mut lists_at) = (Vec::new(), Vec::new());
        for (tier, of) in figures.tiers.iter().enumerate() {
            let entries = (0..of.places.len()).map(|n| Entry {
                server: figures.machines_of(tier).start + n,
                name: format!("s{tier}-{n}"),
                zone: of.places[n].zone,
                status: BackendState::Ready,
                weight: 1.0,
                since_ms: 0.0,
            });
            let places = places.clone();
            let places = Rc::new(move |process, server| places.borrow()[&(process, server)]);
            let roster = DiscoveryServer::new(
                history.clone(),
                (callers.clone(), who.clone()),
                places,
                entries.collect(),
            );
            let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await.map_err(system("a list"))?;
            lists_at.push(listener.local_addr().map_err(system("a list"))?);
            spawn_local(roster.clone().serve(listener));
            lists.push(roster);
        }
        let mut lists_by = Vec::new();
        for (process, sketch) in sketches.iter().enumerate() {
            lists_by.push(link(LinkEnds::List { process }, lists_at[sketch.tier])?.address());
        }
        for slot in 0..talk.as_ref().map_or(0, |talk| talk.keepers) {
            let keeper = sketches[slot].coordination_port.address();
            for process in 0..sketches.len() {
                link(LinkEnds::Keeper { process, slot }, keeper)?;
            }
        }
        for (process, sketch) in sketches.iter().enumerate().take(figures.proxies.len()) {
            link(LinkEnds::Door { process }, sketch.port.address())?;
        }
        let processes: Vec<Process> = (sketches.into_iter().enumerate())
            .map(|(number, s)| {
                let mut settings = figures.settings(s.tier, s.rank, s.instances, s.zone);
                // Discovery here answers only requests, as the platform's does.
                settings.must_subscribe = true;
                settings.permissions.peer_messages = talk.is_some();
                if let Some(lie) = &lie {
                    lie(&mut settings);
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
                    runs: Cell::new(false),
                    pid: Cell::new(None),
                }
            })
            .collect();
        let (tell, news) = mpsc::unbounded_channel();
        let keeper = ProcessSupervisor::start(program, &["lab", "keeper"], move |news| {
            // Fails only once the run is over.
            let _ = tell.send(news);
        });
        let tally = RunSummary::new("drill", seed, figures.length, figures.shares());
        let fleet = Rc::new(Fleet {
            fronts: figures.proxies.len(),
            tally: RefCell::new(tally),
            history,
            processes,
            servers,
            lists,
            weight_again: Cell::new(1.0),
            talk,
            by_ends: links.iter().enumerate().map(|(place, (ends, _))| (*ends, place)).collect(),
            links,
            incarnations,
            supervisor: RefCell::new(keeper.map_err(system("the keeper"))?),
            program: program.to_path_buf(),
            seeds: RefCell::new(chance(seed, Stream::Policies)),
            figures,
        });
        spawn_local(forward_supervisor_events(Rc::downgrade(&fleet), news));
        for (process, list) in fleet.processes.iter().zip(lists_by) {
            std::fs::create_dir_all(process.folder.join("tmp")).map_err(system("a folder"))?;
            std::fs::create_dir_all(process.folder.join("disk")).map_err(system("a folder"))?;
            fleet.launch(process.number, list)?;
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
        &self.links[self.by_ends[&ends]].1
    }

    /// Traffic over some links, added up.
    pub fn passed(&self, which: impl Fn(LinkEnds) -> bool) -> TransferredBytes {
        let each = self.links.iter().filter(|(ends, _)| which(*ends)).map(|(_, link)| link.passed());
        each.fold(TransferredBytes::default(), |a, b| TransferredBytes {
            connections: a.connections + b.connections,
            forth: a.forth + b.forth,
            back: a.back + b.back,
        })
    }

    /// Sets the fault of some links.
    pub fn set(&self, fault: Fault, which: impl Fn(LinkEnds) -> bool) {
        let meant = self.links.iter().filter(|(ends, _)| which(*ends));
        meant.for_each(|(_, link)| link.set(fault));
    }

    /// The true parameters, for the checker.
    pub fn truth(&self) -> GroundTruth {
        let delays = self.figures.failures.iter().map(|f| f.cut.delay);
        GroundTruth {
            settings: self.figures.settings(0, 0, self.fronts, 0),
            servers: (self.figures.tiers.iter().enumerate())
                .flat_map(|(tier, of)| (0..of.places.len()).map(move |n| (tier, n)))
                .map(|(tier, n)| TrueServer {
                    name: format!("s{tier}-{n}"),
                    tier,
                    cold: self.figures.cold_start(tier, n),
                })
                .collect(),
            processes: self.processes.iter().map(|p| p.name.clone()).collect(),
            delay: delays.fold(0.0, f64::max),
        }
    }

    fn record_event(&self, process: usize, event: ProcessEvent) {
        let at = self.history.now();
        self.history.record(|seen| seen.process_events.push(ProcessEventRecord { process, at, event }));
    }

    #[allow(clippy::too_many_lines, reason = "writes a process's files and starts it")]
    fn launch(&self, number: usize, list: SocketAddr) -> Result<(), FleetError> {
        let process = &self.processes[number];
        let config = process.folder.join("config.json");
        let told = platform::ProxyConfig {
            name: &process.name,
            listen: process.address(),
            discovery: list,
            seed: self.seeds.borrow_mut().next_u64(),
            known: self.lists[process.tier].known(number),
            settings: &process.settings,
        };
        let text = platform::file(&told).to_string();
        std::fs::write(&config, text).map_err(system(config.display().to_string()))?;
        let text = |path: &Path| path.display().to_string();
        let mut operator = Vec::new();
        if let Some(talk) = &self.talk {
            let path = process.folder.join("operator.toml");
            let keepers = (0..talk.keepers).map(|slot| LinkEnds::Keeper { process: number, slot });
            let keepers: Vec<SocketAddr> = keepers.map(|ends| self.link(ends).address()).collect();
            let listen = talk.is_keeper(number).then(|| process.coordination_port.address());
            let file = talk.file(number, &keepers, listen, &process.folder.join("disk"));
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
                ("NODE_DISCOVERY".into(), list.to_string()),
                ("NODE_ADMIN_ADDR".into(), process.admin().to_string()),
                ("NODE_CONFIG".into(), text(&config)),
                ("TMPDIR".into(), text(&process.folder.join("tmp"))),
            ],
            log: process.log(),
        };
        self.incarnations.borrow_mut()[number] += 1;
        self.record_event(number, ProcessEvent::Started);
        process.runs.set(true);
        self.supervisor.borrow_mut().run(start).map_err(system("the keeper"))
    }

    /// Restarts a proxy, with no learned state, and waits until it is ready.
    pub async fn start_process(&self, number: usize) -> Result<(), FleetError> {
        let end = Instant::now() + UP_WITHIN;
        // Only once the process before it has been reaped.
        while self.processes[number].runs.get() && Instant::now() < end {
            sleep(POLL_INTERVAL).await;
        }
        let list = self.link(LinkEnds::List { process: number }).address();
        self.launch(number, list)?;
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
        if number < self.fronts {
            self.link(LinkEnds::Door { process: number }).set_up(true);
        }
        self.record_event(number, ProcessEvent::Ready);
        Ok(())
    }

    /// Signals a proxy.
    pub fn signal(&self, number: usize, sign: ProcessSignal) -> Result<(), FleetError> {
        match sign {
            ProcessSignal::Kill => {
                self.record_event(number, ProcessEvent::Killed);
                if number < self.fronts {
                    self.link(LinkEnds::Door { process: number }).set_up(false);
                }
            }
            ProcessSignal::Term => self.record_event(number, ProcessEvent::SigtermSent),
            ProcessSignal::Stop => self.record_event(number, ProcessEvent::Stopped),
            ProcessSignal::Go => self.record_event(number, ProcessEvent::Continued),
            ProcessSignal::Reload => {}
        }
        self.supervisor.borrow_mut().signal(number, sign).map_err(system("the keeper"))
    }

    /// Kills a proxy without a record: to the checker it is a crash.
    pub fn strike(&self, number: usize) -> Result<(), FleetError> {
        self.supervisor.borrow_mut().signal(number, ProcessSignal::Kill).map_err(system("the keeper"))
    }

    fn on_supervisor_event(&self, news: SupervisorEvent) {
        match news {
            SupervisorEvent::Started { number, pid } => self.processes[number].pid.set(Some(pid)),
            SupervisorEvent::Failed { number, why } => {
                eprintln!("{}: {why}", self.processes[number].name);
                self.processes[number].runs.set(false);
            }
            SupervisorEvent::Ended { number, code, .. } => {
                let process = &self.processes[number];
                process.runs.set(false);
                if number < self.fronts {
                    self.link(LinkEnds::Door { process: number }).set_up(false);
                }
                self.record_event(number, ProcessEvent::Exited(code));
            }
        }
    }
}

async fn forward_supervisor_events(
    fleet: std::rc::Weak<Fleet>,
    mut news: mpsc::UnboundedReceiver<SupervisorEvent>,
) {
    while let Some(news) = news.recv().await {
        match fleet.upgrade() {
            Some(fleet) => fleet.on_supervisor_event(news),
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
    figures: &DrawnScenario,
    sketches: &[ProcessPlan],
    history: &Rc<History>,
    (callers, who): (&Callers, &WhoCalls),
) -> IoResult<Vec<Rc<Server>>> {
    let classes: Vec<(String, bool, bool)> = (figures.classes.iter())
        .map(|c| (c.name.clone(), c.repeats == ClassRetrySafety::Safe, c.repeats == ClassRetrySafety::Keyed))
        .collect();
    let tenants: Vec<String> = figures.tenants.iter().map(|t| t.name.clone()).collect();
    let mut all = Vec::new();
    for (tier, of) in figures.tiers.iter().enumerate() {
        for (n, place) in of.places.iter().enumerate() {
            let own = sketches.iter().position(|s| s.tier == tier + 1 && s.rank == n);
            let below = own.map(|process| {
                DownstreamTier::new(
                    process,
                    sketches[process].port.address(),
                    classes.clone(),
                    tenants.clone(),
                )
            });
            let figures = ServerFigures {
                number: all.len(),
                zone: place.zone,
                kind: hillstall_simulation::model::machine::Kind { speed: place.speed, ..of.kind },
                part: of.part,
                calls: of.calls,
            };
            let who = (callers.clone(), who.clone());
            all.push(Server::new(figures, history.clone(), who, below)?);
        }
    }
    Ok(all)
}
