//! HCL files of any form, read with the position of each fault.

use std::collections::BTreeSet;

use hcl_edit::Span;
use hcl_edit::structure::{Body, Structure};
use serde::de::DeserializeOwned;

use super::error::{FilePosition, InvalidSetting, SettingsError};

/// Reads HCL of any form; `path` is for errors, and `check` finds what single values don't show.
///
/// # Errors
///
/// The first `SettingsError`: no HCL, a key given twice, not of the form of `T`, or what `check` finds.
pub fn parse_hcl<T: DeserializeOwned>(
    path: &str,
    text: &str,
    check: impl FnOnce(&T) -> Result<(), InvalidSetting>,
) -> Result<T, SettingsError> {
    parse_hcl_over(&[(path, text)], check)
}

/// The same for files of which each says what differs from those before it: what it has in blocks goes into theirs,
/// anything else takes the place of theirs, and `null` takes theirs away.
///
/// # Errors
///
/// The first `SettingsError`, at its place in the last file that has the key: as for `parse_hcl`.
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
        let fault = |key: &str, problem: String| {
            let position = locate(text, &body, key).map(|found| found.position);
            SettingsError { file: (*path).to_owned(), position, key: key.to_owned(), problem }
        };
        // Guards against a key or block that is there twice, of which one would be passed over.
        let named = |s: &Structure| match s {
            Structure::Attribute(a) => a.key.as_str().to_owned(),
            Structure::Block(b) => b.ident.as_str().to_owned(),
        };
        let mut seen = BTreeSet::new();
        if let Some(twice) = body.iter().map(named).find(|name| !seen.insert(name.clone())) {
            return Err(fault(&twice, "given twice".to_owned()));
        }
        merge(&mut merged, hcl::from_str(text).map_err(|e| fault("", e.to_string()))?);
        bodies.push((path, text, body));
    }
    // A key's fault is where the key stands, in the last file that has most of it.
    let fault = |key: &str, problem: String| {
        let located = bodies.iter().map(|(path, text, body)| (path, locate(text, body, key)));
        let found = located.max_by_key(|(_, found)| found.map_or(0, |found| found.depth));
        let file = found.map_or(String::new(), |(path, _)| (**path).to_owned());
        let position = found.and_then(|(_, found)| found).map(|found| found.position);
        SettingsError { file, position, key: key.to_owned(), problem }
    };
    let shown = merged.clone();
    let read: T = serde_path_to_error::deserialize(merged).map_err(|e| {
        let key = e.path().to_string();
        let key = key.trim_start_matches('.');
        let given = find(&shown, key).filter(|v| !v.is_object() && !v.is_array());
        let given = given.map_or(String::new(), |v| format!(" (given: {v})"));
        fault(key, format!("{}{given}", e.inner()))
    })?;
    check(&read).map_err(|InvalidSetting { key, problem }| fault(&key, problem))?;
    Ok(read)
}

/// Puts what `over` says into `under`.
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

/// The value at a key of dotted parts.
fn find<'a>(value: &'a serde_json::Value, key: &str) -> Option<&'a serde_json::Value> {
    key.split('.').try_fold(value, |value, part| value.get(part))
}

/// Where a key stands in a text.
#[derive(Clone, Copy)]
struct KeyLocation {
    /// How many parts of the key are there.
    depth: usize,
    /// The position of the deepest of them.
    position: FilePosition,
}

/// Finds a key: the deepest part of it that is there, since what is missing has no position.
fn locate(text: &str, body: &Body, key: &str) -> Option<KeyLocation> {
    let mut parts = key.split('.');
    let mut part = parts.next()?;
    let mut body = body;
    let (mut at, mut depth) = (None, 0);
    loop {
        let here = body.iter().find(|s| match s {
            Structure::Attribute(a) => a.key.as_str() == part,
            Structure::Block(b) => b.ident.as_str() == part,
        });
        at = match here {
            Some(Structure::Attribute(a)) => a.key.span().or(at),
            Some(Structure::Block(b)) => b.ident.span().or(at),
            None => at,
        };
        depth += usize::from(here.is_some());
        match (here, parts.next()) {
            (Some(Structure::Block(b)), Some(next)) => (body, part) = (&b.body, next),
            _ => break,
        }
    }
    let before = &text[..at?.start];
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    let position = FilePosition { line: before.matches('\n').count() + 1, column };
    Some(KeyLocation { depth, position })
}
