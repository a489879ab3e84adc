//! Values of the wire, each with a plain message for what is wrong.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::str::{FromStr, Split};

use snafu::Snafu;
use tulipridge::names::load_metric_named;
use tulipridge::types::{
    Class, Effect, Limits, Member, Nanos, Phase, ReplicaId, RequestId, Scope, Settings, SlowStartSettings,
    Tenant, UnitsMeaning, Verdict,
};

/// A field of a line that can't be used.
#[derive(Debug, Snafu)]
#[snafu(display("{field}: {problem}"))]
pub(crate) struct FieldError {
    /// Its name.
    field: String,
    /// What is wrong with it.
    problem: String,
}

/// The error of a field.
pub(crate) fn invalid(field: &str, problem: impl Display) -> FieldError {
    FieldError { field: field.to_owned(), problem: problem.to_string() }
}

/// Keys stay below this.
const KEY_END: u64 = 1 << 53;

/// The parts of a line, taken one by one.
pub(crate) struct Parts<'a>(Split<'a, char>);

impl<'a> Parts<'a> {
    pub(crate) fn new(line: &'a str) -> Self {
        Parts(line.split(' '))
    }

    /// The next part, absent or not.
    pub(crate) fn part(&mut self, field: &str) -> Result<Option<&'a str>, FieldError> {
        match self.0.next() {
            None | Some("") => Err(invalid(field, "missing")),
            Some("-") => Ok(None),
            Some(part) => Ok(Some(part)),
        }
    }

    /// The next part, which must be there.
    pub(crate) fn text(&mut self, field: &str) -> Result<&'a str, FieldError> {
        self.part(field)?.ok_or_else(|| invalid(field, "absent"))
    }

    pub(crate) fn integer<T: FromStr>(&mut self, field: &str) -> Result<T, FieldError> {
        integer(field, self.text(field)?)
    }

    pub(crate) fn integer_or<T: FromStr>(&mut self, field: &str, absent: T) -> Result<T, FieldError> {
        self.part(field)?.map_or(Ok(absent), |part| integer(field, part))
    }

    /// A time-like span that must not be negative.
    pub(crate) fn span(&mut self, field: &str) -> Result<Nanos, FieldError> {
        self.integer_or(field, 0)
    }

    /// A count of tokens, which may be written with decimals.
    pub(crate) fn count(&mut self, field: &str) -> Result<u32, FieldError> {
        let Some(part) = self.part(field)? else { return Ok(0) };
        let value = number(field, part)?;
        if !(0.0..=f64::from(u32::MAX)).contains(&value) {
            return Err(invalid(field, format_args!("'{part}' is out of range")));
        }
        Ok(value as u32)
    }

    pub(crate) fn key(&mut self, field: &str) -> Result<Option<u64>, FieldError> {
        let Some(part) = self.part(field)? else { return Ok(None) };
        match integer::<u64>(field, part)? {
            key if key < KEY_END => Ok(Some(key)),
            _ => Err(invalid(field, format_args!("'{part}' is not below 2^53"))),
        }
    }

    pub(crate) fn flag(&mut self, field: &str) -> Result<bool, FieldError> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => Err(invalid(field, format_args!("'{other}' is neither 0 nor 1"))),
        }
    }

    pub(crate) fn request(&mut self) -> Result<RequestId, FieldError> {
        let field = "msg-id";
        let part = self.text(field)?;
        let hex = part.len() == 16 && part.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        let id = hex.then(|| u64::from_str_radix(part, 16).ok()).flatten();
        id.map(RequestId).ok_or_else(|| invalid(field, format_args!("'{part}' is not 16 hex digits")))
    }

    pub(crate) fn verdict(&mut self) -> Result<Verdict, FieldError> {
        Ok(match self.text("outcome")? {
            "Ok" => Verdict::Ok,
            "Failed" => Verdict::Error,
            "QueueFull" => Verdict::Full,
            "TimedOut" => Verdict::TimedOut,
            "ConnectError" => Verdict::NoConnection,
            "ResetByPeer" => Verdict::Reset,
            "Canceled" => Verdict::Cancelled,
            "Ignored" => Verdict::NotSent,
            other => return Err(invalid("outcome", format_args!("'{other}' is no known outcome"))),
        })
    }

    /// A load report; a value that is not there is not a number.
    pub(crate) fn report(&mut self) -> Result<Vec<f64>, FieldError> {
        let Some(part) = self.part("gauge")? else { return Ok(Vec::new()) };
        let value = |v| if v == "-" { Ok(f64::NAN) } else { number("gauge", v) };
        part.split(',').map(value).collect()
    }

    pub(crate) fn bytes(&mut self, field: &str) -> Result<Vec<u8>, FieldError> {
        let Some(part) = self.part(field)? else { return Ok(Vec::new()) };
        let byte = |pair: &[u8]| {
            let digit = |d: u8| char::from(d).to_digit(16);
            Some((digit(*pair.first()?)? * 16 + digit(*pair.get(1)?)?) as u8)
        };
        let bytes: Option<Vec<u8>> = part.as_bytes().chunks(2).map(byte).collect();
        bytes.ok_or_else(|| invalid(field, "not bytes in hex digits"))
    }

    /// Nothing may be left.
    pub(crate) fn end(mut self) -> Result<(), FieldError> {
        match self.0.next() {
            None => Ok(()),
            Some(extra) => Err(invalid("line", format_args!("'{extra}' is one part too many"))),
        }
    }

    /// What is left, as path=value pairs.
    pub(crate) fn pairs(self) -> Result<Pairs<'a>, FieldError> {
        let pair = |part: &'a str| part.split_once('=').ok_or_else(|| invalid("setup", "not path=value"));
        Ok(Pairs(self.0.filter(|p| !p.is_empty() && *p != "-").map(pair).collect::<Result<_, _>>()?))
    }
}

fn integer<T: FromStr>(field: &str, part: &str) -> Result<T, FieldError> {
    part.parse().map_err(|_| invalid(field, format_args!("'{part}' is no whole number in range")))
}

fn number(field: &str, part: &str) -> Result<f64, FieldError> {
    let value = part.parse::<f64>().ok().filter(|v| v.is_finite());
    value.ok_or_else(|| invalid(field, format_args!("'{part}' is no number")))
}

/// The start-up parameters; those of no use here are never asked for, and so skipped.
pub(crate) struct Pairs<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Pairs<'a> {
    fn get(&self, path: &str) -> Option<&'a str> {
        self.0.get(path).copied().filter(|v| *v != "-")
    }

    fn must(&self, path: &str) -> Result<&'a str, FieldError> {
        self.get(path).ok_or_else(|| invalid(path, "missing"))
    }

    fn nanos(&self, path: &str, absent: Nanos) -> Result<Nanos, FieldError> {
        self.get(path).map_or(Ok(absent), |v| integer(path, v))
    }

    fn number(&self, path: &str, absent: f64) -> Result<f64, FieldError> {
        self.get(path).map_or(Ok(absent), |v| number(path, v))
    }

    fn flag(&self, path: &str, absent: bool) -> Result<bool, FieldError> {
        match self.get(path) {
            None => Ok(absent),
            Some("true" | "1") => Ok(true),
            Some("false" | "0") => Ok(false),
            Some(other) => Err(invalid(path, format_args!("'{other}' is neither true nor false"))),
        }
    }

    fn list(&self, path: &str) -> Vec<String> {
        let values = self.get(path).filter(|v| !v.is_empty());
        values.map_or(Vec::new(), |v| v.split(',').map(str::to_owned).collect())
    }

    /// One number of a list with a place for each class; 0 where there is none.
    fn of_class(&self, path: &str, class: usize) -> Result<f64, FieldError> {
        let part = self.get(path).and_then(|v| v.split(',').nth(class)).filter(|v| !v.is_empty());
        part.map_or(Ok(0.0), |v| number(path, v))
    }
}

/// The settings of a gateway, with the names that its events use.
pub(crate) struct Names {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
}

/// Sizes of lists of objects beyond this are taken for a fault.
const LIST_END: usize = 10_000;

/// Reads the settings of a gateway.
pub(crate) fn settings(pairs: &Pairs<'_>) -> Result<(Settings, Names), FieldError> {
    let mut names = Names { classes: vec![], tenants: vec![], zones: pairs.list("localities") };
    let classes = classes(pairs, &mut names)?;
    let tenants = tenants(pairs, &mut names)?;
    let zone = pairs.get("zone").filter(|zone| !zone.is_empty());
    let zone = zone.map(|zone| number_of(&mut names.zones, zone));
    let settings = Settings {
        has_prefix_transfer: false,
        speeds: Vec::new(),
        list_calls_per_s: None,
        limits: limits(pairs)?,
        slow_start: slow_start(pairs)?,
        group_size: integer("group-size", pairs.must("group-size")?)?,
        gateway_index: pairs.nanos("me", 0)? as u32,
        zone,
        has_pushed_list: has_pushed_list(pairs)?,
        tick: pairs.nanos("granularity-ns", 0)?,
        classes,
        tenants,
        over_share_value: pairs.number("over-share-worth", 1.0)?,
        units_meaning: units_meaning(pairs)?,
        load_metrics: pairs.list("report.fields").iter().map(|name| load_metric_named(name)).collect(),
    };
    Ok((settings, names))
}

/// The length of a list of objects.
fn count(pairs: &Pairs<'_>, path: &str) -> Result<usize, FieldError> {
    let count = pairs.get(path).map_or(Ok(0), |text| integer(path, text))?;
    if count > LIST_END { Err(invalid(path, "too many")) } else { Ok(count) }
}

fn classes(pairs: &Pairs<'_>, names: &mut Names) -> Result<Vec<Class>, FieldError> {
    let mut classes = Vec::new();
    for n in 0..count(pairs, "lanes.count")? {
        let path = |name: &str| format!("lanes.{n}.{name}");
        names.classes.push(pairs.must(&path("name"))?.to_owned());
        let effect = effect(pairs, path)?;
        let slope = pairs.of_class("family-info.aim-us-per-1000-prompt-tokens", n)?;
        classes.push(Class {
            latency_target: integer(&path("promise-ns"), pairs.must(&path("promise-ns"))?)?,
            latency_target_per_token: slope.max(0.0) as Nanos,
            inter_token_target: pairs.of_class("family-info.token-aim-ns", n)?.max(0.0) as Nanos,
            deadline: integer(&path("deadline-ns"), pairs.must(&path("deadline-ns"))?)?,
            effect,
            value: pairs.number(&path("points"), 1.0)?,
            late_value: pairs.number(&path("late-worth"), 0.0)?,
            stream: pairs.flag(&path("stream"), false)?,
        });
    }
    Ok(classes)
}

fn effect(pairs: &Pairs<'_>, path: impl Fn(&str) -> String) -> Result<Effect, FieldError> {
    let scope = match pairs.get(&path("key-scope")) {
        None | Some("all") => Scope::All,
        Some("zone") => Scope::Zone,
        Some("cell") => Scope::Cell,
        Some(other) => {
            return Err(invalid(&path("key-scope"), format_args!("'{other}' is no known group")));
        }
    };
    let window = pairs.nanos(&path("key-ttl-ns"), 0)?;
    match pairs.must(&path("effect"))? {
        "retryable" => Ok(Effect::Safe),
        "dedup" => Ok(Effect::Keyed { scope, window }),
        "fragile" => Ok(Effect::Unsafe),
        other => Err(invalid(&path("effect"), format_args!("'{other}' is no known effect"))),
    }
}

fn tenants(pairs: &Pairs<'_>, names: &mut Names) -> Result<Vec<Tenant>, FieldError> {
    let mut tenants = Vec::new();
    for n in 0..count(pairs, "accounts.count")? {
        let path = |name: &str| format!("accounts.{n}.{name}");
        names.tenants.push(pairs.must(&path("name"))?.to_owned());
        let quota = pairs.get(&path("quota-per-s")).map(|v| number(&path("quota-per-s"), v));
        tenants.push(Tenant { share: pairs.number(&path("share"), 0.0)?, quota_per_s: quota.transpose()? });
    }
    Ok(tenants)
}

fn limits(pairs: &Pairs<'_>) -> Result<Limits, FieldError> {
    let has_retry_after = pairs.flag("policy-limits.retry-after", false)?;
    Ok(Limits {
        max_attempts: pairs.nanos("policy-limits.send-cap", 1)? as u32,
        hedging: pairs.flag("policy-limits.second-copies", false)?,
        cancellation: pairs.flag("policy-limits.cancel", false)?,
        probes: pairs.flag("policy-limits.probes", false)?,
        peer_messages: pairs.flag("policy-limits.may-tell", false)?,
        max_retry_after: pairs.nanos("policy-limits.max-retry-after-ns", 0)? * Nanos::from(has_retry_after),
    })
}

fn slow_start(pairs: &Pairs<'_>) -> Result<SlowStartSettings, FieldError> {
    Ok(SlowStartSettings {
        initial_capacity: pairs.number("safety.cold-from", 1.0)?,
        slow_start_window: pairs.nanos("safety.ramp-time-ns", 0)?,
        overload_factor: pairs.number("safety.overload-factor", 1.0)?,
        overload_window: pairs.nanos("safety.fall-ns", 0)?,
        max_list_age: pairs.nanos("safety.ask-within-ns", 10_000_000_000)?,
    })
}

fn has_pushed_list(pairs: &Pairs<'_>) -> Result<bool, FieldError> {
    match pairs.get("discovery") {
        Some("push") | None => Ok(true),
        Some("ask") => Ok(false),
        Some(other) => Err(invalid("discovery", format_args!("'{other}' is no known way"))),
    }
}

fn units_meaning(pairs: &Pairs<'_>) -> Result<UnitsMeaning, FieldError> {
    match pairs.get("weight-source") {
        Some("nominal" | "rough") => Ok(UnitsMeaning::Size),
        Some("live") => Ok(UnitsMeaning::Live),
        Some("silent") | None => Ok(UnitsMeaning::None),
        Some(other) => Err(invalid("weight-source", format_args!("'{other}' is not known"))),
    }
}

/// The number of a name; a new one gets the next.
pub(crate) fn number_of(names: &mut Vec<String>, name: &str) -> u16 {
    let known = names.iter().position(|n| n == name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    });
    known.min(usize::from(u16::MAX)) as u16
}

/// A line of a list. Zones and kinds are numbered by names that all gateways of the process share.
pub(crate) fn member(
    line: &str,
    zones: &mut Vec<String>,
    kinds: &mut Vec<String>,
) -> Result<Member, FieldError> {
    let mut parts = Parts::new(line);
    match parts.text("entry")? {
        "ROW" => {}
        other => return Err(invalid("members-list", format_args!("'{other}' where ROW was due"))),
    }
    let units = parts.part("units")?.map_or(Ok(1.0), |v| number("units", v))?;
    if units < 0.0 {
        return Err(invalid("units", "negative"));
    }
    let zone = parts.part("rack-zone")?.unwrap_or("-");
    let zone = number_of(zones, zone);
    let id = ReplicaId::from(parts.text("worker")?);
    let kind = number_of(kinds, parts.part("model")?.unwrap_or("-"));
    let cell = parts.integer_or("block", 0)?;
    let phase = match parts.text("phase")? {
        "SERVING" => Phase::Ready,
        "DRAINING" => Phase::Draining,
        "DELETED" => Phase::Gone,
        other => return Err(invalid("phase", format_args!("'{other}' is no known state"))),
    };
    let started = Some(parts.integer_or("start-time-ns", 0u64)?).filter(|t| *t != 0);
    parts.end()?;
    Ok(Member { id, units, zone, kind, cell, phase, started })
}
