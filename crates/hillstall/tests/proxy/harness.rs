//! Test clients, backends and a discovery service on loopback sockets, with ports that the operating system
//! chooses.

#![allow(clippy::unwrap_used, reason = "a panic in a test helper fails the test")]

pub use hillstall_fault_injection::reserved_port::ReservedPort;
use hillstall_fault_injection::system_faults::SystemFaults;
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Limit of each wait. Far above what any step takes on a busy machine, so that only a hang reaches it.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A request or response as it was received.
#[derive(Clone, Debug)]
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a message; `None` at the end of the connection. Without `Content-Length` or chunks it has no
    /// body.
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if from.read_line(&mut head).ok()? == 0 {
                return None;
            }
        }
        let mut message = Message { head, body: Vec::new() };
        if message.header("transfer-encoding").is_some() {
            message.body = Message::read_chunks(from)?;
            return Some(message);
        }
        let length = message.header("content-length").map_or(0, |text| text.parse().expect("a length"));
        message.body.resize(length, 0);
        from.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    fn read_chunks(from: &mut impl BufRead) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            from.read_line(&mut line).ok()?;
            let size = usize::from_str_radix(line.trim_end(), 16).ok()?;
            let at = body.len();
            body.resize(at + size, 0);
            from.read_exact(&mut body[at..]).ok()?;
            line.clear();
            from.read_line(&mut line).ok()?;
            if size == 0 {
                return Some(body);
            }
        }
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.head
            .lines()
            .filter_map(|line| line.split_once(": "))
            .find_map(|(key, value)| key.eq_ignore_ascii_case(name).then_some(value))
    }

    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|code| code.parse().ok()).expect("a status")
    }
}

pub fn ok_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// A body of `length` bytes in which misplaced bytes are noticed.
pub fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|i| (i * 31 % 251) as u8).collect()
}

pub fn bind_free_port() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("a local address");
    (listener, address)
}

/// A backend that calls a script for each request, with the request's number from 0 and the connection to
/// answer on. The backend closes the connection if the script returns false.
pub struct Backend {
    pub address: SocketAddr,
    /// The requests received.
    pub requests: Arc<Mutex<Vec<Message>>>,
    /// Number of connections accepted.
    pub connections: Arc<AtomicUsize>,
    /// Number of connections that the proxy has closed.
    pub closed: Arc<AtomicUsize>,
}

impl Backend {
    pub fn start(script: impl Fn(usize, &mut TcpStream) -> bool + Send + Sync + 'static) -> Backend {
        let (listener, address) = bind_free_port();
        let backend = Backend {
            address,
            requests: Arc::default(),
            connections: Arc::default(),
            closed: Arc::default(),
        };
        let (requests, script) = (backend.requests.clone(), Arc::new(script));
        let (connections, closed) = (backend.connections.clone(), backend.closed.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.expect("a connection");
                connections.fetch_add(1, Ordering::SeqCst);
                let (requests, script, closed) = (requests.clone(), script.clone(), closed.clone());
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
                    while let Some(message) = Message::read(&mut reader) {
                        let number = {
                            let mut requests = requests.lock().unwrap();
                            requests.push(message);
                            requests.len() - 1
                        };
                        if !script(number, &mut stream) {
                            return;
                        }
                    }
                    closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        backend
    }

    /// Answers every request with the same text.
    pub fn answering(text: &'static str) -> Backend {
        Backend::start(move |_, stream| stream.write_all(text.as_bytes()).is_ok())
    }

    pub fn request_count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }
}

/// One endpoint of an endpoint list, as JSON.
pub fn endpoint(name: &str, address: SocketAddr, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"z","type":"k","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

/// An endpoint list, as JSON.
pub fn endpoint_list(index: u32, snapshot: bool, entries: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

/// A discovery service. It sends the current list, if there is one, to each new watch, and keeps the watch
/// open for further lines. Without a list it accepts requests and sends nothing but heartbeats, which without
/// a response head are not a valid response.
pub struct Discovery {
    pub address: SocketAddr,
    /// The request lines received.
    pub requests: Arc<Mutex<Vec<String>>>,
    watches: Arc<Mutex<Vec<TcpStream>>>,
    current: Arc<Mutex<Option<String>>>,
    sends_heartbeats: Arc<Mutex<bool>>,
}

impl Discovery {
    pub fn start(current: Option<String>) -> Discovery {
        let (listener, address) = bind_free_port();
        let discovery = Discovery {
            address,
            requests: Arc::default(),
            watches: Arc::default(),
            current: Arc::new(Mutex::new(current)),
            sends_heartbeats: Arc::new(Mutex::new(true)),
        };
        let (requests, watches) = (discovery.requests.clone(), discovery.watches.clone());
        let current = discovery.current.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.expect("a connection");
                let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
                let Some(request) = Message::read(&mut reader) else { continue };
                requests.lock().unwrap().push(request.head.lines().next().unwrap().to_string());
                let mut watches = watches.lock().unwrap();
                if let Some(list) = current.lock().unwrap().as_ref() {
                    if !request.head.contains("stream=1") {
                        let _ = stream.write_all(ok_response(list).as_bytes());
                        continue;
                    }
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    let _ = stream.write_all(chunk(list).as_bytes());
                }
                watches.push(stream);
            }
        });
        let (watches, sends_heartbeats) = (discovery.watches.clone(), discovery.sends_heartbeats.clone());
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(500));
            if *sends_heartbeats.lock().unwrap() {
                watches.lock().unwrap().retain_mut(|watch| watch.write_all(chunk("").as_bytes()).is_ok());
            }
        });
        discovery
    }

    /// Sets the list that later requests get.
    pub fn set_list(&self, list: String) {
        *self.current.lock().unwrap() = Some(list);
    }

    /// Sends a line, which need not be valid, to all open watches.
    pub fn send_to_watches(&self, line: &str) {
        for watch in self.watches.lock().unwrap().iter_mut() {
            let _ = watch.write_all(chunk(line).as_bytes());
        }
    }

    /// Closes all open watches.
    pub fn close_watches(&self) {
        self.watches.lock().unwrap().clear();
    }

    /// Stops the heartbeats; watches stay open.
    pub fn stop_heartbeats(&self) {
        *self.sends_heartbeats.lock().unwrap() = false;
    }
}

fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

/// A platform configuration with the classes `read` (idempotent), `keyed` (retried only with an idempotency
/// key) and `once` (not idempotent), and the tenants `acme` and `zeta`.
pub fn platform_config(discovery: SocketAddr, known: &str) -> String {
    let class = |name: &str, effect: &str| {
        format!(
            r#"{{"Name":"{name}","Aim":2000,"HardLimit":20000,"Effect":"{effect}","KeyScope":"cell","Window":9000}}"#
        )
    };
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},
        "settings":{{"Classes":[{},{},{}],"Tenants":[{{"Name":"acme"}},{{"Name":"zeta"}}],
        "Zones":["z"],"MachineTypes":["k"],"FleetSize":1,"MembershipMode":"automatic",
        "Rules":{{"GraceToAnswer":20,"DrainGrace":250,"ColdFrom":0.3,"Cold":8000,"FallMultiple":3,"Fall":3000}},
        "Allowed":{{"MaxAttempts":5,"Cancelling":true,"ConnectTimeout":5000,"IdleClose":120000,
        "RetryAfter":true,"MaxRetryAfter":2000}}}}}}"#,
        class("read", "repeatable"),
        class("keyed", "by_key"),
        class("once", "once"),
    )
}

/// A proxy process; killed when dropped.
pub struct Proxy {
    pub address: SocketAddr,
    child: Child,
    config: PathBuf,
    /// Keeps the port from the proxies of other tests, which could listen on it too (`SO_REUSEPORT`).
    port: Arc<ReservedPort>,
}

impl Proxy {
    /// Starts a proxy with a platform configuration, and waits until it serves clients.
    pub fn start(config: &str) -> Proxy {
        Proxy::start_with_shell("exec \"$0\"", config)
    }

    /// Like [`Proxy::start`], with a shell command line that runs the program as `$0`.
    pub fn start_with_shell(line: &str, config: &str) -> Proxy {
        let port = Arc::new(ReservedPort::take().expect("a port"));
        let (mut command, config) = proxy_command(line, config, port.address());
        let child = command.spawn().expect("the proxy starts");
        let mut proxy = Proxy { address: port.address(), child, config, port };
        assert!(proxy.wait_until_serving(), "the proxy did not start");
        proxy
    }

    /// Starts a proxy with an admin address; returns that address too.
    pub fn start_with_admin(config: &str) -> (Proxy, SocketAddr) {
        let (listener, admin) = bind_free_port();
        drop(listener);
        (Proxy::start_with_shell(&format!("NODE_ADMIN_ADDR={admin} exec \"$0\""), config), admin)
    }

    /// Starts a newer process at the same address, as an upgrade does; returns it and its admin address once
    /// it reports to serve.
    pub fn start_newer(&self, config: &str) -> (Proxy, SocketAddr) {
        self.start_newer_with("", config)
    }

    /// Like [`Proxy::start_newer`], with environment variables as a shell writes them.
    pub fn start_newer_with(&self, variables: &str, config: &str) -> (Proxy, SocketAddr) {
        let (listener, admin) = bind_free_port();
        drop(listener);
        let line = format!("{variables} NODE_ADMIN_ADDR={admin} exec \"$0\"");
        let (mut command, config) = proxy_command(&line, config, self.address);
        let newer = Proxy {
            address: self.address,
            child: command.spawn().expect("the process starts"),
            config,
            port: self.port.clone(),
        };
        wait_until("the newer process serves", || {
            let stream = TcpStream::connect(admin).ok();
            let mut answer = String::new();
            stream.is_some_and(|mut stream| {
                stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the time-out is set");
                let sent = stream.write_all(b"PING\n").and_then(|()| stream.read_to_string(&mut answer));
                sent.is_ok() && answer.starts_with("200")
            })
        });
        (newer, admin)
    }

    fn wait_until_serving(&mut self) -> bool {
        let end = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < end && self.child.try_wait().expect("the state of the process").is_none() {
            if try_request(self.address, "GET /up HTTP/1.1\r\nHost: p\r\n\r\n")
                .is_some_and(|message| message.status() == 200)
            {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Sends a request on a new connection and returns the response.
    pub fn request(&self, request: &str) -> Message {
        try_request(self.address, request).expect("a response")
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config, config).expect("the configuration is written");
        self.signal("-HUP");
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("kill").success());
    }

    /// The names of the process's threads, sorted.
    pub fn threads(&self) -> Vec<String> {
        let tasks =
            std::fs::read_dir(format!("/proc/{}/task", self.child.id())).expect("the threads of the process");
        let names = tasks.filter_map(|task| std::fs::read_to_string(task.ok()?.path().join("comm")).ok());
        let mut names: Vec<String> = names.map(|name| name.trim().to_owned()).collect();
        names.sort();
        names
    }

    /// The most memory that the process has used so far, in MiB.
    pub fn peak_memory_mb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the state of the process");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")?.strip_suffix("kB"));
        peak.expect("the peak memory").trim().parse::<u64>().expect("a number") / 1024
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("the state of the process").is_none()
    }

    pub fn wait(&mut self) -> ExitStatus {
        wait_until("the proxy ends", || !self.is_running());
        self.child.wait().expect("the exit status of the process")
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A shell command that runs the program as `$0` with a configuration, which is written to a new file.
/// Returns the file's path too.
pub fn proxy_command(line: &str, config: &str, listen: SocketAddr) -> (Command, PathBuf) {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("hillstall-test-{}-{number}.json", std::process::id()));
    std::fs::write(&path, config).expect("the configuration is written");
    let mut command = Command::new("sh");
    command.args(["-c", line, env!("CARGO_BIN_EXE_hillstall")]);
    command.env("NODE_CONFIG", &path).env("NODE_LISTEN", listen.to_string()).stderr(Stdio::piped());
    (command, path)
}

/// The environment of a process whose system calls can be made to fail, as a shell writes it.
pub fn fault_variables(faults: &SystemFaults) -> String {
    faults.environment().map(|(name, value)| format!("{name}={}", value.display())).join(" ")
}

/// A TCP socket that is not bound.
pub fn new_socket() -> Socket {
    Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket")
}

/// Fills the queue of a listener that was made for none, so that further connects wait until it accepts. The
/// sockets have to be kept.
pub fn fill_queue(address: SocketAddr) -> Vec<Socket> {
    let connects = (0..4).map(|_| {
        let queued = new_socket();
        queued.set_nonblocking(true).expect("the socket is set");
        let _ = queued.connect(&address.into());
        queued
    });
    connects.collect()
}

/// Builds a valid request of a class, with the method and headers that the class needs.
pub fn build_request(class: &str, id: &str, timeout_ms: u32, body: &str) -> String {
    let method = if class == "read" { "GET" } else { "POST" };
    let key = if class == "keyed" { "Idempotency-Key: k1\r\n" } else { "" };
    let length = if class == "read" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} /api/7f3a?q=1 HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n\
         Tenant: acme\r\nRequest-Timeout-Ms: {timeout_ms}\r\n{key}{length}\r\n{body}"
    )
}

/// Opens a client connection and sends a request on it.
pub fn connect_and_send(address: SocketAddr, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the time-out is set");
    stream.write_all(request.as_bytes()).expect("the request is written");
    stream
}

/// Reads a response; `None` if the connection ends before it is complete.
pub fn read_response(stream: &TcpStream) -> Option<Message> {
    Message::read(&mut BufReader::new(stream.try_clone().expect("a second handle")))
}

/// Sends a request on a new connection and returns the response, if there is one.
pub fn try_request(address: SocketAddr, request: &str) -> Option<Message> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    read_response(&stream)
}

/// Sends a line to an admin address and returns the answer.
pub fn admin_command(admin: SocketAddr, line: &str) -> String {
    let mut stream = connect_and_send(admin, line);
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer, then the end");
    answer
}

/// The value of a metric in the answer to `INFO`.
pub fn metric(admin: SocketAddr, name: &str) -> u64 {
    let figures = admin_command(admin, "INFO\n");
    let value = figures.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    value.unwrap_or_else(|| panic!("{name} in {figures}")).parse().expect("a number")
}

/// Waits until a condition holds; panics with `what` after [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(10));
    }
}
