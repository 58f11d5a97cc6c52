//! `check` of the platform's file: every problem at once, with its line and key.

use hillstall::platform::find_problems;
use hillstall_simulation::site;
use std::net::{Ipv4Addr, SocketAddr};

fn problems(text: &str) -> Vec<String> {
    let file = tempfile::NamedTempFile::new().expect("a file");
    std::fs::write(file.path(), text).expect("it is written");
    let before = format!("{}:", file.path().display());
    find_problems(file.path()).iter().map(|t| t.strip_prefix(&before).unwrap_or(t).to_string()).collect()
}

fn good() -> String {
    let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let config =
        site::config(nowhere, nowhere, &[nowhere], site::ProcessLimits { sockets: 64, memory_mb: 64 });
    serde_json::to_string_pretty(&config).expect("it is JSON")
}

#[test]
fn a_good_file_has_no_faults() {
    assert_eq!(problems(&good()), Vec::<String>::new());
}

#[test]
fn all_faults_are_told_at_once_with_line_and_key() {
    let text = good()
        .replace("\"discovery\": \"127.0.0.1:1\"", "\"discovery\": \"nowhere\"")
        .replace("\"HardLimit\": 1500", "\"HardLimit\": -1500")
        .replace("\"Cold\": 8400", "\"Cold\": \"8400\"")
        .replace("8c1f30d27a5be964", "8c1f30d27a5be96z")
        .replace("\"status\": \"ready\"", "\"status\": 7")
        .replace("\"sockets\": 64", "\"sockets\": -64");
    let problems = problems(&text);
    let line = |part: &str| text.lines().position(|l| l.contains(part)).expect(part) + 1;
    let expected = [
        (line("nowhere"), "discovery: "),
        (line("-1500"), "settings.Classes[1].HardLimit: -1500 is out of range: it must be above 0"),
        (line("\"8400\""), "settings.Rules.Cold: "),
        (line("be96z"), "seed: "),
        (line("\"status\": 7"), "known.endpoints[0].status: "),
        (line("\"sockets\": -64"), "limits.sockets: -64"),
    ];
    for (line, what) in expected {
        assert!(
            problems.iter().any(|t| t.starts_with(&format!("{line}: {what}"))),
            "{line}: {what} in {problems:#?}"
        );
    }
    assert_eq!(problems.len(), expected.len(), "{problems:#?}");
}

#[test]
fn what_no_key_alone_tells_and_what_is_no_json_is_told_too() {
    assert!(problems(&good().replace("\"seed\"", "\"sead\""))[0].contains("seed"));
    assert!(problems("{\n\"listen\": 1,\n").iter().any(|t| t.starts_with("3: ") || t.starts_with("2: ")));
}

proptest::proptest! {
    #[test]
    fn any_json_can_be_looked_at(n in 0usize..400, with in "[0-9\"a-z{}\\[\\],:]{0,3}") {
        let mut text = good();
        let at = n.min(text.len() - 1);
        text.replace_range(at..at + 1, &with);
        let _ = problems(&text);
    }
}
