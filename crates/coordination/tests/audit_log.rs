//! The lines of the log by which leases and orders are judged afterwards: their words and the names of their fields are
//! read by other programs.

mod common;

use common::follower;
use hillstall_consensus::frame::Frame;
use hillstall_coordination::{settings, start, CoordinationHandle, InstanceLocation};
use hillstall_lease::fencing::FencedCommand;
use hillstall_lease::{FencingToken, LeaseName};
use std::io::Write;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Longest wait for a line; only a failure takes as long.
const PATIENCE: Duration = Duration::from_secs(20);
const REPLICAS: usize = 3;
const POLL_INTERVAL: Duration = Duration::from_millis(10);

const CARRIED_OUT: &str = r#"{"level":"INFO","message":"fleet carried out","copy":7,"life":*,"at":*,"duty":"shift/south","token":5,"number":1,"part":625}"#;
const REFUSED: &str = r#"{"level":"WARN","message":"fleet refused: the order's token Token(4) is below Token(5)","copy":7,"life":*,"at":*,"duty":"shift/south","token":4}"#;
const HOLDS: &str = r#"{"level":"INFO","message":"fleet holds","copy":3,"life":*,"at":*,"duty":"freeze/coordinator","token":1}"#;
const LOST: &str = r#"{"level":"INFO","message":"fleet lost","copy":3,"life":*,"at":*,"duty":"freeze/coordinator","token":1}"#;

/// What was logged, in the form of the program's own log.
#[derive(Clone, Default)]
struct Log(Arc<Mutex<Vec<u8>>>);

impl Write for Log {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("no writer has failed").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Log {
    /// Takes the log of the whole process.
    fn install() -> Log {
        let log = Log::default();
        let writer = log.clone();
        let subscriber = tracing_subscriber::fmt().without_time().with_target(false);
        subscriber.json().flatten_event(true).with_writer(move || writer.clone()).init();
        log
    }

    /// The first line with such a message, without what is drawn anew at each start.
    fn wait_for(&self, message: &str) -> String {
        let part = format!("\"message\":\"{message}");
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            let text =
                String::from_utf8(self.0.lock().expect("no writer has failed").clone()).expect("it is text");
            if let Some(line) = text.lines().find(|line| line.contains(&part)) {
                return without_number(&without_number(line, "life"), "at");
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        let log = String::from_utf8_lossy(&self.0.lock().expect("no writer has failed")).into_owned();
        panic!("no line with {message}:\n{log}");
    }
}

/// A line with a star in place of a field's number.
fn without_number(line: &str, field: &str) -> String {
    let name = format!("\"{field}\":");
    let start = line.find(&name).unwrap_or_else(|| panic!("no field {field}: {line}")) + name.len();
    let digits = line[start..].bytes().take_while(u8::is_ascii_digit).count();
    assert!(digits > 0, "{field} is no number: {line}");
    format!("{}*{}", &line[..start], &line[start + digits..])
}

fn order(token: u64, number: u64) -> Frame {
    let duty = LeaseName::new("shift/south").expect("it is a name");
    Frame::FencedCommand(FencedCommand {
        lease: duty,
        token: FencingToken(token),
        sequence: number,
        valid_for: 60_000,
        value: 625,
        fallback: 1_000,
    })
}

/// Three replicas. Without sites there is one lease, and one of them takes it; they share a number, so that it is no matter
/// which.
fn replicas(folder: &TempDir) -> Vec<CoordinationHandle> {
    let free = [(); REPLICAS].map(|()| TcpListener::bind("127.0.0.1:0").expect("a port"));
    let addresses = free.each_ref().map(|listener| listener.local_addr().expect("an address").to_string());
    drop(free);
    let start = |slot: usize| {
        let (listen, disk) = (&addresses[slot], folder.path().display());
        let text = format!(
            "[fleet]\nname = \"shop\"\nkeepers = {addresses:?}\nkeeper = {slot}\nlisten = {listen:?}\ndisk = \"{disk}\"\n"
        );
        let settings = settings::read(&text).expect("it is read").expect("there is one");
        let place = InstanceLocation { rank: 3, site: "north".into(), sites: Vec::new() };
        let (handle, _hints) = start(settings, place).expect("it starts");
        handle
    };
    (0..REPLICAS).map(start).collect()
}

#[test]
fn leases_and_orders_are_logged_with_the_same_words_and_fields() {
    let log = Log::install();

    let (handle, mut connection, _) = follower();
    let read_request = |frame| if let Frame::Read { number } = frame { Some(number) } else { None };
    let (_, number) = connection.receive_until(read_request);
    connection.send(&Frame::ReadIndex { number, index: common::INDEX });
    // Until the answer has come, orders are rejected.
    let end = Instant::now() + PATIENCE;
    let is_open = || handle.admin_command("FLEET").expect("it is for the fleet").blocking_recv();
    while !is_open().expect("it is answered").contains("gates open") {
        assert!(Instant::now() < end, "it does not take orders");
        std::thread::sleep(POLL_INTERVAL);
    }
    connection.send(&order(5, 1));
    connection.send(&order(4, 2));
    assert_eq!(log.wait_for("fleet carried out"), CARRIED_OUT);
    assert_eq!(log.wait_for("fleet refused"), REFUSED);

    let folder = tempfile::tempdir().expect("a folder");
    let replicas = replicas(&folder);
    assert_eq!(log.wait_for("fleet holds"), HOLDS);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("it is built");
    for replica in &replicas {
        runtime.block_on(replica.release_leases());
    }
    assert_eq!(log.wait_for("fleet lost"), LOST);
}
