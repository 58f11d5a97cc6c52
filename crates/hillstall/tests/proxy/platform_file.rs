//! `check` of the platform's file: the report of all problems with line and key.

use hillstall::platform::find_problems;
use hillstall_simulation::site;
use std::net::{Ipv4Addr, SocketAddr};

fn problems(text: &str) -> Vec<String> {
    let file = tempfile::NamedTempFile::new().expect("a file");
    std::fs::write(file.path(), text).expect("the write succeeds");
    let prefix = format!("{}:", file.path().display());
    find_problems(file.path())
        .iter()
        .map(|problem| problem.strip_prefix(&prefix).unwrap_or(problem).to_string())
        .collect()
}

fn valid_file() -> String {
    let placeholder = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let config = site::config(
        placeholder,
        placeholder,
        &[placeholder],
        site::ProcessLimits { sockets: 64, memory_mb: 64 },
    );
    serde_json::to_string_pretty(&config).expect("it is JSON")
}

#[test]
fn valid_file_has_no_problems() {
    assert_eq!(problems(&valid_file()), Vec::<String>::new());
}

#[test]
fn all_problems_are_reported_with_line_and_key() {
    let text = valid_file()
        .replace("\"discovery\": \"127.0.0.1:1\"", "\"discovery\": \"nowhere\"")
        .replace("\"HardLimit\": 1500", "\"HardLimit\": -1500")
        .replace("\"Cold\": 8400", "\"Cold\": \"8400\"")
        .replace("8c1f30d27a5be964", "8c1f30d27a5be96z")
        .replace("\"status\": \"ready\"", "\"status\": 7")
        .replace("\"sockets\": 64", "\"sockets\": -64");
    let problems = problems(&text);
    let line = |part: &str| text.lines().position(|line| line.contains(part)).expect(part) + 1;
    let expected = [
        (line("nowhere"), "discovery: "),
        (line("-1500"), "settings.Classes[1].HardLimit: -1500 is out of range: it must be above 0"),
        (line("\"8400\""), "settings.Rules.Cold: "),
        (line("be96z"), "seed: "),
        (line("\"status\": 7"), "known.endpoints[0].status: "),
        (line("\"sockets\": -64"), "limits.sockets: -64"),
    ];
    for (line, problem) in expected {
        assert!(
            problems.iter().any(|found| found.starts_with(&format!("{line}: {problem}"))),
            "{line}: {problem} in {problems:#?}"
        );
    }
    assert_eq!(problems.len(), expected.len(), "{problems:#?}");
}

#[test]
fn missing_keys_and_invalid_json_are_reported() {
    assert!(problems(&valid_file().replace("\"seed\"", "\"sead\""))[0].contains("seed"));
    assert!(problems("{\n\"listen\": 1,\n")
        .iter()
        .any(|problem| problem.starts_with("3: ") || problem.starts_with("2: ")));
}

proptest::proptest! {
    #[test]
    fn arbitrary_edits_do_not_panic(n in 0usize..400, with in "[0-9\"a-z{}\\[\\],:]{0,3}") {
        let mut text = valid_file();
        let at = n.min(text.len() - 1);
        text.replace_range(at..at + 1, &with);
        let _ = problems(&text);
    }
}
