//! Logs as JSON lines on standard error.
//!
//! Each line has the level, the time since the process started, the program, the machine, the message and
//! the record's key-values. `RUST_LOG` sets the minimum level; the default is `info`.

use std::io::Write;

use env_logger::fmt::Formatter;
use env_logger::{Builder, Env};
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::Map;

use crate::clock;

/// Minimum level if `RUST_LOG` is not set.
const DEFAULT_LEVEL: &str = "info";

/// Installs the logger; further calls have no effect.
pub fn init(program: &'static str, node: &str) {
    let node = node.to_owned();
    let _ = Builder::from_env(Env::default().default_filter_or(DEFAULT_LEVEL))
        .format(move |out, record| write_line(out, program, &node, record))
        .try_init();
}

fn write_line(out: &mut Formatter, program: &str, node: &str, record: &Record<'_>) -> std::io::Result<()> {
    writeln!(out, "{}", line(program, node, clock::now().as_millis() as u64, record))
}

/// Formats a record as one line of JSON, without the line break.
#[must_use]
pub fn line(program: &str, node: &str, at_ms: u64, record: &Record<'_>) -> String {
    let mut fields = Map::new();
    fields.insert("level".into(), record.level().as_str().into());
    fields.insert("at_ms".into(), at_ms.into());
    fields.insert("program".into(), program.into());
    fields.insert("node".into(), node.into());
    fields.insert("message".into(), record.args().to_string().into());
    // The visitor never returns an error; if a source fails, its remaining key-values are left out.
    let _ = record.key_values().visit(&mut KeyValueVisitor(&mut fields));
    serde_json::Value::Object(fields).to_string()
}

/// Adds a record's key-values to the line; a key-value never replaces a field of the line itself.
struct KeyValueVisitor<'fields>(&'fields mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for KeyValueVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.entry(key.as_str()).or_insert_with(|| to_json(&value));
        Ok(())
    }
}

fn to_json(value: &Value<'_>) -> serde_json::Value {
    if let Some(number) = value.to_u64() {
        return number.into();
    }
    if let Some(number) = value.to_i64() {
        return number.into();
    }
    if let Some(flag) = value.to_bool() {
        return flag.into();
    }
    if let Some(number) = value.to_f64() {
        return number.into();
    }
    value.to_string().into()
}
