//! The program's own settings, in HCL: `deploy/tulipridge.hcl`, or the file that the command line or
//! `TULIPRIDGE_SETTINGS` names. On the platform all that listens is off.
//!
//! Unknown keys are refused, and each fault names its key, its value and its place in the file.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytesize::ByteSize;
use hcl_edit::Span;
use hcl_edit::structure::{Body, Structure};
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::api_keys;
use crate::limits::{Limits, RestLimits};
use crate::names::Dialect;

/// The longest time-out of a stream.
const HOUR: Duration = Duration::from_secs(3600);

/// The longest span between events of the program's own.
const DAY: Duration = Duration::from_secs(24 * 3600);

/// All of the program's own settings.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The messages front.
    pub messages: Messages,
    /// Dialects of real servers by their kind; the platform's where nothing is said.
    pub dialects: BTreeMap<String, Dialect>,
    /// Speeds of real servers by their kind, beside one another; 1 where nothing is said.
    pub speeds: BTreeMap<String, f64>,
    /// The list service.
    pub list: List,
    /// The replicated store.
    pub store: Store,
    /// The log.
    pub syslog: Syslog,
    /// Streams that are passed on.
    pub streams: Streams,
    /// Rests of real servers that spoil streams; off without it.
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
    /// Bytes of an answer that is put together before it is sent.
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
    /// Tokens of answers.
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
    /// Tokens of an answer at the most.
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
    /// Time for the first event of an answer whose head is there.
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

/// When a real server rests.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rest {
    /// The span over which ends are counted.
    #[serde(with = "humantime_serde")]
    pub span: Option<Duration>,
    /// ParseError ends in a span before a rest.
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

/// What is wrong with a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The file.
    pub file: String,
    /// Line and column, if they are known.
    pub place: Option<(usize, usize)>,
    /// The key, with those it lies in; empty for the file as such.
    pub key: String,
    /// The fault in words.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if let Some((line, column)) = self.place {
            write!(f, ":{line}:{column}")?;
        }
        if !self.key.is_empty() {
            write!(f, ": {}", self.key)?;
        }
        write!(f, ": {}", self.what)
    }
}

impl Settings {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// The first `Fault` of the file: unreadable, no HCL, an unknown key, or a value out of its range.
    pub fn load(path: &str) -> Result<Settings, Fault> {
        let fault = |what: String| Fault { file: path.to_owned(), place: None, key: String::new(), what };
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
    /// The first `Fault` of the text: no HCL, an unknown key, or a value out of its range.
    pub fn parse(path: &str, text: &str) -> Result<Settings, Fault> {
        parse_hcl(path, text, Settings::check)
    }

    /// What each value alone does not show: ranges, and values that must go together.
    fn check(&self) -> Result<(), (String, String)> {
        self.check_streams().map_err(|(key, what)| (key.to_owned(), what))?;
        for (kind, speed) in &self.speeds {
            if !(0.01..=100.0).contains(speed) {
                return Err((format!("speeds.{kind}"), format!("{speed} is not between 0.01 and 100")));
            }
        }
        if let Some(rate) = self.list.calls_per_s.filter(|r| !(0.1..=100_000.0).contains(r)) {
            return Err(("list.calls_per_s".into(), format!("{rate} is not between 0.1 and 100000")));
        }
        self.check_messages()
    }

    fn check_messages(&self) -> Result<(), (String, String)> {
        let m = &self.messages;
        let wrong = |key: String, what: &str| Err((key, what.to_owned()));
        let mut hashes = BTreeMap::new();
        for (name, key) in &m.keys {
            let place = format!("messages.keys.{name}.sha256");
            let Some(hash) = api_keys::hash_of(&key.sha256) else {
                return wrong(place, "not 64 hex digits; 'tulipridge key' makes a key and its hash");
            };
            if let Some(other) = hashes.insert(hash, name) {
                return wrong(place, &format!("the hash of '{other}' too"));
            }
        }
        for (tenant, rates) in &m.limits {
            for (name, rate) in [
                ("requests", rates.requests),
                ("input_tokens", rates.input_tokens),
                ("output_tokens", rates.output_tokens),
            ] {
                if rate == Some(0) {
                    return wrong(format!("messages.limits.{tenant}.{name}"), "0 would let nobody in");
                }
            }
        }
        for (id, model) in &m.models {
            if let Some(created) = model.created.as_deref()
                && humantime::parse_rfc3339(created).is_err()
            {
                return wrong(
                    format!("messages.models.{id}.created"),
                    "no time as in 2026-01-31T00:00:00Z",
                );
            }
        }
        if m.only_listed && m.models.is_empty() {
            return wrong("messages.only_listed".into(), "no model is listed under messages.models");
        }
        Ok(())
    }

    fn check_streams(&self) -> Result<(), (&'static str, String)> {
        self.check_sizes()?;
        self.check_durations()?;
        self.check_pace()?;
        if let Some(rest) = &self.rest {
            rest.check()?;
        }
        self.check_listeners()
    }

    fn check_sizes(&self) -> Result<(), (&'static str, String)> {
        let s = &self.streams;
        check_size("messages.body", self.messages.body, 1 << 10, 32 << 20)?;
        check_size("messages.whole_answer", self.messages.whole_answer, 4 << 10, 16 << 20)?;
        check_size("streams.window", s.window, 4 << 10, 4 << 20)?;
        check_size("streams.budget", s.budget, 64 << 10, 64 << 30)?;
        check_size("streams.socket_buffer", s.socket_buffer, 4 << 10, 4 << 20)?;
        check_size("streams.reader_floor", s.reader_floor, 1, 16 << 20)?;
        if let (Some(window), Some(budget)) = (s.window, s.budget)
            && window > budget
        {
            return Err(("streams.window", format!("{window} is more than streams.budget, {budget}")));
        }
        Ok(())
    }

    fn check_durations(&self) -> Result<(), (&'static str, String)> {
        let s = &self.streams;
        let shortest = Duration::from_millis(100);
        check_duration("streams.opening", s.opening, shortest, HOUR)?;
        check_duration("streams.silence", s.silence, shortest, HOUR)?;
        check_duration("streams.stall", s.stall, shortest, HOUR)?;
        check_duration("streams.tail", s.tail, shortest, HOUR)?;
        check_duration("streams.pace_least", s.pace_least, shortest, HOUR)?;
        check_duration("streams.reader_span", s.reader_span, shortest, HOUR)?;
        check_duration("streams.linger", s.linger, Duration::ZERO, HOUR)?;
        check_duration("streams.stop_within", s.stop_within, Duration::ZERO, DAY)?;
        check_duration("streams.figures_every", s.figures_every, Duration::from_secs(1), DAY)
    }

    fn check_pace(&self) -> Result<(), (&'static str, String)> {
        let s = &self.streams;
        match s.pace_factor {
            Some(factor) if !(1.0..=1000.0).contains(&factor) => {
                Err(("streams.pace_factor", format!("{factor} is not between 1 and 1000")))
            }
            Some(_) if s.pace_least.is_none() => {
                Err(("streams.pace_factor", "needs streams.pace_least beside it".into()))
            }
            None if s.pace_least.is_some() => {
                Err(("streams.pace_least", "needs streams.pace_factor beside it".into()))
            }
            _ => Ok(()),
        }
    }

    fn check_listeners(&self) -> Result<(), (&'static str, String)> {
        if let Some(addr) = self.messages.listen.filter(|a| a.port() != 0)
            && self.store.listen == Some(addr)
        {
            return Err(("store.listen", format!("{addr} is messages.listen already")));
        }
        Ok(())
    }

    /// Puts what is set here in place of what the machine's size gave.
    pub fn apply(&self, limits: &mut Limits) {
        let s = &self.streams;
        limits.stream_opening = s.opening.unwrap_or(limits.stream_opening);
        let m = &mut limits.messages;
        m.body_bytes = self.messages.body.map_or(m.body_bytes, |b| b.0 as usize);
        m.whole_bytes = self.messages.whole_answer.map_or(m.whole_bytes, |b| b.0 as usize);
        let l = &mut limits.stream;
        let set = |to: &mut usize, from: Option<ByteSize>| *to = from.map_or(*to, |b| b.0 as usize);
        let time = |to: &mut Duration, from: Option<Duration>| *to = from.unwrap_or(*to);
        set(&mut l.high, s.window);
        l.low = l.high / 4;
        set(&mut l.budget, s.budget);
        set(&mut limits.wire.socket_buffer, s.socket_buffer);
        set(&mut l.reader_floor, s.reader_floor);
        time(&mut l.silence, s.silence);
        time(&mut l.stall, s.stall);
        time(&mut l.tail, s.tail);
        time(&mut l.reader_span, s.reader_span);
        time(&mut l.linger, s.linger);
        time(&mut l.stop, s.stop_within);
        l.pace = s.pace_factor.zip(s.pace_least).or(l.pace);
        l.figures_every = s.figures_every.or(l.figures_every);
        if let Some(r) = &self.rest {
            let mut rest = RestLimits::default();
            time(&mut rest.span, r.span);
            time(&mut rest.rest, r.first);
            time(&mut rest.longest_rest, r.longest);
            rest.faults = r.faults.unwrap_or(rest.faults);
            rest.share = r.share.unwrap_or(rest.share);
            rest.above = r.above.unwrap_or(rest.above);
            rest.most_resting = r.most_resting.unwrap_or(rest.most_resting);
            limits.rest = Some(rest);
        }
    }
}

impl Rest {
    fn check(&self) -> Result<(), (&'static str, String)> {
        check_duration("rest.span", self.span, Duration::from_secs(1), DAY)?;
        check_duration("rest.first", self.first, Duration::from_millis(100), DAY)?;
        check_duration("rest.longest", self.longest, Duration::from_millis(100), DAY)?;
        if let (Some(first), Some(longest)) = (self.first, self.longest)
            && first > longest
        {
            return Err(("rest.first", "longer than rest.longest".into()));
        }
        if self.faults.is_some_and(|f| f == 0 || f > 64) {
            return Err(("rest.faults", "not between 1 and 64".into()));
        }
        for (key, given) in [("rest.share", self.share), ("rest.most_resting", self.most_resting)] {
            if given.is_some_and(|g| !(0.0..=1.0).contains(&g)) {
                return Err((key, "not between 0 and 1".into()));
            }
        }
        if self.above.is_some_and(|a| !(1.0..=1000.0).contains(&a)) {
            return Err(("rest.above", "not between 1 and 1000".into()));
        }
        Ok(())
    }
}

/// Checks that a size, where one is given, lies between two numbers of bytes.
fn check_size(
    key: &'static str,
    given: Option<ByteSize>,
    least: u64,
    most: u64,
) -> Result<(), (&'static str, String)> {
    match given {
        Some(ByteSize(bytes)) if bytes < least || bytes > most => {
            let (given, least, most) = (ByteSize(bytes), ByteSize(least), ByteSize(most));
            Err((key, format!("{given} is not between {least} and {most}")))
        }
        _ => Ok(()),
    }
}

/// Checks that a duration, where one is given, lies between two others.
fn check_duration(
    key: &'static str,
    given: Option<Duration>,
    least: Duration,
    most: Duration,
) -> Result<(), (&'static str, String)> {
    match given {
        Some(duration) if duration < least || duration > most => {
            let shown = humantime::format_duration;
            Err((key, format!("{} is not between {} and {}", shown(duration), shown(least), shown(most))))
        }
        _ => Ok(()),
    }
}

/// Reads HCL of any form; `path` is for the faults, and `check` tells the key and the fault that single values
/// don't show.
///
/// # Errors
///
/// The first `Fault`: no HCL, a key given twice, not of the form of `T`, or what `check` finds.
pub fn parse_hcl<T: DeserializeOwned>(
    path: &str,
    text: &str,
    check: impl FnOnce(&T) -> Result<(), (String, String)>,
) -> Result<T, Fault> {
    parse_hcl_over(&[(path, text)], check)
}

/// The same for files of which each says what differs from those before it: what it has in blocks goes into theirs,
/// anything else takes the place of theirs, and `null` takes theirs away.
///
/// # Errors
///
/// The first `Fault`, at its place in the last file that has the key: as for `parse_hcl`.
pub fn parse_hcl_over<T: DeserializeOwned>(
    files: &[(&str, &str)],
    check: impl FnOnce(&T) -> Result<(), (String, String)>,
) -> Result<T, Fault> {
    let (mut bodies, mut merged) = (Vec::new(), serde_json::Value::Object(serde_json::Map::new()));
    for (path, text) in files {
        let body: Body = hcl_edit::parser::parse_body(text).map_err(|e| Fault {
            file: (*path).to_owned(),
            place: Some((e.location().line(), e.location().column())),
            key: String::new(),
            what: e.message().to_owned(),
        })?;
        let fault = |key: &str, what: String| {
            let place = place(text, &body, key).map(|(_, place)| place);
            Fault { file: (*path).to_owned(), place, key: key.to_owned(), what }
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
    let fault = |key: &str, what: String| {
        let places = bodies.iter().map(|(path, text, body)| (path, place(text, body, key)));
        let found = places.max_by_key(|(_, place)| place.map_or(0, |(depth, _)| depth));
        let file = found.map_or(String::new(), |(path, _)| (**path).to_owned());
        let place = found.and_then(|(_, place)| place).map(|(_, place)| place);
        Fault { file, place, key: key.to_owned(), what }
    };
    let shown = merged.clone();
    let read: T = serde_path_to_error::deserialize(merged).map_err(|e| {
        let key = e.path().to_string();
        let key = key.trim_start_matches('.');
        let given = find(&shown, key).filter(|v| !v.is_object() && !v.is_array());
        let given = given.map_or(String::new(), |v| format!(" (given: {v})"));
        fault(key, format!("{}{given}", e.inner()))
    })?;
    check(&read).map_err(|(key, what)| fault(&key, what))?;
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

/// Where a key stands in the text: the deepest part of it that is there, since what is missing has no place; and how
/// many parts that is.
fn place(text: &str, body: &Body, key: &str) -> Option<(usize, (usize, usize))> {
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
    Some((depth, (before.matches('\n').count() + 1, column)))
}
