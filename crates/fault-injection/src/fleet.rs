//! A whole fleet: fronts, servers with proxies of their own, lists, and the links between them.

use crate::coordination_fleet::CoordinationOptions;
use crate::discovery_server::{DiscoveryServer, Entry};
use crate::history::{History, ProcessEvent, ProcessLifetime};
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

/// Until a process must be up: far above anything seen.
const UP_WITHIN: Duration = Duration::from_secs(30);
/// How often a process that starts is asked whether it is up.
const LOOK: Duration = Duration::from_millis(15);

/// Why a drill can't be played.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The system refuses something: sockets, files, processes.
    #[error("{what}: {why}")]
    System {
        /// What was wanted.
        what: String,
        /// What the system says.
        why: std::io::Error,
    },
    /// A process did not come up.
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

/// For scripts, which tell in words what went wrong.
impl From<FleetError> for String {
    fn from(why: FleetError) -> String {
        why.to_string()
    }
}

/// Words for an error of the system's.
pub(crate) fn system(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> FleetError {
    let what = what.into();
    move |why| FleetError::System { what, why }
}

/// What a link leads from and to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LinkEnds {
    /// From clients to a front.
    Door {
        /// The front.
        process: usize,
    },
    /// From a proxy to a server.
    Server {
        /// The proxy.
        process: usize,
        /// The server.
        server: usize,
    },
    /// From a proxy to the list.
    List {
        /// The proxy.
        process: usize,
    },
    /// From a proxy to a keeper of the fleet.
    Keeper {
        /// The proxy.
        process: usize,
        /// The keeper's slot.
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
    /// What it is told.
    pub settings: Settings,
    port: ReservedPort,
    /// Kept for its second address, and for its own copies' links where it is a keeper.
    admin_port: ReservedPort,
    talk_port: ReservedPort,
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

    /// Its second address.
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
    /// What it was drawn as.
    pub figures: DrawnScenario,
    /// What was seen.
    pub history: Rc<History>,
    /// What clients got.
    pub tally: RefCell<RunSummary>,
    /// The proxies; the fronts come first.
    pub processes: Vec<Process>,
    /// How many of them are fronts.
    pub fronts: usize,
    /// The servers, tier by tier.
    pub servers: Vec<Rc<Server>>,
    /// The list of each tier.
    pub lists: Vec<Rc<DiscoveryServer>>,
    /// All links, with their ends.
    pub links: Vec<(LinkEnds, Rc<TcpProxy>)>,
    /// The weight that the list gives to servers that have started again; 1 is the truth.
    pub weight_again: Cell<f64>,
    /// How its copies talk, if they do.
    pub talk: Option<CoordinationOptions>,
    by_ends: HashMap<LinkEnds, usize>,
    lives: Rc<RefCell<Vec<u32>>>,
    keeper: RefCell<ProcessSupervisor>,
    program: PathBuf,
    seeds: RefCell<Xoshiro256PlusPlus>,
}

/// Changes what the proxies are told: to see what a rule is for, or that the referee sees it broken.
pub type SettingsFault = Rc<dyn Fn(&mut Settings)>;

/// What a fleet is made of.
pub struct FleetPlan<'a> {
    /// The program whose `run` is each proxy and whose `lab keeper` owns them.
    pub program: &'a Path,
    /// The figures.
    pub figures: DrawnScenario,
    /// The seed.
    pub seed: u64,
    /// What the proxies are told wrongly, if anything.
    pub lie: Option<SettingsFault>,
    /// How its copies talk, if they do.
    pub talk: Option<CoordinationOptions>,
    /// Where files go.
    pub folder: &'a Path,
}

struct Sketch {
    name: String,
    tier: usize,
    rank: usize,
    copies: usize,
    zone: usize,
    port: ReservedPort,
    admin_port: ReservedPort,
    talk_port: ReservedPort,
}

fn sketches(figures: &DrawnScenario) -> IoResult<Vec<Sketch>> {
    let mut all = Vec::new();
    for (rank, zone) in figures.proxies.iter().enumerate() {
        let (copies, port) = (figures.proxies.len(), ReservedPort::take()?);
        let (name, admin_port, talk_port) =
            (format!("front-{rank}"), ReservedPort::take()?, ReservedPort::take()?);
        all.push(Sketch { name, tier: 0, rank, copies, zone: *zone, port, admin_port, talk_port });
    }
    for (above, tier) in figures.tiers.iter().take(figures.tiers.len() - 1).enumerate() {
        for (rank, place) in tier.places.iter().enumerate() {
            let (copies, port) = (tier.places.len(), ReservedPort::take()?);
            let name = format!("beside-s{above}-{rank}");
            let (admin_port, talk_port) = (ReservedPort::take()?, ReservedPort::take()?);
            let (tier, zone) = (above + 1, place.zone);
            all.push(Sketch { name, tier, rank, copies, zone, port, admin_port, talk_port });
        }
    }
    Ok(all)
}

impl Fleet {
    /// Starts everything, and waits until all of it is up.
    pub async fn start(plan: FleetPlan<'_>) -> Result<Rc<Fleet>, FleetError> {
        let FleetPlan { program, figures, seed, lie, talk, folder } = plan;
        let history = Rc::new(History::default());
        let callers = Callers::default();
        let owners: Rc<RefCell<Vec<usize>>> = Rc::default();
        let sketches = sketches(&figures).map_err(system("ports"))?;
        let lives = Rc::new(RefCell::new(vec![0u32; sketches.len()]));
        let who: WhoCalls = {
            let (owners, lives) = (owners.clone(), lives.clone());
            Rc::new(move |link| {
                let process = owners.borrow()[link];
                (process, lives.borrow()[process])
            })
        };
        let servers = servers(&figures, &sketches, &history, (&callers, &who)).map_err(system("servers"))?;
        // Links, and what each proxy reaches each server by.
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
            let keeper = sketches[slot].talk_port.address();
            for process in 0..sketches.len() {
                link(LinkEnds::Keeper { process, slot }, keeper)?;
            }
        }
        for (process, sketch) in sketches.iter().enumerate().take(figures.proxies.len()) {
            link(LinkEnds::Door { process }, sketch.port.address())?;
        }
        let processes: Vec<Process> = (sketches.into_iter().enumerate())
            .map(|(number, s)| {
                let mut settings = figures.settings(s.tier, s.rank, s.copies, s.zone);
                // The list here answers only when asked, as the platform's does.
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
                    talk_port: s.talk_port,
                    folder,
                    runs: Cell::new(false),
                    pid: Cell::new(None),
                }
            })
            .collect();
        let (tell, news) = mpsc::unbounded_channel();
        let keeper = ProcessSupervisor::start(program, &["lab", "keeper"], move |news| {
            // Nobody listens any more once the drill is over.
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
            lives,
            keeper: RefCell::new(keeper.map_err(system("the keeper"))?),
            program: program.to_path_buf(),
            seeds: RefCell::new(chance(seed, Stream::Policies)),
            figures,
        });
        spawn_local(hear(Rc::downgrade(&fleet), news));
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

    /// The link of a kind that leads from a proxy, or to it.
    pub fn link(&self, ends: LinkEnds) -> &Rc<TcpProxy> {
        // All links there can be were made at the start.
        &self.links[self.by_ends[&ends]].1
    }

    /// What passed over some links together.
    pub fn passed(&self, which: impl Fn(LinkEnds) -> bool) -> TransferredBytes {
        let each = self.links.iter().filter(|(ends, _)| which(*ends)).map(|(_, link)| link.passed());
        each.fold(TransferredBytes::default(), |a, b| TransferredBytes {
            connections: a.connections + b.connections,
            forth: a.forth + b.forth,
            back: a.back + b.back,
        })
    }

    /// Sets what is wrong with some links.
    pub fn set(&self, fault: Fault, which: impl Fn(LinkEnds) -> bool) {
        let meant = self.links.iter().filter(|(ends, _)| which(*ends));
        meant.for_each(|(_, link)| link.set(fault));
    }

    /// The truth, for the referee.
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

    fn note(&self, process: usize, what: ProcessEvent) {
        let at = self.history.now();
        self.history.note(|seen| seen.lives.push(ProcessLifetime { process, at, what }));
    }

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
            let listen = talk.is_keeper(number).then(|| process.talk_port.address());
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
        self.lives.borrow_mut()[number] += 1;
        self.note(number, ProcessEvent::Started);
        process.runs.set(true);
        self.keeper.borrow_mut().run(start).map_err(system("the keeper"))
    }

    /// Starts a proxy again, with nothing learned, and waits until it is up.
    pub async fn start_process(&self, number: usize) -> Result<(), FleetError> {
        let end = Instant::now() + UP_WITHIN;
        // A name is only started once the process before it has been reaped.
        while self.processes[number].runs.get() && Instant::now() < end {
            sleep(LOOK).await;
        }
        let list = self.link(LinkEnds::List { process: number }).address();
        self.launch(number, list)?;
        self.wait_up(number).await
    }

    /// Waits until a proxy says that it takes calls.
    async fn wait_up(&self, number: usize) -> Result<(), FleetError> {
        let process = &self.processes[number];
        let up = async {
            while !says_up(process.address()).await {
                sleep(LOOK).await;
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
        self.note(number, ProcessEvent::Up);
        Ok(())
    }

    /// Signals a proxy.
    pub fn signal(&self, number: usize, sign: ProcessSignal) -> Result<(), FleetError> {
        match sign {
            ProcessSignal::Kill => {
                self.note(number, ProcessEvent::Killed);
                if number < self.fronts {
                    self.link(LinkEnds::Door { process: number }).set_up(false);
                }
            }
            ProcessSignal::Term => self.note(number, ProcessEvent::Asked),
            ProcessSignal::Stop => self.note(number, ProcessEvent::Stopped),
            ProcessSignal::Go => self.note(number, ProcessEvent::Went),
            ProcessSignal::Reload => {}
        }
        self.keeper.borrow_mut().signal(number, sign).map_err(system("the keeper"))
    }

    /// Kills a proxy and writes nothing down: what a crash looks like to the referee.
    pub fn strike(&self, number: usize) -> Result<(), FleetError> {
        self.keeper.borrow_mut().signal(number, ProcessSignal::Kill).map_err(system("the keeper"))
    }

    fn heard(&self, news: SupervisorEvent) {
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
                self.note(number, ProcessEvent::Ended(code));
            }
        }
    }
}

async fn hear(fleet: std::rc::Weak<Fleet>, mut news: mpsc::UnboundedReceiver<SupervisorEvent>) {
    while let Some(news) = news.recv().await {
        match fleet.upgrade() {
            Some(fleet) => fleet.heard(news),
            None => return,
        }
    }
}

/// Whether somebody at an address answers `GET /up` with 200.
pub(crate) async fn says_up(address: SocketAddr) -> bool {
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
    sketches: &[Sketch],
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
