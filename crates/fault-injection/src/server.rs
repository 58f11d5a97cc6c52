//! A server: the lab's machine behind a socket. A call does a part of its work, calls the next tier through the
//! server's own proxy, once or several times, and does the rest; it keeps its slot meanwhile, as in simulated time.

use crate::history::{BackendAttempt, BackendResult, BackendStart, ClientAttempt, ClientResult, History};
use crate::http::{Call, Message, Wire};
use crate::reserved_port::ReservedPort;
use crate::tcp_proxy::{Callers, TcpProxy};
use hillstall_simulation::model::machine::{Admission, Job, Kind, Machine};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::Result;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch, Notify};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, sleep_until, timeout};

/// How long the server awaits more than a call's own time from its proxy.
const PATIENCE_MS: f64 = 250.0;
/// How long a machine without anything to do waits to look again.
const IDLE: Duration = Duration::from_secs(3_600);
const NOT_STARTED: &str = "Not-Started: 1\r\n";

/// The tier below, as a server reaches it.
pub struct DownstreamTier {
    /// The number of its own proxy.
    pub process: usize,
    /// Where that listens.
    pub address: SocketAddr,
    /// Its classes: name, and whether a call is safe to repeat, and whether it carries a key.
    pub classes: Vec<(String, bool, bool)>,
    /// The tenants' names.
    pub tenants: Vec<String>,
    idle: RefCell<Vec<Wire>>,
}

impl DownstreamTier {
    /// Reached through a proxy.
    pub fn new(
        process: usize,
        address: SocketAddr,
        classes: Vec<(String, bool, bool)>,
        tenants: Vec<String>,
    ) -> DownstreamTier {
        DownstreamTier { process, address, classes, tenants, idle: RefCell::default() }
    }
}

/// What a server is.
pub struct BackendParameters {
    /// Its number over all tiers.
    pub number: usize,
    /// Its zone.
    pub zone: usize,
    /// Its machine.
    pub kind: Kind,
    /// Its tier's part of a call's work.
    pub part: f64,
    /// Calls to the tier below for each call, on average.
    pub calls: f64,
}

/// Who calls over which link: the process, and how often that has been started.
pub type WhoCalls = Rc<dyn Fn(usize) -> (usize, u32)>;

/// A running server.
pub struct Server {
    /// What it is.
    pub figures: BackendParameters,
    history: Rc<History>,
    callers: Callers,
    who: WhoCalls,
    below: Option<DownstreamTier>,
    port: ReservedPort,
    links: RefCell<Vec<Rc<TcpProxy>>>,
    machine: RefCell<Machine>,
    waiters: RefCell<HashMap<Job, oneshot::Sender<()>>>,
    changed: Notify,
    next: Cell<u64>,
    /// Its process's life: all that belongs to an older one ends.
    life: watch::Sender<u64>,
    draining: Cell<bool>,
    listening: RefCell<Option<JoinHandle<()>>>,
    chance: Cell<u64>,
}

/// A call's own wishes, as its target tells them.
struct Wish {
    work: f64,
    class: usize,
    tenant: usize,
    key: Option<String>,
}

/// The target that carries a call's wishes.
pub fn target(class: usize, tenant: usize, work: f64) -> String {
    format!("/api/call?class={class}&tenant={tenant}&work={work:.4}")
}

fn wish(message: &Message) -> Option<Wish> {
    let (_, query) = message.target.split_once('?')?;
    let value = |name: &str| {
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, v)| v)
    };
    Some(Wish {
        work: value("work")?.parse().ok()?,
        class: value("class")?.parse().ok()?,
        tenant: value("tenant")?.parse().ok()?,
        key: message.header("idempotency-key").map(String::from),
    })
}

impl Server {
    /// A warm server that does not listen yet.
    pub fn new(
        figures: BackendParameters,
        history: Rc<History>,
        (callers, who): (Callers, WhoCalls),
        below: Option<DownstreamTier>,
    ) -> Result<Rc<Server>> {
        let server = Rc::new(Server {
            machine: RefCell::new(Machine::new(figures.kind)),
            chance: Cell::new(figures.number as u64 + 1),
            figures,
            history,
            callers,
            who,
            below,
            port: ReservedPort::take()?,
            links: RefCell::default(),
            waiters: RefCell::default(),
            changed: Notify::new(),
            next: Cell::new(0),
            life: watch::Sender::new(0),
            draining: Cell::new(false),
            listening: RefCell::default(),
        });
        spawn_local(server.clone().work());
        Ok(server)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// The proxy that it calls the tier below through, if it has one.
    pub fn own_proxy(&self) -> Option<usize> {
        self.below.as_ref().map(|below| below.process)
    }

    /// The links that lead to it: they refuse while it does not listen.
    pub fn is_reached_by(&self, link: Rc<TcpProxy>) {
        link.set_up(self.listening.borrow().is_some());
        self.links.borrow_mut().push(link);
    }

    /// How often it choked.
    pub fn chokes(&self) -> u32 {
        self.machine.borrow().chokes()
    }

    /// What it can do now, in core milliseconds a millisecond, and whether it is choked.
    pub fn state(&self) -> (f64, bool) {
        let machine = self.machine.borrow();
        (machine.capacity(self.history.now()), machine.is_choked())
    }

    /// Takes calls.
    pub fn listen(self: &Rc<Server>) -> Result<()> {
        let listener = self.port.listen()?;
        self.draining.set(false);
        let task = spawn_local(self.clone().accept(listener));
        if let Some(old) = self.listening.borrow_mut().replace(task) {
            old.abort();
        }
        self.links.borrow().iter().for_each(|link| link.set_up(true));
        Ok(())
    }

    /// Its process dies. Connections are reset, unless its machine goes with it and nobody says anything.
    pub fn die(&self, silently: bool) {
        let links = self.links.borrow();
        if let Some(listening) = self.listening.borrow_mut().take() {
            listening.abort();
        }
        if !silently {
            links.iter().for_each(|link| link.set_up(false));
        }
        let now = self.history.now();
        self.act(|machine, done| {
            machine.kill(now, done);
            // What ended in this very moment is lost with the rest.
            done.clear();
        });
        self.waiters.borrow_mut().clear();
        if let Some(below) = &self.below {
            below.idle.borrow_mut().clear();
        }
        self.life.send_modify(|life| *life += 1);
    }

    /// Starts again, cold; [`Server::listen`] has to follow.
    pub fn start(&self) {
        let now = self.history.now();
        self.act(|machine, _| machine.start(now));
        let server = self.figures.number;
        self.history.note(|seen| seen.starts.push(BackendStart { server, at: now }));
        // What still waits at its machine's door is reset, as the machine is back.
        self.links.borrow().iter().for_each(|link| link.reset());
    }

    /// Turns new calls away, or takes them again.
    pub fn drain(&self, away: bool) {
        self.draining.set(away);
    }

    /// Falls silent, or goes on.
    pub fn hang(&self, hung: bool) {
        let now = self.history.now();
        self.act(|machine, done| machine.hang(now, hung, done));
    }

    /// Is so many times slower; 1 for no more.
    pub fn slow(&self, times: f64) {
        let now = self.history.now();
        self.act(|machine, done| machine.slow(now, times, done));
    }

    /// Changes the machine, and hands on what it has done by that.
    fn act<T>(&self, change: impl FnOnce(&mut Machine, &mut Vec<Job>) -> T) -> T {
        let mut done = Vec::new();
        let out = change(&mut self.machine.borrow_mut(), &mut done);
        while !done.is_empty() {
            for job in std::mem::take(&mut done) {
                let waiter = self.waiters.borrow_mut().remove(&job);
                // One that nobody waits for any more gives its slot back.
                if waiter.is_none_or(|waiter| waiter.send(()).is_err()) {
                    self.machine.borrow_mut().release(self.history.now(), &mut done);
                }
            }
        }
        self.changed.notify_one();
        out
    }

    /// Works as time passes.
    async fn work(self: Rc<Server>) {
        loop {
            let due = self.machine.borrow().due();
            tokio::select! {
                () = async {
                    match due {
                        Some(due) => sleep_until(self.history.instant(due)).await,
                        None => sleep(IDLE).await,
                    }
                } => {}
                () = self.changed.notified() => continue,
            }
            let now = self.history.now();
            self.act(|machine, done| machine.advance(now, done));
        }
    }

    async fn accept(self: Rc<Server>, listener: TcpListener) {
        while let Ok((stream, peer)) = listener.accept().await {
            let number = self.figures.number;
            self.history.note(|seen| {
                let most = seen.handshakes.len().max(number + 1);
                seen.handshakes.resize(most, 0);
                seen.handshakes[number] += 1;
            });
            spawn_local(self.clone().connection(stream, peer));
        }
    }

    async fn connection(self: Rc<Server>, stream: TcpStream, peer: SocketAddr) {
        let mut life = self.life.subscribe();
        let mut wire = Wire::new(stream);
        let clean = tokio::select! {
            biased;
            _ = life.changed() => false,
            ended = self.clone().calls(&mut wire, peer) => ended.is_ok(),
        };
        if !clean {
            crate::tcp_proxy::abort(&wire.stream);
        }
    }

    async fn calls(self: Rc<Server>, wire: &mut Wire, peer: SocketAddr) -> Result<()> {
        while let Some(message) = wire.message(true).await? {
            let Some(link) = self.callers.borrow().get(&(peer, self.address())).copied() else {
                return wire.answer("404 Not Found", "", "who calls?").await;
            };
            let (Some(id), Some(wish)) = (message.header("request-id"), wish(&message)) else {
                wire.answer("400 Bad Request", "", "no such call").await?;
                continue;
            };
            let timeout = message.header("request-timeout-ms").and_then(|t| t.parse::<f64>().ok());
            let hop = self.came(id, link, wish.work * self.figures.part);
            // Ends the record too where this future is dropped, as its process dies.
            let mut guard = Guard { history: self.history.clone(), hop, done: BackendResult::Lost };
            if self.draining.get() {
                guard.done = BackendResult::TurnedAway;
                drop(guard);
                wire.answer("503 Service Unavailable", NOT_STARTED, "").await?;
                continue;
            }
            let until = self.history.now() + timeout.unwrap_or(f64::MAX).min(1e7);
            guard.done = self.call(wire, id, &wish, until, &mut guard).await;
            let done = guard.done;
            drop(guard);
            match done {
                BackendResult::Served => {
                    wire.answer("200 OK", "", &format!("{id} s{}", self.figures.number)).await?;
                }
                BackendResult::TurnedAway => wire.answer("503 Service Unavailable", NOT_STARTED, "").await?,
                BackendResult::Error => wire.answer("500 Internal Server Error", "", "").await?,
                BackendResult::Dropped | BackendResult::Lost | BackendResult::Held => return Ok(()),
            }
        }
        Ok(())
    }

    fn came(&self, id: &str, link: usize, work: f64) -> usize {
        let (process, life) = (self.who)(link);
        let at = self.history.now();
        let hop = BackendAttempt {
            id: id.to_string(),
            server: self.figures.number,
            process,
            life,
            at,
            work,
            ended_at: at,
            done: BackendResult::Held,
        };
        self.history.note(|seen| {
            seen.hops.push(hop);
            seen.hops.len() - 1
        })
    }

    fn part(&self) -> f64 {
        // A Weyl sequence by the golden ratio: as even as chance in the mean, and the same in every run.
        self.chance.set(self.chance.get().wrapping_add(0x9E37_79B9_7F4A_7C15));
        (self.chance.get() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// One call from its first phase to its last.
    async fn call(
        &self,
        wire: &mut Wire,
        id: &str,
        wish: &Wish,
        until: f64,
        guard: &mut Guard,
    ) -> BackendResult {
        let whole = self.figures.calls.floor();
        let below = whole as usize + usize::from(self.part() < self.figures.calls - whole);
        let work = wish.work * self.figures.part / (below + 1) as f64;
        let job = self.next.get();
        self.next.set(job + 1);
        let (tell, mut done) = oneshot::channel();
        self.waiters.borrow_mut().insert(job, tell);
        let now = self.history.now();
        if self.act(|machine, ended| machine.offer(now, job, work, ended)) == Admission::Full {
            self.waiters.borrow_mut().remove(&job);
            return BackendResult::TurnedAway;
        }
        for phase in 0..=below {
            let worked = tokio::select! {
                worked = &mut done => worked.is_ok(),
                () = wire.gone() => {
                    guard.done = BackendResult::Dropped;
                    self.waiters.borrow_mut().remove(&job);
                    let now = self.history.now();
                    // What runs goes on to the end of its phase, and gives its slot back then.
                    self.act(|machine, ended| machine.cancel(now, job, ended));
                    return BackendResult::Dropped;
                }
            };
            if !worked {
                return BackendResult::Lost;
            }
            if phase == below {
                break;
            }
            let answered = tokio::select! {
                answered = self.ask_below(id, phase, below, wish, until) => answered,
                () = wire.gone() => {
                    self.give_back();
                    return BackendResult::Dropped;
                }
            };
            if !answered {
                self.give_back();
                return BackendResult::Error;
            }
            let (tell, next) = oneshot::channel();
            done = next;
            self.waiters.borrow_mut().insert(job, tell);
            let now = self.history.now();
            self.act(|machine, ended| machine.resume(now, job, work, ended));
        }
        self.give_back();
        BackendResult::Served
    }

    fn give_back(&self) {
        let now = self.history.now();
        self.act(|machine, done| machine.release(now, done));
    }

    /// One call to the tier below; true if it was served.
    async fn ask_below(&self, id: &str, phase: usize, calls: usize, wish: &Wish, until: f64) -> bool {
        let Some(below) = &self.below else { return true };
        let id = format!("{id}.{}-{phase}", self.chance.get() % 100_000);
        let (class, safe, keyed) = &below.classes[wish.class];
        let ttl = (until - self.history.now()).max(0.0);
        let key = keyed.then(|| wish.key.as_ref().map(|key| format!("{key}.{phase}"))).flatten();
        let all = self.figures.calls.max(1.0).max((calls - phase) as f64);
        let made = MadeTry::new(
            self.history.clone(),
            ClientAttempt {
                id: id.clone(),
                class: wish.class,
                tenant: wish.tenant,
                key: key.clone(),
                process: below.process,
                written_at: None,
                ttl,
                ended_at: 0.0,
                ended: ClientResult::Left,
                come_back: None,
            },
        );
        let call = Call {
            id: &id,
            class,
            tenant: below.tenants.get(wish.tenant).map(String::as_str),
            timeout_ms: ttl as u64,
            key: key.as_deref(),
            safe: *safe,
            target: &target(wish.class, wish.tenant, wish.work / all),
            retry: false,
        };
        let taken = below.idle.borrow_mut().pop();
        let most = Duration::from_secs_f64((ttl + PATIENCE_MS) / 1e3);
        let asked = ask(taken, below.address, &call, &made, |_| false);
        let (ended, wire) = match timeout(most, asked).await {
            Ok((ended, _, wire)) => (ended, wire),
            Err(_) => (ClientResult::Unanswered, None),
        };
        if let Some(wire) = wire {
            below.idle.borrow_mut().push(wire);
        }
        let served = ended == ClientResult::Served;
        made.ended(ended, None);
        served
    }
}

/// A request that meets the closing of a kept connection hears of it so soon (ms).
const CROSSED_MS: f64 = 20.0;

/// What came of asking a proxy: how it ended, the stated wait (ms), and the connection if it can be used again.
pub(crate) type Asked = (ClientResult, Option<f64>, Option<Wire>);

/// Asks a proxy, on a kept connection if there is one. A kept connection that the proxy closed meanwhile is made up
/// for by one new one. `untaken` tells of an own address whether the proxy never took that connection.
pub(crate) async fn ask(
    kept: Option<Wire>,
    address: SocketAddr,
    call: &Call<'_>,
    made: &MadeTry,
    untaken: impl Fn(SocketAddr) -> bool,
) -> Asked {
    use tokio::io::AsyncWriteExt;
    let text = call.text();
    let mut kept = kept;
    loop {
        let was_kept = kept.is_some();
        let mut wire = match kept.take() {
            Some(wire) => wire,
            None => match TcpStream::connect(address).await {
                Ok(stream) => Wire::new(stream),
                Err(_) => return (ClientResult::NotTaken, None, None),
            },
        };
        let own = wire.stream.local_addr();
        if wire.stream.write_all(text.as_bytes()).await.is_err() {
            if was_kept {
                continue;
            }
            return (ClientResult::NotTaken, None, None);
        }
        made.written(true);
        let message = match wire.message(false).await {
            Ok(Some(message)) => message,
            Ok(None) | Err(_) => {
                // It closed between two requests, and this one crossed that.
                if was_kept && made.since_written() < CROSSED_MS {
                    continue;
                }
                if own.is_ok_and(&untaken) {
                    made.written(false);
                    return (ClientResult::NotTaken, None, None);
                }
                return (ClientResult::Broken, None, None);
            }
        };
        let wait = message.header("retry-after").and_then(|t| t.parse::<f64>().ok()).map(|s| s * 1e3);
        let ended = match message.status {
            _ if wire.has_more() => ClientResult::Wrong("more than one answer".into()),
            200 => {
                let body = String::from_utf8_lossy(&message.body).into_owned();
                match body.split_once(' ') {
                    Some((id, _)) if id == call.id => ClientResult::Served,
                    _ => ClientResult::Wrong(format!("an answer to another request: {body}")),
                }
            }
            429 | 503 => ClientResult::Refused,
            other => ClientResult::Failed(other),
        };
        let close = message.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
        return (ended, wait, Some(wire).filter(|_| !close));
    }
}

/// A try in the record; one that is dropped has left.
pub(crate) struct MadeTry {
    history: Rc<History>,
    index: usize,
    ended: Cell<bool>,
}

impl MadeTry {
    pub(crate) fn new(history: Rc<History>, a_try: ClientAttempt) -> MadeTry {
        let index = history.note(|seen| {
            seen.tries.push(a_try);
            seen.tries.len() - 1
        });
        MadeTry { history, index, ended: Cell::new(false) }
    }

    /// Its last byte was written, or was so in vain.
    pub(crate) fn written(&self, written: bool) {
        let at = written.then(|| self.history.now());
        self.history.note(|seen| seen.tries[self.index].written_at = at);
    }

    fn since_written(&self) -> f64 {
        let written = self.history.note(|seen| seen.tries[self.index].written_at);
        self.history.now() - written.unwrap_or(f64::MIN)
    }

    pub(crate) fn ended(&self, ended: ClientResult, come_back: Option<f64>) {
        let now = self.history.now();
        self.ended.set(true);
        self.history.note(|seen| {
            let a_try = &mut seen.tries[self.index];
            (a_try.ended, a_try.ended_at, a_try.come_back) = (ended, now, come_back);
        });
    }
}

impl Drop for MadeTry {
    fn drop(&mut self) {
        if !self.ended.get() {
            self.ended(ClientResult::Left, None);
        }
    }
}

/// Writes the end of a call down, however it comes.
struct Guard {
    history: Rc<History>,
    hop: usize,
    done: BackendResult,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let (now, done) = (self.history.now(), self.done);
        self.history.note(|seen| {
            if let Some(hop) = seen.hops.get_mut(self.hop) {
                (hop.done, hop.ended_at) = (done, now);
            }
        });
    }
}
