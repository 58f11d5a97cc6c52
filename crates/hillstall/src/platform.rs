//! `check` of the platform's file: all that is wrong at once, with line and key. At its start a proxy stops at the
//! first fault; an operator wants to see them all.

use crate::config;
use crate::operator::line_of;
use hillstall_proxy_core::endpoints::EndpointList;
use hillstall_simulation::site;
use serde_json::{Map, Value};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;

/// One step from a value into a part of it.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Key(String),
    At(usize),
}

/// Everything that is wrong with a file: `FILE:LINE: KEY: why`.
pub fn faults(path: &Path) -> Vec<String> {
    let shown = path.display();
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(e) => return vec![format!("{shown}: {e}")],
    };
    let value: Value = match serde_json::from_str(&text) {
        Ok(value) => value,
        Err(e) => return vec![format!("{shown}:{}: {e}", e.line())],
    };
    let mut found = Vec::new();
    addresses(&value, &mut found);
    known(&value, &mut found);
    settings(&value, &mut found);
    let mut told: Vec<(usize, String)> = found
        .into_iter()
        .map(|(steps, why)| {
            let line = line_of(&text, place(&text, &steps));
            (line, format!("{shown}:{line}: {}: {why}", name(&steps)))
        })
        .collect();
    told.sort();
    let mut told: Vec<String> = told.into_iter().map(|(_, text)| text).collect();
    // What can't be told from one key alone, unless it is one of those found already.
    if let Err(why) = config::parse(text.as_bytes(), |_| None) {
        let why = why.strip_prefix("settings: ").unwrap_or(&why);
        let name = why.split(": ").next().unwrap_or(why);
        if !told.iter().any(|told| told.contains(name)) {
            told.push(format!("{shown}: {why}"));
        }
    }
    told
}

type Found = Vec<(Vec<Step>, String)>;

fn key(name: &str) -> Step {
    Step::Key(name.to_string())
}

fn addresses(value: &Value, found: &mut Found) {
    for name in ["listen", "admin_addr", "discovery"] {
        if let Some(given) = value.get(name) {
            let address = given.as_str().is_some_and(|text| config::address(text).is_ok());
            if !address {
                found.push((vec![key(name)], format!("{given} is not an address")));
            }
        }
    }
    if let Some(seed) = value.get("seed") {
        let read = seed.as_str().is_some_and(|text| config::seed(text).is_ok());
        if !read {
            found.push((vec![key("seed")], format!("{seed} is not a number in hexadecimal")));
        }
    }
    for name in ["sockets", "memory_mb"] {
        if let Some(given) = value.get("limits").and_then(|limits| limits.get(name)) {
            if given.as_u64().is_none() && !given.is_null() {
                found.push((vec![key("limits"), key(name)], format!("{given} is not a whole number")));
            }
        }
    }
}

/// The entries of the known list, each by itself.
fn known(value: &Value, found: &mut Found) {
    let Some(entries) = value.get("known").and_then(|known| known.get("endpoints")).and_then(Value::as_array)
    else {
        return;
    };
    for (n, entry) in entries.iter().enumerate() {
        let one = serde_json::json!({"index": 0, "snapshot": true, "endpoints": [entry]});
        if let Err(e) = serde_path_to_error::deserialize::<_, EndpointList>(one) {
            let mut steps = vec![key("known"), key("endpoints"), Step::At(n)];
            let path = e.path().to_string();
            if let Some(field) = path.rsplit('.').next().filter(|field| entry.get(field).is_some()) {
                steps.push(key(field));
            }
            found.push((steps, e.inner().to_string()));
        }
    }
}

/// Every value in the settings, put by itself into settings that are known to be good.
fn settings(value: &Value, found: &mut Found) {
    let Some(given) = value.get("settings") else { return };
    let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let holds = site::ProcessLimits { sockets: 64, memory_mb: 64 };
    let good = site::config(nowhere, nowhere, &[], holds)["settings"].clone();
    let mut leaves = Vec::new();
    collect(given, &mut Vec::new(), &mut leaves);
    for (steps, leaf) in leaves {
        let (mut tried, first) = (good.clone(), firsts(&steps));
        put(&mut tried, &first, leaf.clone());
        let Err(why) = hillstall_settings::settings(tried.to_string().as_bytes()) else { continue };
        let why = why.to_string();
        // Other complaints are about what goes with the value, not about the value.
        if let Some(why) = why.strip_prefix(&format!("settings: {}: ", name(&first))) {
            // The place that it tells is one in the text that was made for the try.
            let why = why.split(" at line ").next().unwrap_or(why);
            found.push((std::iter::once(key("settings")).chain(steps).collect(), why.to_string()));
        }
    }
}

fn collect(value: &Value, at: &mut Vec<Step>, leaves: &mut Vec<(Vec<Step>, Value)>) {
    let mut step = |step: Step, value: &Value| {
        at.push(step);
        collect(value, at, leaves);
        at.pop();
    };
    match value {
        Value::Object(fields) if !fields.is_empty() => {
            fields.iter().for_each(|(name, value)| step(key(name), value));
        }
        Value::Array(items) if !items.is_empty() => {
            items.iter().enumerate().for_each(|(n, value)| step(Step::At(n), value));
        }
        leaf => leaves.push((at.clone(), leaf.clone())),
    }
}

/// The same place in the first entry of each list: a list that is known to be good has no more.
fn firsts(steps: &[Step]) -> Vec<Step> {
    let first = |step: &Step| if matches!(step, Step::At(_)) { Step::At(0) } else { step.clone() };
    steps.iter().map(first).collect()
}

fn put(into: &mut Value, steps: &[Step], leaf: Value) {
    match steps.split_first() {
        None => *into = leaf,
        Some((Step::Key(name), rest)) => {
            if !into.is_object() {
                *into = Value::Object(Map::new());
            }
            put(&mut into[name.as_str()], rest, leaf);
        }
        Some((Step::At(_), rest)) => {
            let mut first = into.get(0).cloned().unwrap_or(Value::Null);
            put(&mut first, rest, leaf);
            *into = Value::Array(vec![first]);
        }
    }
}

fn name(steps: &[Step]) -> String {
    let mut name = String::new();
    for step in steps {
        match step {
            Step::Key(key) if name.is_empty() => name.push_str(key),
            Step::Key(key) => name.push_str(&format!(".{key}")),
            Step::At(n) => name.push_str(&format!("[{n}]")),
        }
    }
    name
}

/// Where a value begins in a text that is known to be JSON. A last step that is not there is passed over.
fn place(text: &str, steps: &[Step]) -> usize {
    let mut at = skip_space(text, 0);
    for step in steps {
        match inside(text, at, step) {
            Some(next) => at = next,
            None => break,
        }
    }
    at
}

fn skip_space(text: &str, at: usize) -> usize {
    text[at..].find(|c: char| !c.is_ascii_whitespace()).map_or(text.len(), |n| at + n)
}

/// The end of the value that begins here.
fn end(text: &str, at: usize) -> usize {
    let mut stream = serde_json::Deserializer::from_str(&text[at..]).into_iter::<serde::de::IgnoredAny>();
    let _ = stream.next();
    at + stream.byte_offset()
}

fn inside(text: &str, at: usize, step: &Step) -> Option<usize> {
    let bytes = text.as_bytes();
    let (mut at, mut n) = (skip_space(text, at + 1), 0);
    while !matches!(bytes.get(at), None | Some(b'}' | b']')) {
        let mut found = *step == Step::At(n);
        if let Step::Key(wanted) = step {
            let after = end(text, at);
            let name: String = serde_json::from_str(&text[at..after]).ok()?;
            found = name == *wanted;
            at = skip_space(text, skip_space(text, after) + 1);
        }
        if found {
            return Some(at);
        }
        at = skip_space(text, end(text, at));
        if bytes.get(at) == Some(&b',') {
            at = skip_space(text, at + 1);
        }
        n += 1;
    }
    None
}

#[cfg(test)]
mod tests {
    use super::*;

    fn told(text: &str) -> Vec<String> {
        let file = tempfile::NamedTempFile::new().expect("a file");
        std::fs::write(file.path(), text).expect("it is written");
        let before = format!("{}:", file.path().display());
        faults(file.path()).iter().map(|t| t.strip_prefix(&before).unwrap_or(t).to_string()).collect()
    }

    fn good() -> String {
        let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
        let config =
            site::config(nowhere, nowhere, &[nowhere], site::ProcessLimits { sockets: 64, memory_mb: 64 });
        serde_json::to_string_pretty(&config).expect("it is JSON")
    }

    #[test]
    fn a_good_file_has_no_faults() {
        assert_eq!(told(&good()), Vec::<String>::new());
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
        let told = told(&text);
        let line = |part: &str| text.lines().position(|l| l.contains(part)).expect(part) + 1;
        let expected = [
            (line("nowhere"), "discovery: "),
            (line("-1500"), "settings.Classes[1].HardLimit: -1500 is no use"),
            (line("\"8400\""), "settings.Rules.Cold: "),
            (line("be96z"), "seed: "),
            (line("\"status\": 7"), "known.endpoints[0].status: "),
            (line("\"sockets\": -64"), "limits.sockets: -64"),
        ];
        for (line, what) in expected {
            assert!(
                told.iter().any(|t| t.starts_with(&format!("{line}: {what}"))),
                "{line}: {what} in {told:#?}"
            );
        }
        assert_eq!(told.len(), expected.len(), "{told:#?}");
    }

    #[test]
    fn what_no_key_alone_tells_and_what_is_no_json_is_told_too() {
        assert!(told(&good().replace("\"seed\"", "\"sead\""))[0].contains("seed"));
        assert!(told("{\n\"listen\": 1,\n").iter().any(|t| t.starts_with("3: ") || t.starts_with("2: ")));
    }

    proptest::proptest! {
        #[test]
        fn any_json_can_be_looked_at(n in 0usize..400, with in "[0-9\"a-z{}\\[\\],:]{0,3}") {
            let mut text = good();
            let at = n.min(text.len() - 1);
            text.replace_range(at..at + 1, &with);
            let _ = told(&text);
        }
    }
}
