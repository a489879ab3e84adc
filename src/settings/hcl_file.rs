//! Deserializes HCL files and reports the position of errors.

use std::collections::BTreeSet;

use hcl_edit::Span;
use hcl_edit::structure::{Body, Structure};
use serde::de::DeserializeOwned;

use super::error::{FilePosition, InvalidSetting, SettingsError};

/// Parses HCL into any type. Error messages name `path`; `check` validates ranges and values that depend on each other.
///
/// # Errors
///
/// The first `SettingsError`: invalid HCL, a duplicate key, a value that doesn't fit `T`, or an error of `check`.
pub fn parse_hcl<T: DeserializeOwned>(
    path: &str,
    text: &str,
    check: impl FnOnce(&T) -> Result<(), InvalidSetting>,
) -> Result<T, SettingsError> {
    parse_hcl_over(&[(path, text)], check)
}

/// Parses HCL files of which each overrides those before it: blocks are merged, other values are replaced, and `null`
/// removes a key.
///
/// # Errors
///
/// As for [`parse_hcl`], with the position in the last file that has the key.
pub fn parse_hcl_over<T: DeserializeOwned>(
    files: &[(&str, &str)],
    check: impl FnOnce(&T) -> Result<(), InvalidSetting>,
) -> Result<T, SettingsError> {
    let (mut bodies, mut merged) = (Vec::new(), serde_json::Value::Object(serde_json::Map::new()));
    for (path, text) in files {
        let body: Body = hcl_edit::parser::parse_body(text).map_err(|e| SettingsError {
            file: (*path).to_owned(),
            position: Some(FilePosition { line: e.location().line(), column: e.location().column() }),
            key: String::new(),
            problem: e.message().to_owned(),
        })?;
        let error_at = |key: &str, problem: String| {
            let position = locate(text, &body, key).map(|found| found.position);
            SettingsError { file: (*path).to_owned(), position, key: key.to_owned(), problem }
        };
        // Rejects a duplicate key or block; otherwise one of the two would be silently ignored.
        let name_of = |s: &Structure| match s {
            Structure::Attribute(a) => a.key.as_str().to_owned(),
            Structure::Block(b) => b.ident.as_str().to_owned(),
        };
        let mut seen = BTreeSet::new();
        if let Some(duplicate) = body.iter().map(name_of).find(|name| !seen.insert(name.clone())) {
            return Err(error_at(&duplicate, "given twice".to_owned()));
        }
        merge(&mut merged, hcl::from_str(text).map_err(|e| error_at("", e.to_string()))?);
        bodies.push((path, text, body));
    }
    // Errors point to the deepest existing part of the key, in the last file that has that part.
    let error_at = |key: &str, problem: String| {
        let located = bodies.iter().map(|(path, text, body)| (path, locate(text, body, key)));
        let found = located.max_by_key(|(_, found)| found.map_or(0, |found| found.depth));
        let file = found.map_or(String::new(), |(path, _)| (**path).to_owned());
        let position = found.and_then(|(_, found)| found).map(|found| found.position);
        SettingsError { file, position, key: key.to_owned(), problem }
    };
    let input = merged.clone();
    let read: T = serde_path_to_error::deserialize(merged).map_err(|e| {
        let key = e.path().to_string();
        let key = key.trim_start_matches('.');
        let given = value_at(&input, key).filter(|v| !v.is_object() && !v.is_array());
        let given = given.map_or(String::new(), |v| format!(" (given: {v})"));
        error_at(key, format!("{}{given}", e.inner()))
    })?;
    check(&read).map_err(|InvalidSetting { key, problem }| error_at(&key, problem))?;
    Ok(read)
}

/// Merges `over` into `under`; `null` in `over` removes a key.
fn merge(under: &mut serde_json::Value, over: serde_json::Value) {
    match (under, over) {
        (serde_json::Value::Object(under), serde_json::Value::Object(over)) => {
            for (key, value) in over {
                if value.is_null() {
                    under.remove(&key);
                } else {
                    merge(under.entry(key).or_insert(serde_json::Value::Null), value);
                }
            }
        }
        (under, over) => *under = over,
    }
}

/// The value at a dotted path.
fn value_at<'a>(value: &'a serde_json::Value, key: &str) -> Option<&'a serde_json::Value> {
    key.split('.').try_fold(value, |value, part| value.get(part))
}

/// The location of a key in a text.
#[derive(Clone, Copy)]
struct KeyLocation {
    /// The number of parts of the key that exist.
    depth: usize,
    /// The position of the deepest existing part.
    position: FilePosition,
}

/// Locates the deepest part of a key that exists, since a missing part has no position.
fn locate(text: &str, body: &Body, key: &str) -> Option<KeyLocation> {
    let mut parts = key.split('.');
    let mut part = parts.next()?;
    let mut body = body;
    let (mut at, mut depth) = (None, 0);
    loop {
        let structure = body.iter().find(|s| match s {
            Structure::Attribute(a) => a.key.as_str() == part,
            Structure::Block(b) => b.ident.as_str() == part,
        });
        at = match structure {
            Some(Structure::Attribute(a)) => a.key.span().or(at),
            Some(Structure::Block(b)) => b.ident.span().or(at),
            None => at,
        };
        depth += usize::from(structure.is_some());
        match (structure, parts.next()) {
            (Some(Structure::Block(b)), Some(next)) => (body, part) = (&b.body, next),
            _ => break,
        }
    }
    let before = &text[..at?.start];
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    let position = FilePosition { line: before.matches('\n').count() + 1, column };
    Some(KeyLocation { depth, position })
}
