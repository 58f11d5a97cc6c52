//! Paths into JSON values, and the positions of the values in a JSON text.

use serde::de::IgnoredAny;
use serde_json::{Deserializer, Map, Value};
use std::fmt;

/// One step from an object or array to one of its values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JsonStep {
    /// To the field of this name of an object.
    Key(String),
    /// To the item of this index, from 0, of an array.
    Index(usize),
}

impl JsonStep {
    /// A step to the field `name` of an object.
    pub fn key(name: &str) -> JsonStep {
        JsonStep::Key(name.to_string())
    }
}

/// The path from the root of a JSON value to a value inside it, displayed as in `Classes[1].HardLimit`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JsonPath {
    steps: Vec<JsonStep>,
}

impl JsonPath {
    /// A path of steps that begin at the root.
    pub fn new(steps: impl IntoIterator<Item = JsonStep>) -> JsonPath {
        JsonPath { steps: steps.into_iter().collect() }
    }

    /// The path of the same value from an object whose field `key` is the present root.
    pub fn inside(self, key: &str) -> JsonPath {
        JsonPath::new(std::iter::once(JsonStep::key(key)).chain(self.steps))
    }

    /// The same path with all array indices set to 0.
    pub fn with_first_indices(&self) -> JsonPath {
        JsonPath::new(self.steps.iter().map(|step| match step {
            JsonStep::Key(key) => JsonStep::key(key),
            JsonStep::Index(_) => JsonStep::Index(0),
        }))
    }

    /// Replaces the value at this path by `leaf`. Objects and arrays that are missing on the path are
    /// created; arrays on the path are truncated to their first item.
    pub fn replace_in(&self, value: &mut Value, leaf: Value) {
        replace(value, &self.steps, leaf);
    }

    /// The byte position at which the value begins in a valid JSON text. If the text has only the first part
    /// of the path, the position of the innermost value that it has.
    pub fn position_in(&self, text: &str) -> usize {
        let mut position = skip_space(text, 0);
        for step in &self.steps {
            match position_of_child(text, position, step) {
                Some(child) => position = child,
                None => break,
            }
        }
        position
    }
}

impl fmt::Display for JsonPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, step) in self.steps.iter().enumerate() {
            match step {
                JsonStep::Key(key) if number == 0 => f.write_str(key)?,
                JsonStep::Key(key) => write!(f, ".{key}")?,
                JsonStep::Index(index) => write!(f, "[{index}]")?,
            }
        }
        Ok(())
    }
}

/// All scalar values, empty objects and empty arrays in a value, with their paths.
pub fn leaves(value: &Value) -> Vec<(JsonPath, &Value)> {
    let mut leaves = Vec::new();
    collect_leaves(value, JsonPath::default(), &mut leaves);
    leaves
}

fn collect_leaves<'a>(value: &'a Value, path: JsonPath, leaves: &mut Vec<(JsonPath, &'a Value)>) {
    let child = |step: JsonStep| JsonPath::new(path.steps.iter().cloned().chain([step]));
    match value {
        Value::Object(fields) if !fields.is_empty() => {
            for (key, field) in fields {
                collect_leaves(field, child(JsonStep::key(key)), leaves);
            }
        }
        Value::Array(items) if !items.is_empty() => {
            for (index, item) in items.iter().enumerate() {
                collect_leaves(item, child(JsonStep::Index(index)), leaves);
            }
        }
        leaf => leaves.push((path, leaf)),
    }
}

fn replace(value: &mut Value, steps: &[JsonStep], leaf: Value) {
    match steps.split_first() {
        None => *value = leaf,
        Some((JsonStep::Key(key), rest)) => {
            if !value.is_object() {
                *value = Value::Object(Map::new());
            }
            replace(&mut value[key.as_str()], rest, leaf);
        }
        Some((JsonStep::Index(_), rest)) => {
            let mut first = value.get(0).cloned().unwrap_or(Value::Null);
            replace(&mut first, rest, leaf);
            *value = Value::Array(vec![first]);
        }
    }
}

fn skip_space(text: &str, position: usize) -> usize {
    let rest = &text[position..];
    rest.find(|c: char| !c.is_ascii_whitespace()).map_or(text.len(), |offset| position + offset)
}

/// The byte position just after the value that begins at `position`.
fn end_of_value(text: &str, position: usize) -> usize {
    let mut values = Deserializer::from_str(&text[position..]).into_iter::<IgnoredAny>();
    let _ = values.next();
    position + values.byte_offset()
}

/// The byte position of the value that `step` leads to from the object or array that begins at `position`.
fn position_of_child(text: &str, position: usize, step: &JsonStep) -> Option<usize> {
    let bytes = text.as_bytes();
    let mut position = skip_space(text, position + 1);
    let mut index = 0;
    while !matches!(bytes.get(position), None | Some(b'}' | b']')) {
        let mut is_wanted = *step == JsonStep::Index(index);
        if let JsonStep::Key(wanted) = step {
            let key_end = end_of_value(text, position);
            let key: String = serde_json::from_str(&text[position..key_end]).ok()?;
            is_wanted = key == *wanted;
            let colon = skip_space(text, key_end);
            position = skip_space(text, colon + 1);
        }
        if is_wanted {
            return Some(position);
        }
        position = skip_space(text, end_of_value(text, position));
        if bytes.get(position) == Some(&b',') {
            position = skip_space(text, position + 1);
        }
        index += 1;
    }
    None
}
