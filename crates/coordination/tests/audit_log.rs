//! The audit lines on leases and fenced commands. Other programs read their messages and field names, so both
//! must not change.

mod common;

use common::start_follower;
use hillstall_consensus::frame::Frame;
use hillstall_coordination::{settings, start, CoordinationHandle, InstanceLocation};
use hillstall_lease::fencing::FencedCommand;
use hillstall_lease::{FencingToken, LeaseName};
use std::io::Write;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Maximum wait for a log line, long enough for a busy machine; only a failing test waits this long.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const REPLICAS: usize = 3;
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The expected lines; `*` stands for a number that differs from run to run.
const COMMAND_APPLIED_LINE: &str = r#"{"level":"INFO","message":"fleet carried out","copy":7,"life":*,"at":*,"duty":"shift/south","token":5,"number":1,"part":625}"#;
const COMMAND_REJECTED_LINE: &str = r#"{"level":"WARN","message":"fleet refused: the order's token Token(4) is below Token(5)","copy":7,"life":*,"at":*,"duty":"shift/south","token":4}"#;
const LEASE_ACQUIRED_LINE: &str = r#"{"level":"INFO","message":"fleet holds","copy":3,"life":*,"at":*,"duty":"freeze/coordinator","token":1}"#;
const LEASE_LOST_LINE: &str = r#"{"level":"INFO","message":"fleet lost","copy":3,"life":*,"at":*,"duty":"freeze/coordinator","token":1}"#;

/// Collects the log lines in the JSON format that the proxy uses.
#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("the mutex is not poisoned").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl LogBuffer {
    /// Installs a buffer as the log of the whole process.
    fn install() -> LogBuffer {
        let log = LogBuffer::default();
        let writer = log.clone();
        let subscriber = tracing_subscriber::fmt().without_time().with_target(false);
        subscriber.json().flatten_event(true).with_writer(move || writer.clone()).init();
        log
    }

    /// Waits for the first line whose message begins with `message`, and replaces the values that differ from
    /// run to run by `*`.
    fn wait_for(&self, message: &str) -> String {
        let pattern = format!("\"message\":\"{message}");
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            let text = String::from_utf8(self.0.lock().expect("the mutex is not poisoned").clone())
                .expect("the log is UTF-8");
            if let Some(line) = text.lines().find(|line| line.contains(&pattern)) {
                return without_number(&without_number(line, "life"), "at");
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        let log = String::from_utf8_lossy(&self.0.lock().expect("the mutex is not poisoned")).into_owned();
        panic!("no line with {message:?} within {WAIT_TIMEOUT:?}:\n{log}");
    }
}

/// Replaces the number in a field of a line by `*`.
fn without_number(line: &str, field: &str) -> String {
    let name = format!("\"{field}\":");
    let start = line.find(&name).unwrap_or_else(|| panic!("no field {field}: {line}")) + name.len();
    let digits = line[start..].bytes().take_while(u8::is_ascii_digit).count();
    assert!(digits > 0, "{field} is not a number: {line}");
    format!("{}*{}", &line[..start], &line[start + digits..])
}

fn fenced_command(token: u64, sequence: u64) -> Frame {
    let lease = LeaseName::new("shift/south").expect("a valid lease name");
    Frame::FencedCommand(FencedCommand {
        lease,
        token: FencingToken(token),
        sequence,
        valid_for: 60_000,
        value: 625,
        fallback: 1_000,
    })
}

/// Starts three replicas. As there are no sites, only the coordinator's lease exists, and any of the replicas
/// may acquire it. They share a rank, so that the log line is the same for each of them.
fn start_replicas(directory: &TempDir) -> Vec<CoordinationHandle> {
    let listeners = [(); REPLICAS].map(|()| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    let addresses =
        listeners.each_ref().map(|listener| listener.local_addr().expect("an address").to_string());
    drop(listeners);
    let start = |slot: usize| {
        let (listen, disk) = (&addresses[slot], directory.path().display());
        let text = format!(
            "[fleet]\nname = \"shop\"\nkeepers = {addresses:?}\nkeeper = {slot}\nlisten = {listen:?}\ndisk = \"{disk}\"\n"
        );
        let settings = settings::read(&text).expect("a valid section").expect("a section [fleet]");
        let location = InstanceLocation { rank: 3, site: "north".into(), sites: Vec::new() };
        let (handle, _advisories) = start(settings, location).expect("coordination starts");
        handle
    };
    (0..REPLICAS).map(start).collect()
}

#[test]
fn events_of_leases_and_fenced_commands_keep_their_messages_and_fields() {
    let log = LogBuffer::install();

    let (handle, mut connection, _) = start_follower();
    let read_request = |frame| if let Frame::Read { number } = frame { Some(number) } else { None };
    let (_, number) = connection.receive_until(read_request);
    connection.send(&Frame::ReadIndex { number, index: common::INDEX });
    // The follower rejects fenced commands until it has processed the answer.
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let status = || handle.admin_command("FLEET").expect("a coordination command").blocking_recv();
    while !status().expect("an answer").contains("gates open") {
        assert!(Instant::now() < deadline, "the follower does not accept fenced commands");
        std::thread::sleep(POLL_INTERVAL);
    }
    connection.send(&fenced_command(5, 1));
    connection.send(&fenced_command(4, 2));
    assert_eq!(log.wait_for("fleet carried out"), COMMAND_APPLIED_LINE);
    assert_eq!(log.wait_for("fleet refused"), COMMAND_REJECTED_LINE);

    let directory = tempfile::tempdir().expect("a temporary directory");
    let replicas = start_replicas(&directory);
    assert_eq!(log.wait_for("fleet holds"), LEASE_ACQUIRED_LINE);
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("an async runtime");
    for replica in &replicas {
        runtime.block_on(replica.release_leases());
    }
    assert_eq!(log.wait_for("fleet lost"), LEASE_LOST_LINE);
}
