//! Reads the operator file, which is TOML. Entries are collected one by one so that all problems can be
//! reported at once.

use super::{keys, line_of, ConfigProblem, InvalidValue, ReadError, ValueOrigin};
use hillstall_coordination::settings::{self, ConfigError, Settings as CoordinationSection};
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};
use toml::de::{DeTable, DeValue, Error as TomlError};

/// The largest file that is read, in bytes. A file with all keys has a few KiB.
const MAX_FILE_BYTES: u64 = 1 << 20;
/// The table that [`hillstall_coordination::settings`] reads as a whole.
const COORDINATION_TABLE: &str = "fleet";

/// The content of an operator file.
#[derive(Default)]
pub struct OperatorFile {
    /// The entries outside the section `[fleet]`, table by table.
    pub entries: Vec<FileEntry>,
    /// The section `[fleet]`, if the file has one and it is valid.
    pub coordination: Option<CoordinationSection>,
    /// Problems of syntax, of TOML types, and of the section `[fleet]`. Keys and values of `entries` are
    /// checked later.
    pub problems: Vec<ConfigProblem>,
}

/// One entry of a file.
pub struct FileEntry {
    /// The key with the names of its tables, as in `pool.rest`.
    pub key: String,
    /// The value as text; a string without its quotes.
    pub text: String,
    /// The file and line of the key.
    pub origin: ValueOrigin,
}

/// Reads a file. A file that can't be read or parsed has problems and no entries.
pub fn read(path: &Path) -> OperatorFile {
    let text = match read_text(path) {
        Ok(text) => text,
        Err(source) => {
            let problem = ConfigProblem::Unreadable { path: path.to_path_buf(), source };
            return OperatorFile { problems: vec![problem], ..OperatorFile::default() };
        }
    };
    let (table, errors) = DeTable::parse_recoverable(&text);
    let mut parser = FileParser { path, text: &text, file: OperatorFile::default() };
    if !errors.is_empty() {
        // The parser recovers something from a broken line, which could cause a second problem for the same
        // line. So the entries of a file with syntax errors are not read.
        parser.file.problems = errors.iter().map(|error| parser.syntax_problem(error)).collect();
        return parser.file;
    }
    parser.visit_table("", table.get_ref());
    match parser.coordination_section() {
        Ok(section) => parser.file.coordination = section,
        Err(problems) => parser.file.problems.extend(problems),
    }
    parser.file
}

fn read_text(path: &Path) -> Result<String, ReadError> {
    if std::fs::metadata(path)?.len() > MAX_FILE_BYTES {
        return Err(ReadError::TooLarge);
    }
    Ok(std::fs::read_to_string(path)?)
}

/// Collects the entries of one file.
struct FileParser<'a> {
    path: &'a Path,
    text: &'a str,
    file: OperatorFile,
}

impl FileParser<'_> {
    /// The file and line of a byte position.
    fn origin(&self, position: usize) -> ValueOrigin {
        ValueOrigin::File(self.path.to_path_buf(), line_of(self.text, position))
    }

    fn syntax_problem(&self, error: &TomlError) -> ConfigProblem {
        let position = error.span().map_or(0, |span| span.start);
        ConfigProblem::Syntax { origin: self.origin(position), message: error.message().to_string() }
    }

    /// Collects the entries of a table and of the tables in it. `prefix` is the table's name with a trailing
    /// dot, or empty for the root.
    fn visit_table(&mut self, prefix: &str, table: &DeTable<'_>) {
        for (name, value) in table {
            if prefix.is_empty() && name.get_ref() == COORDINATION_TABLE {
                continue;
            }
            let key = format!("{prefix}{}", name.get_ref());
            let origin = self.origin(name.span().start);
            match value.get_ref() {
                DeValue::Table(inner) => self.visit_table(&format!("{key}."), inner),
                value => self.visit_value(key, origin, value),
            }
        }
    }

    fn visit_value(&mut self, key: String, origin: ValueOrigin, value: &DeValue<'_>) {
        let text = match value {
            DeValue::String(text) if keys::find(&key).is_some_and(|known| !known.kind.is_quoted()) => {
                Err(InvalidValue::Quoted(text.to_string()))
            }
            DeValue::String(text) => Ok(text.to_string()),
            DeValue::Integer(number) => Ok(number.as_str().to_string()),
            DeValue::Boolean(on) => Ok(on.to_string()),
            other => Err(InvalidValue::UnsupportedType(other.type_str())),
        };
        match text {
            Ok(text) => self.file.entries.push(FileEntry { key, text, origin }),
            Err(source) => self.file.problems.push(ConfigProblem::InvalidValue { origin, key, source }),
        }
    }

    /// Reads the section `[fleet]`, if the file has one, and checks that its maintenance windows do not
    /// conflict.
    fn coordination_section(&self) -> Result<Option<CoordinationSection>, Vec<ConfigProblem>> {
        let problems = |errors| self.coordination_problems(errors);
        let Some(section) = settings::read(self.text).map_err(problems)? else { return Ok(None) };
        // Whether the sites of windows exist is checked at the start of coordination: only the platform's
        // configuration names the sites.
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let conflicts = section.schedule_conflicts(&[], now);
        match conflicts.is_empty() {
            true => Ok(Some(section)),
            false => Err(problems(conflicts)),
        }
    }

    fn coordination_problems(&self, errors: Vec<ConfigError>) -> Vec<ConfigProblem> {
        let problem = |error: ConfigError| ConfigProblem::InvalidValue {
            origin: self.origin(error.offset),
            key: error.key,
            source: InvalidValue::Coordination(error.reason),
        };
        errors.into_iter().map(problem).collect()
    }
}
