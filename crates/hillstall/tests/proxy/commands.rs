//! The command line, reloads of the operator file, the log, and the start of coordination.

use super::*;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// An operator file that sets every key to a valid value other than its default; `calls` and `park` set
/// `log.calls` and `callers.park`.
fn operator_file(calls: &str, park: &str) -> String {
    format!(
        "[log]\nformat = \"json\"\nlevel = \"debug\"\ncalls = {calls}\n[callers]\nidle = \"20s\"\n\
         request_time = \"21s\"\nrequest_step = \"17KiB\"\ncome_back = \"501ms\"\npark = \"{park}\"\n\
         [messages]\nheld = \"65KiB\"\nlongest = \"33MiB\"\nread_ahead = \"17KiB\"\nstall = \"6s\"\n\
         system_buffer = \"129KiB\"\n[servers]\nanswer_time = \"9s\"\nanswer_hold = \"101ms\"\n\
         [pool]\nrest = \"3ms\"\nkept = 65\nwaits = 4\n[drain]\nnotice = \"401ms\"\nrest = \"251ms\"\n"
    )
}

/// An operator file and the log of the proxy that uses it.
struct Files {
    _folder: tempfile::TempDir,
    operator: PathBuf,
    log: PathBuf,
}

impl Files {
    fn new(operator: &str) -> Files {
        let folder = tempfile::tempdir().expect("a folder");
        let (file, log) = (folder.path().join("operator.toml"), folder.path().join("log"));
        std::fs::write(&file, operator).expect("the write succeeds");
        Files { _folder: folder, operator: file, log }
    }

    fn start(&self, config: &str) -> Proxy {
        let (operator, log) = (self.operator.display(), self.log.display());
        let line = format!("exec \"$0\" run --operator {operator} 2>{log}");
        Proxy::start_with_shell(&line, config)
    }

    fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

fn discovery_of(backend: &Backend) -> Discovery {
    Discovery::start(Some(endpoint_list(5, true, &[endpoint("b0", backend.address, "ready")])))
}

/// The configuration of a proxy that uses this discovery service.
fn config_with(discovery: &Discovery) -> String {
    platform_config(discovery.address, &endpoint_list(0, true, &[]))
}

/// Runs the program with `NODE_CONFIG` and `HILLSTALL_OPERATOR_FILE` unset.
fn hillstall(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hillstall"));
    command.args(arguments).env_remove("NODE_CONFIG").env_remove("HILLSTALL_OPERATOR_FILE");
    command.output().expect("the program runs")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// The access log record of a request, among the log lines of other parts.
fn access_log_record(log: &str, id: &str) -> Option<String> {
    let id = format!("\"{id}\"");
    let mut records = log.lines().filter(|line| line.contains("hillstall::call"));
    records.find(|line| line.contains(&id)).map(str::to_owned)
}

#[test]
fn reload_with_one_invalid_key_keeps_all_old_settings() {
    let backend = Backend::answering(OK);
    let discovery = discovery_of(&backend);
    let files = Files::new(&operator_file("false", "50ms"));
    let proxy = files.start(&config_with(&discovery));
    let hup = |text: &str| {
        std::fs::write(&files.operator, text).expect("the write succeeds");
        proxy.signal("-HUP");
    };
    // Only `callers.park` is invalid. If `log.calls` was applied, the next request would be logged.
    hup(&operator_file("true", "51"));
    wait_until("the problem is logged with line and key", || {
        files.log().contains("operator.toml:10: callers.park: ")
    });
    assert_eq!(proxy.request(&build_request("read", "a1", 20_000, "")).status(), 200);
    hup(&operator_file("true", "51ms"));
    let mut n = 0;
    wait_until("requests are logged", || {
        n += 1;
        assert_eq!(proxy.request(&build_request("read", &format!("b{n}"), 20_000, "")).status(), 200);
        files.log().contains("hillstall::call")
    });
    assert_eq!(access_log_record(&files.log(), "a1"), None, "a key of the invalid file was applied");
}

#[test]
fn access_log_record_has_server_attempts_end_and_phases() {
    let first = Backend::answering(OK);
    let discovery = discovery_of(&first);
    let files = Files::new(&operator_file("true", "50ms"));
    let proxy = files.start(&config_with(&discovery));
    assert_eq!(proxy.request(&build_request("read", "served-1", 20_000, "")).status(), 200);
    wait_until("the record is written", || access_log_record(&files.log(), "served-1").is_some());
    let line = access_log_record(&files.log(), "served-1").expect("a record");
    let record: serde_json::Value = serde_json::from_str(&line).expect("one JSON object per line");
    assert_eq!(record["class"], "read");
    assert_eq!(record["end"], "served");
    assert_eq!(record["server"], first.address.to_string());
    assert_eq!((record["attempts"].as_u64(), record["status"].as_u64()), (Some(1), Some(200)));
    for phase in ["read_ms", "decide_ms", "earlier_ms", "last_ms", "write_ms"] {
        assert!(record[phase].as_f64().is_some_and(|ms| ms >= 0.0), "{phase} in {line}");
    }
}

#[test]
fn malformed_discovery_message_is_logged_and_leaves_the_list_in_use() {
    let backend = Backend::answering(OK);
    let discovery = discovery_of(&backend);
    let files = Files::new("");
    let proxy = files.start(&config_with(&discovery).replace("\"automatic\"", "\"subscribe\""));
    assert_eq!(proxy.request(&build_request("read", "a1", 20_000, "")).status(), 200);
    wait_until("the reason is logged", || {
        discovery.send_to_watches("{\"index\":6,\"snapshot\":true,\"endpoints\":[{\"name\":");
        files.log().contains("discovery watch: invalid endpoint list")
    });
    assert_eq!(
        proxy.request(&build_request("read", "a2", 20_000, "")).status(),
        200,
        "the last valid list is still in use"
    );
}

#[test]
fn blocked_log_reader_does_not_delay_requests() {
    let backend = Backend::answering(OK);
    let discovery = discovery_of(&backend);
    // Standard error is a pipe that nobody reads; a few hundred records fill it, and the rest the queue of
    // the log.
    let line = "exec \"$0\" --set log.calls=true --set callers.idle=60s";
    let mut proxy = Proxy::start_with_shell(line, &config_with(&discovery));
    let mut kept = connect_and_send(proxy.address, &build_request("read", "k", 20_000, ""));
    assert_eq!(read_response(&kept).expect("a response").status(), 200);
    for n in 0..3_000 {
        kept.write_all(build_request("read", &format!("k{n}"), 20_000, "").as_bytes()).expect("it is open");
        assert_eq!(read_response(&kept).expect("a response").status(), 200);
    }
    proxy.terminate();
    assert!(proxy.wait().success(), "the shutdown is not delayed either");
}

#[test]
fn check_and_config_show_have_the_documented_exit_codes() {
    let files = Files::new("[pool]\nrest = \"3ms\"\nkpet = 5\nkept = 0\n");
    let file = files.operator.to_str().expect("text");
    let invalid = hillstall(&["check", file]);
    assert_eq!(invalid.status.code(), Some(3));
    assert!(stdout(&invalid)
        .contains(&format!("{file}:3: pool.kpet: there is no such key; did you mean pool.kept?")));
    assert!(stdout(&invalid).contains(&format!("{file}:4: pool.kept: 0 is out of bounds")));
    let started = hillstall(&["run", "--operator", file]);
    assert_eq!(started.status.code(), Some(3), "the proxy does not start with an invalid file");
    let shown = hillstall(&["config", "show", "--set", "pool.rest=7ms", "--json"]);
    let shown: serde_json::Value = serde_json::from_slice(&shown.stdout).expect("JSON");
    assert_eq!((&shown["pool.rest"]["value"], &shown["pool.rest"]["from"]), (&"7ms".into(), &"--set".into()));
    assert_eq!(hillstall(&["check"]).status.code(), Some(2));
    assert_eq!(hillstall(&["check", "/nowhere/x.toml"]).status.code(), Some(3));
    assert!(stdout(&hillstall(&["--version"])).starts_with("hillstall "));
    assert!(stdout(&hillstall(&["completions", "bash"])).contains("hillstall"));
}

#[test]
fn lab_prints_a_table_and_rejects_invalid_scenarios() {
    let files = Files::new("name = \"no scenario\"\nlenght = \"4s\"\n");
    let run = hillstall(&["lab", "sweep", "one-hangs", "--vary", "load.of_capacity=0.3,0.4", "--seeds", "1"]);
    assert_eq!(run.status.code(), Some(0), "{}", stdout(&run));
    assert_eq!(stdout(&run).matches("| hillstall load.of_capacity=0.").count(), 2, "{}", stdout(&run));
    let file = files.operator.to_str().expect("text");
    for invalid in [&["lab", "run", file][..], &["lab", "run", "/nowhere"], &["lab", "report", "/nowhere"]] {
        assert_eq!(hillstall(invalid).status.code(), Some(3), "{invalid:?}");
    }
    assert_eq!(hillstall(&["lab", "run", "--policy", "guess"]).status.code(), Some(2));
}

#[test]
fn operator_file_of_the_repository_is_valid_and_has_every_key() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/hillstall.toml");
    let text = std::fs::read_to_string(&file).expect("the operator file is there");
    let all = hillstall(&["config", "show", "--json"]);
    let all: serde_json::Map<String, serde_json::Value> = serde_json::from_slice(&all.stdout).expect("JSON");
    // The keys are commented out with their defaults. With all of them in force the file must be valid, and
    // all values must equal the defaults.
    let files = Files::new(&text.lines().map(|line| uncommented(line) + "\n").collect::<String>());
    let operator = files.operator.to_str().expect("text");
    assert_eq!(stdout(&hillstall(&["check", operator])), format!("{operator}: good\n"));
    let shown = hillstall(&["config", "show", "--json", "--operator", operator]);
    let shown: serde_json::Value = serde_json::from_slice(&shown.stdout).expect("JSON");
    for (key, entry) in all {
        assert_eq!(shown[&key]["value"], entry["value"], "{key}");
        assert!(
            shown[&key]["from"].as_str().is_some_and(|from| from.starts_with(operator)),
            "{key} is missing from the file"
        );
    }
}

/// Uncomments a line of the form `#name = value`, which states a default.
fn uncommented(line: &str) -> String {
    match line.strip_prefix('#') {
        Some(rest) if !rest.starts_with(' ') && rest.contains(" = ") => rest.to_string(),
        _ => line.to_string(),
    }
}

#[test]
fn demo_serves_the_request_that_it_suggests() {
    let port = ReservedPort::take().expect("a port");
    let address = port.address();
    let mut child = Command::new(env!("CARGO_BIN_EXE_hillstall"))
        .args(["demo", "--listen", &address.to_string()])
        .stderr(std::process::Stdio::null())
        .spawn()
        .expect("the process starts");
    let request = "GET /api/lantern HTTP/1.1\r\nHost: d\r\nRequest-Id: a1\r\nRequest-Class: browse\r\n\
                   Request-Timeout-Ms: 1000\r\n\r\n";
    wait_until("the demo serves", || {
        try_request(address, request)
            .is_some_and(|message| message.status() == 200 && message.body.starts_with(b"{"))
    });
    child.kill().and_then(|()| child.wait()).expect("the demo ends");
}

/// The section `[fleet]` of a fleet whose only replica is this instance.
fn single_replica_section(listen: SocketAddr, disk: &Path) -> String {
    let disk = disk.display();
    format!("[fleet]\nname = \"one\"\nkeepers = [\"{listen}\"]\nkeeper = 0\nlisten = \"{listen}\"\ndisk = \"{disk}\"\n")
}

#[test]
fn coordination_without_peer_permission_has_no_thread_or_socket() {
    let backend = Backend::answering(OK);
    let discovery = discovery_of(&backend);
    let without_permission = config_with(&discovery);
    let allowed = without_permission.replacen("\"Allowed\":{", "\"Allowed\":{\"Peers\":true,", 1);
    let threads_without_section = Files::new("").start(&without_permission).threads().len();
    let folder = tempfile::tempdir().expect("a folder");
    let (listener, listen) = bind_free_port();
    drop(listener);
    let files = Files::new(&single_replica_section(listen, folder.path()));
    let proxy = files.start(&without_permission);
    let threads = proxy.threads();
    assert!(
        threads.len() == threads_without_section && !threads.contains(&"fleet".to_owned()),
        "without permission: {threads:?}"
    );
    assert!(TcpStream::connect(listen).is_err(), "the address of the replica is in use");
    wait_until("the log says that messages are not allowed", || {
        files.log().contains("does not allow messages between instances")
    });
    drop(proxy);
    let proxy = files.start(&allowed);
    wait_until("the replica listens", || TcpStream::connect(listen).is_ok());
    assert!(proxy.threads().len() == threads_without_section + 1, "{:?}", proxy.threads());
    let answer = proxy.request(&build_request("read", "r1", 1_000, ""));
    assert_eq!(answer.status(), 200);
}

#[test]
fn replica_without_its_folder_does_not_start_and_names_it() {
    let backend = Backend::answering(OK);
    let discovery = discovery_of(&backend);
    let allowed = config_with(&discovery).replacen("\"Allowed\":{", "\"Allowed\":{\"Peers\":true,", 1);
    let files = Files::new(&single_replica_section(
        "127.0.0.1:1".parse().expect("an address"),
        Path::new("/nowhere/here"),
    ));
    let line = format!("exec \"$0\" run --operator {}", files.operator.display());
    let output = proxy_command(&line, &allowed, "127.0.0.1:0".parse().expect("an address"))
        .0
        .output()
        .expect("the program runs");
    let log = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success() && log.contains("fleet.disk") && log.contains("/nowhere/here"), "{log}");
}

#[test]
fn check_reports_problems_of_the_fleet_section() {
    let files = Files::new(
        "[fleet]\nname = \"shop\"\nkeepers = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\nterm = \"9ms\"\n",
    );
    let output = hillstall(&["check", &files.operator.display().to_string()]);
    let problems = stdout(&output);
    let at = |line: usize, key: &str| {
        problems.contains(&format!("{}:{line}: fleet.{key}: ", files.operator.display()))
    };
    assert!(output.status.code() == Some(3) && at(3, "keepers") && at(4, "term"), "{problems}");
}
