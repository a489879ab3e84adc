//! Logging: RFC 5424 lines with structured data, to standard error or to a collector.
//!
//! The fields of an event are its structured data; the first word of its text, up to the colon, is the message id. A
//! collector is fed over TCP with the octet counting of RFC 6587, standard error by a thread of its own. Lines wait in a
//! bounded queue; when it is full they are dropped and counted, so that no request waits for a log line.

mod panics;
mod queue;
mod sinks;

use std::fmt::Write as _;
use std::io::{self, Write};
use std::str::FromStr;
use std::time::SystemTime;

use async_io::Timer;
use log::kv::{self, Key, Value, VisitSource};
use log::{Level, LevelFilter, Record};

use crate::limits::Limits;
use queue::DrainStatus;
use tulipridge_http1::within;

pub use queue::Lines;
pub use sinks::to_collector;

/// The id of the structured data, under the enterprise number that RFC 5612 reserves for documentation.
const SD_ID: &str = "tulipridge@32473";
/// The facility: a system daemon.
const FACILITY: u8 = 3;

/// The log of the running process.
pub struct Log(DrainStatus);

/// Initializes the log. With a collector it also returns the lines to be sent to it; otherwise a thread writes them to
/// standard error.
///
/// # Errors
///
/// If the thread that writes to standard error can't be started.
pub fn start(host: &str, collector: bool, limits: &Limits) -> io::Result<(Log, Option<Lines>)> {
    let mut builder = env_logger::Builder::new();
    let directives = std::env::var("RUST_LOG").unwrap_or_else(|_| "info".to_owned());
    let level = LevelFilter::from_str(&directives);
    match level {
        // A plain level is only a maximum, so that it can be changed while the process runs.
        Ok(_) => builder.filter_level(LevelFilter::Warn).filter_module("tulipridge", LevelFilter::Trace),
        Err(_) => builder.parse_filters(&directives),
    };
    let host = header_field(host, 255);
    let sink = if collector { "collector" } else { "stderr" };
    let (writer, lines, drain_status) = queue::queue(limits.log.lines, limits.log.bytes, {
        let host = host.clone();
        move |dropped| dropped_lines_notice(&host, sink, dropped)
    });
    builder.target(env_logger::Target::Pipe(Box::new(writer)));
    builder.format(move |buf, record| {
        let time = buf.timestamp_micros().to_string();
        writeln!(buf, "{}", line(&time, &host, std::process::id(), record))
    });
    let collector_lines = if collector {
        Some(lines)
    } else {
        sinks::start_stderr_writer(lines, limits)?;
        panics::install_hook(drain_status.clone(), limits.log.drain_timeout);
        None
    };
    // Only a second start in one process fails, which then keeps the log of the first.
    let _ = builder.try_init();
    if let Ok(level) = level {
        log::set_max_level(level);
    }
    Ok((Log(drain_status), collector_lines))
}

impl Log {
    /// Waits for queued lines to be written, for a bounded time; called when the process ends.
    pub async fn drain(&self, limits: &Limits) {
        let out = async {
            while !self.0.is_drained() {
                Timer::after(limits.log.drain_check_interval).await;
            }
        };
        let _ = within(limits.log.drain_timeout, out).await;
    }
}

/// The line that reports dropped lines.
fn dropped_lines_notice(host: &str, sink: &str, dropped: u64) -> Vec<u8> {
    let time = humantime::format_rfc3339_micros(SystemTime::now()).to_string();
    let dropped = dropped.to_string();
    let pairs = [("lines", dropped.as_str()), ("way", sink)];
    let text = format_args!("log-lost: the sink was full or slow; no request waited for it");
    let record = Record::builder().level(Level::Warn).args(text).key_values(&pairs).build();
    line(&time, host, std::process::id(), &record).into_bytes()
}

/// A record as an RFC 5424 message.
#[must_use]
pub fn line(time: &str, host: &str, pid: u32, record: &Record<'_>) -> String {
    let severity = match record.level() {
        Level::Error => 3,
        Level::Warn => 4,
        Level::Info => 6,
        Level::Debug | Level::Trace => 7,
    };
    let text = record.args().to_string();
    let (id, text) = text.split_once(": ").unwrap_or((text.as_str(), ""));
    let id = header_field(id, 32);
    let mut data = StructuredData(String::new());
    // Values that can't be formatted are left out of the line.
    let _ = record.key_values().visit(&mut data);
    let data = if data.0.is_empty() { "-".to_owned() } else { format!("[{SD_ID}{}]", data.0) };
    let priority = FACILITY * 8 + severity;
    // Control characters are escaped, so that a text can't forge further lines.
    let text: String = text
        .chars()
        .flat_map(|c| if c.is_control() { c.escape_default().collect() } else { vec![c] })
        .collect();
    let line = format!("<{priority}>1 {time} {host} tulipridge {pid} {id} {data} {text}");
    line.trim_end().to_owned()
}

/// A header field: at most `max` characters of printable ASCII without blanks, `-` if none is left.
fn header_field(text: &str, max: usize) -> String {
    let text: String = text.chars().filter(char::is_ascii_graphic).take(max).collect();
    if text.is_empty() { "-".to_owned() } else { text }
}

/// Formats key-value pairs as the parameters of structured data.
struct StructuredData(String);

impl<'kvs> VisitSource<'kvs> for StructuredData {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let allowed = |c: &char| c.is_ascii_graphic() && !matches!(c, '=' | ']' | '"');
        let name: String = key.as_str().chars().filter(allowed).take(32).collect();
        let _ = write!(self.0, " {name}=\"");
        for c in value.to_string().chars() {
            match c {
                '"' | '\\' | ']' => self.0.extend(['\\', c]),
                c if c.is_control() => self.0.extend(c.escape_default()),
                c => self.0.push(c),
            }
        }
        self.0.push('"');
        Ok(())
    }
}

/// A message framed by its octet count (RFC 6587).
#[must_use]
pub fn framed(line: &[u8]) -> Vec<u8> {
    let mut out = format!("{} ", line.len()).into_bytes();
    out.extend_from_slice(line);
    out
}
