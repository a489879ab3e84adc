//! The program's own settings, in HCL: `deploy/tulipridge.hcl`, or the file that the command line or
//! `TULIPRIDGE_SETTINGS` names. On the platform all that listens is off.
//!
//! Unknown keys are refused, and each fault names its key, its value and its place in the file.

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
    /// Dialects of replicas by their kind; the platform's where nothing is said.
    pub dialects: BTreeMap<String, Dialect>,
    /// Speeds of replicas by their kind, beside one another; 1 where nothing is said.
    pub speeds: BTreeMap<String, f64>,
    /// The list service.
    pub list: List,
    /// The replicated store.
    pub store: Store,
    /// The log.
    pub syslog: Syslog,
    /// Streams that are passed on.
    pub streams: Streams,
    /// Rests of replicas that spoil streams; off without it.
    pub rest: Option<Rest>,
    /// Begun streams go on in the process that follows this one on an inherited listener.
    pub handover: bool,
}

/// The messages front's part.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Messages {
    /// Where it listens; off if absent.
    pub listen: Option<SocketAddr>,
    /// Classes by model.
    pub classes: BTreeMap<String, String>,
    /// The class of other models; else the platform settings' first.
    pub class: Option<String>,
    /// The tenant of requests that name none.
    pub tenant: Option<String>,
    /// Clients' keys by their names; without any, nobody is asked for one.
    pub keys: BTreeMap<String, Key>,
    /// What tenants may have in a minute.
    pub limits: BTreeMap<String, Rates>,
    /// The models that clients are told of, by their ids.
    pub models: BTreeMap<String, Model>,
    /// Only these models may be asked for.
    pub only_listed: bool,
    /// Bytes of a request's body.
    pub body: Option<ByteSize>,
    /// Bytes of a response that is assembled before it is sent.
    pub whole_answer: Option<ByteSize>,
}

/// A client's key.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// The SHA-256 of the key, in hex digits.
    pub sha256: String,
    /// The tenant whose it is; else that of requests that name none.
    pub tenant: Option<String>,
    /// The models that it is for; all if none is named.
    #[serde(default)]
    pub models: Vec<String>,
}

/// What a tenant may have in a minute; what is absent is not limited.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rates {
    /// Requests.
    pub requests: Option<u64>,
    /// Tokens of prompts, those found kept apart.
    pub input_tokens: Option<u64>,
    /// Tokens of responses.
    pub output_tokens: Option<u64>,
}

/// A model that clients are told of.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Model {
    /// What people call it; else its id.
    pub name: Option<String>,
    /// Its making, RFC 3339; else long ago.
    pub created: Option<String>,
    /// Tokens of a prompt at the most.
    pub input_tokens: Option<u64>,
    /// Maximum number of output tokens.
    pub output_tokens: Option<u64>,
}

/// The list service's part.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct List {
    /// Calls that it can answer in a second, for all gateways together; 60 ms each where nobody says.
    pub calls_per_s: Option<f64>,
}

/// The store's part.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Store {
    /// Where peers connect; off if absent.
    pub listen: Option<SocketAddr>,
    /// The peers.
    pub peers: Vec<SocketAddr>,
}

/// The log's part.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Syslog {
    /// A collector that takes RFC 5424 over TCP; standard error if absent.
    pub tcp: Option<SocketAddr>,
}

/// What streams may hold and wait for; what is absent stays as the machine's size gives it.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Streams {
    /// Bytes that a stream holds before it is no longer read.
    pub window: Option<ByteSize>,
    /// Bytes that all streams together hold before they are cut.
    pub budget: Option<ByteSize>,
    /// The size asked for of each of the system's buffers for a connection.
    pub socket_buffer: Option<ByteSize>,
    /// Time between the head of a response and its first event.
    #[serde(with = "humantime_serde")]
    pub opening: Option<Duration>,
    /// Silence between two events before a stream counts as stalled.
    #[serde(with = "humantime_serde")]
    pub silence: Option<Duration>,
    /// The same amid a chunk or an event.
    #[serde(with = "humantime_serde")]
    pub stall: Option<Duration>,
    /// The same after the last event, for the last chunk.
    #[serde(with = "humantime_serde")]
    pub tail: Option<Duration>,
    /// Limits silence to so many times the longest that a stream came back from.
    pub pace_factor: Option<f64>,
    /// The least that `pace_factor` comes to.
    #[serde(with = "humantime_serde")]
    pub pace_least: Option<Duration>,
    /// The span over which a reader's progress is looked at.
    #[serde(with = "humantime_serde")]
    pub reader_span: Option<Duration>,
    /// Bytes that a reader takes in that span at the least, while bytes wait for it.
    pub reader_floor: Option<ByteSize>,
    /// Time for a client to take what waits after its stream broke.
    #[serde(with = "humantime_serde")]
    pub linger: Option<Duration>,
    /// Time after SIGTERM at which streams are cut.
    #[serde(with = "humantime_serde")]
    pub stop_within: Option<Duration>,
    /// Pause between two snapshots of the figures in the log.
    #[serde(with = "humantime_serde")]
    pub figures_every: Option<Duration>,
}

/// When a replica rests.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rest {
    /// The span over which ends are counted.
    #[serde(with = "humantime_serde")]
    pub span: Option<Duration>,
    /// Failed ends in a span before a rest.
    pub faults: Option<usize>,
    /// The share of bad ends before a rest, 0 to 1.
    pub share: Option<f64>,
    /// How many times the others' share it must be.
    pub above: Option<f64>,
    /// The first rest.
    #[serde(with = "humantime_serde")]
    pub first: Option<Duration>,
    /// The longest rest.
    #[serde(with = "humantime_serde")]
    pub longest: Option<Duration>,
    /// The part of the fleet that rests at most, 0 to 1.
    pub most_resting: Option<f64>,
}

impl Settings {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// The first [`SettingsError`] of the file: unreadable, no HCL, an unknown key, or a value out of its range.
    pub fn load(path: &str) -> Result<Settings, SettingsError> {
        let fault = |problem: String| {
            let file = path.to_owned();
            SettingsError { file, position: None, key: String::new(), problem }
        };
        if Path::new(path).extension().is_some_and(|e| e == "json") {
            return Err(fault(
                "settings are HCL now, not JSON: see deploy/tulipridge.hcl for the form".into(),
            ));
        }
        let text = fs::read_to_string(path).map_err(|e| fault(e.to_string()))?;
        Settings::parse(path, &text)
    }

    /// Reads a file's text; `path` is for the faults.
    ///
    /// # Errors
    ///
    /// The first [`SettingsError`] of the text: no HCL, an unknown key, or a value out of its range.
    pub fn parse(path: &str, text: &str) -> Result<Settings, SettingsError> {
        parse_hcl(path, text, Settings::check)
    }

    /// Puts what is set here in place of what the machine's size gave.
    pub fn apply(&self, limits: &mut Limits) {
        let s = &self.streams;
        limits.replicas.first_event_timeout = s.opening.unwrap_or(limits.replicas.first_event_timeout);
        let m = &mut limits.messages;
        m.body_bytes = self.messages.body.map_or(m.body_bytes, |b| b.0 as usize);
        m.assembled_bytes = self.messages.whole_answer.map_or(m.assembled_bytes, |b| b.0 as usize);
        let l = &mut limits.stream;
        let set = |to: &mut usize, from: Option<ByteSize>| *to = from.map_or(*to, |b| b.0 as usize);
        let time = |to: &mut Duration, from: Option<Duration>| *to = from.unwrap_or(*to);
        set(&mut l.high_watermark, s.window);
        l.low_watermark = l.high_watermark / 4;
        set(&mut l.budget, s.budget);
        set(&mut limits.wire.socket_buffer, s.socket_buffer);
        set(&mut l.reader_min_bytes, s.reader_floor);
        time(&mut l.idle_timeout, s.silence);
        time(&mut l.partial_event_timeout, s.stall);
        time(&mut l.last_chunk_timeout, s.tail);
        time(&mut l.reader_interval, s.reader_span);
        time(&mut l.linger, s.linger);
        time(&mut l.shutdown_timeout, s.stop_within);
        let pace = s.pace_factor.zip(s.pace_least);
        l.pace = pace.map(|(factor, min_timeout)| PaceLimit { factor, min_timeout }).or(l.pace);
        l.statistics_interval = s.figures_every.or(l.statistics_interval);
        if let Some(r) = &self.rest {
            let mut outliers = OutlierLimits::default();
            time(&mut outliers.window, r.span);
            time(&mut outliers.ejection_time, r.first);
            time(&mut outliers.max_ejection_time, r.longest);
            outliers.min_failures = r.faults.unwrap_or(outliers.min_failures);
            outliers.min_failure_rate = r.share.unwrap_or(outliers.min_failure_rate);
            outliers.ratio_to_others = r.above.unwrap_or(outliers.ratio_to_others);
            outliers.max_ejected_share = r.most_resting.unwrap_or(outliers.max_ejected_share);
            limits.outliers = Some(outliers);
        }
    }
}
