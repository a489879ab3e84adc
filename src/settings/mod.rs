//! The program's own settings, in HCL: `deploy/tulipridge.hcl`, or the file that the command line or
//! `TULIPRIDGE_SETTINGS` names. On the platform, all listeners in these settings are off.
//!
//! Unknown keys are rejected; an error names the key, its value and its position in the file.

mod check;
mod error;
mod hcl_file;

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytesize::ByteSize;
use serde::Deserialize;

use crate::limits::{Limits, OutlierLimits, PaceLimit};
use crate::names::Dialect;

pub use self::error::{FilePosition, InvalidSetting, SettingsError};
pub use self::hcl_file::{parse_hcl, parse_hcl_over};

/// All of the program's own settings.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The messages front.
    pub messages: Messages,
    /// Dialects of replicas by their kind; the platform's by default.
    pub dialects: BTreeMap<String, Dialect>,
    /// Relative speeds of replicas by their kind; 1 by default.
    pub speeds: BTreeMap<String, f64>,
    /// The list service.
    pub list: List,
    /// The replicated store.
    pub store: Store,
    /// The log.
    pub syslog: Syslog,
    /// Relayed streams.
    pub streams: Streams,
    /// Ejection of replicas that fail streams; off if absent.
    #[serde(rename = "rest")]
    pub outlier_ejection: Option<OutlierEjection>,
    /// Whether started streams continue in the next process, which inherits the listener.
    pub handover: bool,
}

/// Settings of the messages front.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Messages {
    /// The listen address; off if absent.
    pub listen: Option<SocketAddr>,
    /// Classes by model.
    pub classes: BTreeMap<String, String>,
    /// The class of other models; by default the first of the platform's.
    pub class: Option<String>,
    /// The tenant of requests that name no tenant.
    pub tenant: Option<String>,
    /// API keys of clients by name; if there are none, requests need no key.
    pub keys: BTreeMap<String, Key>,
    /// Rate limits per minute, by tenant.
    pub limits: BTreeMap<String, Rates>,
    /// The models listed to clients, by id.
    pub models: BTreeMap<String, Model>,
    /// Whether requests may name only the listed models.
    pub only_listed: bool,
    /// The maximum size of a request body.
    pub body: Option<ByteSize>,
    /// The maximum size of a response that is assembled before it is sent.
    pub whole_answer: Option<ByteSize>,
}

/// The API key of a client.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// The SHA-256 of the key, in hex digits.
    pub sha256: String,
    /// The tenant of the key; by default the tenant of requests that name no tenant.
    pub tenant: Option<String>,
    /// The models that the key gives access to; all if empty.
    #[serde(default)]
    pub models: Vec<String>,
}

/// Rate limits of a tenant, per minute; an absent rate is unlimited.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rates {
    /// Requests.
    pub requests: Option<u64>,
    /// Prompt tokens, without those read from the prefix cache.
    pub input_tokens: Option<u64>,
    /// Response tokens.
    pub output_tokens: Option<u64>,
}

/// A model listed to clients.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Model {
    /// The display name; by default the id.
    pub name: Option<String>,
    /// The creation time in RFC 3339 format; by default 1970-01-01T00:00:00Z.
    pub created: Option<String>,
    /// Maximum number of prompt tokens.
    pub input_tokens: Option<u64>,
    /// Maximum number of output tokens.
    pub output_tokens: Option<u64>,
}

/// Settings of the list service.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct List {
    /// Calls that the list service can handle per second, from all gateways together; by default, a call is assumed
    /// to take 60 ms.
    pub calls_per_s: Option<f64>,
}

/// Settings of the replicated store.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Store {
    /// The listen address for peers; off if absent.
    pub listen: Option<SocketAddr>,
    /// The peers.
    pub peers: Vec<SocketAddr>,
}

/// Settings of the log.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Syslog {
    /// The address of a collector for RFC 5424 over TCP; standard error if absent.
    pub tcp: Option<SocketAddr>,
}

/// Buffer sizes and timeouts of streams; absent values follow from the size of the machine.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Streams {
    /// Buffered bytes at which reading from a stream pauses.
    pub window: Option<ByteSize>,
    /// Buffered bytes of all streams together at which streams are cut.
    pub budget: Option<ByteSize>,
    /// The size requested for each socket buffer of a connection.
    pub socket_buffer: Option<ByteSize>,
    /// The timeout between the head of a response and its first event.
    #[serde(with = "humantime_serde")]
    pub opening: Option<Duration>,
    /// The timeout between two events, after which a stream counts as stalled.
    #[serde(with = "humantime_serde")]
    pub silence: Option<Duration>,
    /// The timeout within a chunk or an event.
    #[serde(with = "humantime_serde")]
    pub stall: Option<Duration>,
    /// The timeout after the last event, for the last chunk.
    #[serde(with = "humantime_serde")]
    pub tail: Option<Duration>,
    /// Limits the idle timeout to this multiple of the longest pause after which a stream continued.
    pub pace_factor: Option<f64>,
    /// The lower bound of the timeout that `pace_factor` gives.
    #[serde(with = "humantime_serde")]
    pub pace_least: Option<Duration>,
    /// The interval over which the progress of a reader is checked.
    #[serde(with = "humantime_serde")]
    pub reader_span: Option<Duration>,
    /// The minimum number of bytes that a reader takes in that interval while bytes are waiting for it.
    pub reader_floor: Option<ByteSize>,
    /// The time a client has to read buffered bytes after its stream failed.
    #[serde(with = "humantime_serde")]
    pub linger: Option<Duration>,
    /// The time after SIGTERM at which streams are cut.
    #[serde(with = "humantime_serde")]
    pub stop_within: Option<Duration>,
    /// The interval between two snapshots of the statistics in the log.
    #[serde(with = "humantime_serde")]
    pub figures_every: Option<Duration>,
}

/// Outlier ejection of replicas.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OutlierEjection {
    /// The window over which the ends of streams are counted.
    #[serde(with = "humantime_serde")]
    pub span: Option<Duration>,
    /// The minimum number of failures in a window before an ejection.
    pub faults: Option<usize>,
    /// The minimum share of failures before an ejection, 0 to 1.
    pub share: Option<f64>,
    /// The minimum ratio of this share to that of the other replicas.
    pub above: Option<f64>,
    /// The duration of the first ejection.
    #[serde(with = "humantime_serde")]
    pub first: Option<Duration>,
    /// The longest ejection.
    #[serde(with = "humantime_serde")]
    pub longest: Option<Duration>,
    /// The maximum share of replicas that are ejected at a time, 0 to 1.
    pub most_resting: Option<f64>,
}

impl Settings {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// The first [`SettingsError`] of the file: unreadable, invalid HCL, an unknown key, or a value out of its range.
    pub fn load(path: &str) -> Result<Settings, SettingsError> {
        let file_error = |problem: String| {
            let file = path.to_owned();
            SettingsError { file, position: None, key: String::new(), problem }
        };
        if Path::new(path).extension().is_some_and(|e| e == "json") {
            return Err(file_error(
                "JSON settings are not supported; see deploy/tulipridge.hcl for the HCL format".into(),
            ));
        }
        let text = fs::read_to_string(path).map_err(|e| file_error(e.to_string()))?;
        Settings::parse(path, &text)
    }

    /// Parses the text of a file; error messages name `path`.
    ///
    /// # Errors
    ///
    /// The first [`SettingsError`] of the text: invalid HCL, an unknown key, or a value out of its range.
    pub fn parse(path: &str, text: &str) -> Result<Settings, SettingsError> {
        parse_hcl(path, text, Settings::check)
    }

    /// Overrides the limits that follow from the size of the machine.
    pub fn apply(&self, limits: &mut Limits) {
        let s = &self.streams;
        limits.replicas.first_event_timeout = s.opening.unwrap_or(limits.replicas.first_event_timeout);
        let m = &mut limits.messages;
        m.body_bytes = self.messages.body.map_or(m.body_bytes, |b| b.0 as usize);
        m.assembled_bytes = self.messages.whole_answer.map_or(m.assembled_bytes, |b| b.0 as usize);
        let l = &mut limits.stream;
        let set_bytes =
            |limit: &mut usize, value: Option<ByteSize>| *limit = value.map_or(*limit, |b| b.0 as usize);
        let set_duration = |limit: &mut Duration, value: Option<Duration>| *limit = value.unwrap_or(*limit);
        set_bytes(&mut l.high_watermark, s.window);
        l.low_watermark = l.high_watermark / 4;
        set_bytes(&mut l.budget, s.budget);
        set_bytes(&mut limits.wire.socket_buffer, s.socket_buffer);
        set_bytes(&mut l.reader_min_bytes, s.reader_floor);
        set_duration(&mut l.idle_timeout, s.silence);
        set_duration(&mut l.partial_event_timeout, s.stall);
        set_duration(&mut l.last_chunk_timeout, s.tail);
        set_duration(&mut l.reader_interval, s.reader_span);
        set_duration(&mut l.linger, s.linger);
        set_duration(&mut l.shutdown_timeout, s.stop_within);
        let pace = s.pace_factor.zip(s.pace_least);
        l.pace = pace.map(|(factor, min_timeout)| PaceLimit { factor, min_timeout }).or(l.pace);
        l.statistics_interval = s.figures_every.or(l.statistics_interval);
        if let Some(r) = &self.outlier_ejection {
            let mut outliers = OutlierLimits::default();
            set_duration(&mut outliers.window, r.span);
            set_duration(&mut outliers.ejection_time, r.first);
            set_duration(&mut outliers.max_ejection_time, r.longest);
            outliers.min_failures = r.faults.unwrap_or(outliers.min_failures);
            outliers.min_failure_rate = r.share.unwrap_or(outliers.min_failure_rate);
            outliers.ratio_to_others = r.above.unwrap_or(outliers.ratio_to_others);
            outliers.max_ejected_share = r.most_resting.unwrap_or(outliers.max_ejected_share);
            limits.outliers = Some(outliers);
        }
    }
}
