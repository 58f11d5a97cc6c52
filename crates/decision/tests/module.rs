//! Checks of the source of the decision module: file and line length, documented constants, and the
//! references to the module in the deployment file and the on-call page.

use std::fs;
use std::path::Path;

/// Upper bound of the lines of a source file, exclusive.
const MAX_FILE_LINES: usize = 400;
/// Maximum number of characters in a line.
const MAX_LINE_WIDTH: usize = 110;
/// The files that contain only the module's interface and no decisions.
const INTERFACE: [&str; 5] = ["action.rs", "event.rs", "lib.rs", "settings.rs", "types.rs"];

/// Reads a file; the path is relative to the package.
fn read(path: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Returns the name and text of every source file of the module.
fn sources() -> Vec<(String, String)> {
    let sources = sources_in("src");
    assert!(sources.len() > INTERFACE.len());
    sources
}

/// Like [`sources`], and including the overload package, which the module calls.
fn all_sources() -> Vec<(String, String)> {
    let mut sources = sources();
    sources.extend(sources_in("../overload/src"));
    sources
}

fn sources_in(path: &str) -> Vec<(String, String)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
    let entries = fs::read_dir(folder).expect("the source folder");
    let names = entries.map(|entry| entry.expect("an entry").file_name().into_string().expect("a name"));
    let mut sources: Vec<_> = names.map(|name| (name.clone(), read(&format!("{path}/{name}")))).collect();
    sources.sort();
    sources
}

/// Strips the visibility from the beginning of a line.
fn without_visibility(line: &str) -> &str {
    line.strip_prefix("pub(crate) ").or_else(|| line.strip_prefix("pub ")).unwrap_or(line)
}

#[test]
fn source_files_keep_to_the_maximum_length_and_line_width() {
    for (name, text) in all_sources() {
        let lines = text.lines().count();
        assert!(lines < MAX_FILE_LINES, "{name} has {lines} lines");
        for (n, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= MAX_LINE_WIDTH, "line {} of {name} is too long", n + 1);
        }
    }
    let top: Vec<String> = read("src/balancer.rs").lines().take(3).map(String::from).collect();
    assert!(top.iter().any(|line| line.contains("src/event.rs")), "the interface must be named at the top");
}

#[test]
fn every_constant_has_a_doc_comment() {
    let mut constants = 0;
    for (name, text) in all_sources() {
        let lines: Vec<&str> = text.lines().collect();
        for (n, line) in lines.iter().enumerate() {
            if without_visibility(line).starts_with("const ") {
                constants += 1;
                assert!(n > 0 && lines[n - 1].starts_with("///"), "{name}: {line}");
            }
        }
    }
    assert!(constants >= 50, "{constants} constants found");
}

#[test]
fn the_deployment_file_lists_every_source_file_with_decisions() {
    let deployment = read("../../deploy/balancer.toml");
    let policy = deployment.lines().find(|line| line.starts_with("policy = ")).expect("a policy");
    for (name, _) in sources().iter().filter(|(name, _)| !INTERFACE.contains(&name.as_str())) {
        assert!(
            policy.contains(&format!("\"crates/decision/src/{name}\"")),
            "{name} is missing in the policy"
        );
    }
}

#[test]
fn log_lines_quoted_by_the_on_call_page_exist() {
    let page = read("../../docs/ONCALL.md");
    let text: String = sources().into_iter().map(|(_, text)| text).collect();
    let quoted: Vec<&str> = page.lines().filter_map(|l| l.strip_prefix("- `")?.split('`').next()).collect();
    assert!(quoted.len() >= 6);
    for line in quoted {
        // Numbers are formatted in at run time; only the text around them is in the source.
        let line = line.strip_prefix("not sent: ").unwrap_or(line);
        for words in line.split(|c: char| c.is_ascii_digit() || c == '.').map(str::trim) {
            assert!(text.contains(words), "no source file contains {words:?}");
        }
    }
}
