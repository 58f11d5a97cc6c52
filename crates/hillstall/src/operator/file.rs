//! The operator file: TOML, read key by key, so that all that is wrong in it can be told at once.

use super::{at, line_of, Origin, Wrong};
use hillstall_coordination::settings::Settings as Section;
use std::path::Path;
use toml::de::{DeTable, DeValue};

/// The largest file that is read; one of all keys has some KiB.
const FILE_MOST: u64 = 1 << 20;

/// Hands on every entry of a file; gives its section of the fleet, and what is wrong with its text.
pub fn entries(path: &Path, set: &mut impl FnMut(&str, &str, Origin)) -> (Option<Section>, Vec<Wrong>) {
    let unreadable = |why: String| (None, vec![Wrong::Unreadable(path.display().to_string(), why)]);
    match std::fs::metadata(path) {
        Ok(meta) if meta.len() > FILE_MOST => return unreadable("it is larger than 1 MiB".to_string()),
        Ok(_) => {}
        Err(e) => return unreadable(e.to_string()),
    }
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(e) => return unreadable(e.to_string()),
    };
    let (table, errors) = DeTable::parse_recoverable(&text);
    let mut wrong: Vec<Wrong> = errors
        .iter()
        .map(|e| Wrong::Syntax {
            origin: at(path, e.span().map_or(1, |span| line_of(&text, span.start))),
            why: e.message().to_string(),
        })
        .collect();
    // What a broken line was taken for is not to be told as a second fault.
    if wrong.is_empty() {
        walk(path, &text, "", table.get_ref(), set, &mut wrong);
        match fleet(path, &text) {
            Ok(section) => return (section, wrong),
            Err(more) => wrong.extend(more),
        }
    }
    (None, wrong)
}

/// The section of the fleet, if the file has one.
fn fleet(path: &Path, text: &str) -> Result<Option<Section>, Vec<Wrong>> {
    let told = |wrong: Vec<hillstall_coordination::settings::ConfigError>| {
        let told = wrong.into_iter().map(|w| Wrong::Value {
            origin: at(path, line_of(text, w.offset)),
            key: w.key,
            why: w.reason,
        });
        told.collect::<Vec<_>>()
    };
    let Some(read) = hillstall_coordination::settings::read(text).map_err(told)? else { return Ok(None) };
    // The sites are the platform's to tell, so they are checked where both are known.
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    match read.schedule_conflicts(&[], now) {
        wrong if wrong.is_empty() => Ok(Some(read)),
        wrong => Err(told(wrong)),
    }
}

fn walk(
    path: &Path,
    text: &str,
    before: &str,
    table: &DeTable<'_>,
    set: &mut impl FnMut(&str, &str, Origin),
    wrong: &mut Vec<Wrong>,
) {
    for (name, value) in table {
        // Read as a whole by the fleet's own reader.
        if before.is_empty() && name.get_ref() == "fleet" {
            continue;
        }
        let key = format!("{before}{}", name.get_ref());
        let origin = at(path, line_of(text, name.span().start));
        match value.get_ref() {
            DeValue::Table(inner) => walk(path, text, &format!("{key}."), inner, set, wrong),
            DeValue::String(word) => match super::find(&key) {
                Some(known) if !known.kind.is_quoted() => {
                    let why = format!("{word:?} must stand without quotes");
                    wrong.push(Wrong::Value { origin, key, why });
                }
                _ => set(&key, word, origin),
            },
            DeValue::Integer(number) => set(&key, number.as_str(), origin),
            DeValue::Boolean(on) => set(&key, &on.to_string(), origin),
            other => {
                let why = format!("a value of this kind ({}) has no meaning here", other.type_str());
                wrong.push(Wrong::Value { origin, key, why });
            }
        }
    }
}
