//! The command line, the operator file under load, and the log.

use super::*;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Every key with a good value that is not its default; `calls` and `park` as they are wanted.
fn operator_file(calls: &str, park: &str) -> String {
    format!(
        "[log]\nformat = \"json\"\nlevel = \"debug\"\ncalls = {calls}\n[callers]\nidle = \"20s\"\n\
         request_time = \"21s\"\nrequest_step = \"17KiB\"\ncome_back = \"501ms\"\npark = \"{park}\"\n\
         [messages]\nheld = \"65KiB\"\nlongest = \"33MiB\"\nread_ahead = \"17KiB\"\nstall = \"6s\"\n\
         system_buffer = \"129KiB\"\n[servers]\nanswer_time = \"9s\"\nanswer_hold = \"101ms\"\n\
         [pool]\nrest = \"3ms\"\nkept = 65\nwaits = 4\n[drain]\nnotice = \"401ms\"\nrest = \"251ms\"\n"
    )
}

struct Files {
    _folder: tempfile::TempDir,
    operator: PathBuf,
    log: PathBuf,
}

impl Files {
    fn new(operator: &str) -> Files {
        let folder = tempfile::tempdir().expect("a folder");
        let (file, log) = (folder.path().join("operator.toml"), folder.path().join("log"));
        std::fs::write(&file, operator).expect("it is written");
        Files { _folder: folder, operator: file, log }
    }

    fn start(&self, config: &str) -> Proxy {
        let (operator, log) = (self.operator.display(), self.log.display());
        let line = format!("exec \"$0\" run --operator {operator} 2>{log}");
        Proxy::start_by(&line, config)
    }

    fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

fn served_by(backend: &Backend) -> Discovery {
    Discovery::start(Some(list(5, true, &[entry("b0", backend.address, "ready")])))
}

fn told_by(discovery: &Discovery) -> String {
    config(discovery.address, &list(0, true, &[]))
}

fn hillstall(words: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hillstall"));
    command.args(words).env_remove("NODE_CONFIG").env_remove("HILLSTALL_OPERATOR_FILE");
    command.output().expect("it runs")
}

fn out(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn a_reload_with_one_wrong_key_keeps_the_old_settings_whole() {
    let backend = Backend::saying(OK);
    let discovery = served_by(&backend);
    let files = Files::new(&operator_file("false", "50ms"));
    let proxy = files.start(&told_by(&discovery));
    let hup = |text: &str| {
        std::fs::write(&files.operator, text).expect("it is written");
        proxy.signal("-HUP");
    };
    // All but one are right, and `calls` would be seen at once.
    hup(&operator_file("true", "51"));
    until("the fault is told with line and key", || files.log().contains("operator.toml:10: callers.park: "));
    assert_eq!(proxy.call(&ask("read", "a1", 20_000, "")).status(), 200);
    hup(&operator_file("true", "51ms"));
    let mut n = 0;
    until("calls are recorded", || {
        n += 1;
        assert_eq!(proxy.call(&ask("read", &format!("b{n}"), 20_000, "")).status(), 200);
        files.log().contains("hillstall::call")
    });
    assert!(!files.log().contains("\"a1\""), "no key of the wrong file was taken");
}

#[test]
fn a_record_of_a_call_tells_server_attempts_end_and_phases() {
    let first = Backend::saying(OK);
    let discovery = served_by(&first);
    let files = Files::new(&operator_file("true", "50ms"));
    let proxy = files.start(&told_by(&discovery));
    assert_eq!(proxy.call(&ask("read", "served-1", 20_000, "")).status(), 200);
    until("the record is written", || files.log().contains("served-1"));
    let log = files.log();
    let line = log.lines().find(|line| line.contains("served-1")).expect("a record");
    let record: serde_json::Value = serde_json::from_str(line).expect("one JSON object a line");
    assert_eq!(record["class"], "read");
    assert_eq!(record["end"], "served");
    assert_eq!(record["server"], first.address.to_string());
    assert_eq!((record["attempts"].as_u64(), record["status"].as_u64()), (Some(1), Some(200)));
    for phase in ["read_ms", "decide_ms", "earlier_ms", "last_ms", "write_ms"] {
        assert!(record[phase].as_f64().is_some_and(|ms| ms >= 0.0), "{phase} in {line}");
    }
}

#[test]
fn why_a_watch_ended_is_told_and_garbled_words_leave_the_list_as_it_is() {
    let backend = Backend::saying(OK);
    let discovery = served_by(&backend);
    let files = Files::new("");
    let proxy = files.start(&told_by(&discovery).replace("\"automatic\"", "\"subscribe\""));
    assert_eq!(proxy.call(&ask("read", "a1", 20_000, "")).status(), 200);
    until("the reason is told", || {
        discovery.say("{\"index\":6,\"snapshot\":true,\"endpoints\":[{\"name\":");
        files.log().contains("discovery watch: garbled list")
    });
    assert_eq!(proxy.call(&ask("read", "a2", 20_000, "")).status(), 200, "the list held is still of use");
}

#[test]
fn a_reader_of_the_log_that_stops_holds_no_call_up() {
    let backend = Backend::saying(OK);
    let discovery = served_by(&backend);
    // Its standard error is a pipe that nobody reads: some hundred records fill it and the queue before it.
    let line = "exec \"$0\" --set log.calls=true --set callers.idle=60s";
    let mut proxy = Proxy::start_by(line, &told_by(&discovery));
    let mut kept = open(proxy.address, &ask("read", "k", 20_000, ""));
    assert_eq!(answer(&kept).expect("an answer").status(), 200);
    for n in 0..3_000 {
        kept.write_all(ask("read", &format!("k{n}"), 20_000, "").as_bytes()).expect("it is open");
        assert_eq!(answer(&kept).expect("an answer").status(), 200);
    }
    proxy.terminate();
    assert!(proxy.wait().success(), "nor does it hold up the end");
}

#[test]
fn files_are_checked_and_shown_with_the_codes_that_are_documented() {
    let files = Files::new("[pool]\nrest = \"3ms\"\nkpet = 5\nkept = 0\n");
    let file = files.operator.to_str().expect("text");
    let wrong = hillstall(&["check", file]);
    assert_eq!(wrong.status.code(), Some(3));
    assert!(
        out(&wrong).contains(&format!("{file}:3: pool.kpet: there is no such key; did you mean pool.kept?"))
    );
    assert!(out(&wrong).contains(&format!("{file}:4: pool.kept: 0 is out of bounds")));
    let started = hillstall(&["run", "--operator", file]);
    assert_eq!(started.status.code(), Some(3), "it does not start on a wrong file");
    let shown = hillstall(&["config", "show", "--set", "pool.rest=7ms", "--json"]);
    let shown: serde_json::Value = serde_json::from_slice(&shown.stdout).expect("JSON");
    assert_eq!((&shown["pool.rest"]["value"], &shown["pool.rest"]["from"]), (&"7ms".into(), &"--set".into()));
    assert_eq!(hillstall(&["check"]).status.code(), Some(2));
    assert_eq!(hillstall(&["check", "/nowhere/x.toml"]).status.code(), Some(3));
    assert!(out(&hillstall(&["--version"])).starts_with("hillstall "));
    assert!(out(&hillstall(&["completions", "bash"])).contains("hillstall"));
}

#[test]
fn experiments_print_a_table_and_wrong_scenarios_are_told() {
    let files = Files::new("name = \"no scenario\"\nlenght = \"4s\"\n");
    let run = hillstall(&["lab", "sweep", "one-hangs", "--vary", "load.of_capacity=0.3,0.4", "--seeds", "1"]);
    assert_eq!(run.status.code(), Some(0), "{}", out(&run));
    assert_eq!(out(&run).matches("| hillstall load.of_capacity=0.").count(), 2, "{}", out(&run));
    let file = files.operator.to_str().expect("text");
    for wrong in [&["lab", "run", file][..], &["lab", "run", "/nowhere"], &["lab", "report", "/nowhere"]] {
        assert_eq!(hillstall(wrong).status.code(), Some(3), "{wrong:?}");
    }
    assert_eq!(hillstall(&["lab", "run", "--policy", "guess"]).status.code(), Some(2));
}

#[test]
fn the_operator_file_of_the_repository_is_good_and_names_every_key() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/hillstall.toml");
    let text = std::fs::read_to_string(&file).expect("it is there");
    let all = hillstall(&["config", "show", "--json"]);
    let all: serde_json::Map<String, serde_json::Value> = serde_json::from_slice(&all.stdout).expect("JSON");
    // With every key in force it still is good, and says what is the default anyway.
    let files = Files::new(&text.lines().map(|l| in_force(l) + "\n").collect::<String>());
    let operator = files.operator.to_str().expect("text");
    assert_eq!(out(&hillstall(&["check", operator])), format!("{operator}: good\n"));
    let shown = hillstall(&["config", "show", "--json", "--operator", operator]);
    let shown: serde_json::Value = serde_json::from_slice(&shown.stdout).expect("JSON");
    for (key, entry) in all {
        assert_eq!(shown[&key]["value"], entry["value"], "{key}");
        assert!(
            shown[&key]["from"].as_str().is_some_and(|from| from.starts_with(operator)),
            "{key} is not in it"
        );
    }
}

/// A line with its key in force: `#name = value` stands for a default.
fn in_force(line: &str) -> String {
    match line.strip_prefix('#') {
        Some(rest) if !rest.starts_with(' ') && rest.contains(" = ") => rest.to_string(),
        _ => line.to_string(),
    }
}

#[test]
fn the_demo_serves_what_a_newcomer_asks() {
    let (listener, address) = listen();
    drop(listener);
    let mut child = Command::new(env!("CARGO_BIN_EXE_hillstall"))
        .args(["demo", "--listen", &address.to_string()])
        .stderr(std::process::Stdio::null())
        .spawn()
        .expect("it starts");
    let request = "GET /api/lantern HTTP/1.1\r\nHost: d\r\nRequest-Id: a1\r\nRequest-Class: browse\r\n\
                   Request-Timeout-Ms: 1000\r\n\r\n";
    until("the demo serves", || {
        try_call(address, request).is_some_and(|m| m.status() == 200 && m.body.starts_with(b"{"))
    });
    child.kill().and_then(|()| child.wait()).expect("it ends");
}

/// The section of a fleet with one keeper, which is this copy.
fn fleet_of_one(listen: SocketAddr, disk: &Path) -> String {
    let disk = disk.display();
    format!("[fleet]\nname = \"one\"\nkeepers = [\"{listen}\"]\nkeeper = 0\nlisten = \"{listen}\"\ndisk = \"{disk}\"\n")
}

#[test]
fn without_leave_to_talk_there_is_no_thread_and_no_socket_of_the_fleet() {
    let backend = Backend::saying(OK);
    let discovery = served_by(&backend);
    let barred = told_by(&discovery);
    let allowed = barred.replacen("\"Allowed\":{", "\"Allowed\":{\"Peers\":true,", 1);
    let plain = Files::new("").start(&barred).threads().len();
    let folder = tempfile::tempdir().expect("a folder");
    let (listener, listen) = listen();
    drop(listener);
    let files = Files::new(&fleet_of_one(listen, folder.path()));
    let proxy = files.start(&barred);
    let threads = proxy.threads();
    assert!(threads.len() == plain && !threads.contains(&"fleet".to_owned()), "barred: {threads:?}");
    assert!(TcpStream::connect(listen).is_err(), "nobody listens");
    until("it is told once", || files.log().contains("does not allow messages between instances"));
    drop(proxy);
    let proxy = files.start(&allowed);
    until("it listens", || TcpStream::connect(listen).is_ok());
    assert!(proxy.threads().len() == plain + 1, "{:?}", proxy.threads());
    let answer = proxy.call(&ask("read", "r1", 1_000, ""));
    assert_eq!(answer.status(), 200);
}

#[test]
fn a_keeper_without_its_folder_does_not_start_and_says_why() {
    let backend = Backend::saying(OK);
    let discovery = served_by(&backend);
    let allowed = told_by(&discovery).replacen("\"Allowed\":{", "\"Allowed\":{\"Peers\":true,", 1);
    let files =
        Files::new(&fleet_of_one("127.0.0.1:1".parse().expect("an address"), Path::new("/nowhere/here")));
    let line = format!("exec \"$0\" run --operator {}", files.operator.display());
    let output =
        spawn(&line, &allowed, "127.0.0.1:0".parse().expect("an address")).0.output().expect("it runs");
    let told = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        !output.status.success() && told.contains("fleet.disk") && told.contains("/nowhere/here"),
        "{told}"
    );
}

#[test]
fn check_names_file_line_and_key_of_what_is_wrong_with_a_fleet() {
    let files = Files::new(
        "[fleet]\nname = \"shop\"\nkeepers = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\nterm = \"9ms\"\n",
    );
    let output = hillstall(&["check", &files.operator.display().to_string()]);
    let told = out(&output);
    let at = |line: usize, key: &str| {
        told.contains(&format!("{}:{line}: fleet.{key}: ", files.operator.display()))
    };
    assert!(output.status.code() == Some(3) && at(3, "keepers") && at(4, "term"), "{told}");
}
