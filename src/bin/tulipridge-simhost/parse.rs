//! Parses the fields of lines. An error names the field and the reason.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::str::{FromStr, Split};

use snafu::Snafu;
use tulipridge::names::load_metric_named;
use tulipridge::types::{
    Class, Effect, Limits, Member, Nanos, Phase, ReplicaId, RequestId, Scope, Settings, SlowStartSettings,
    Tenant, UnitsMeaning, Verdict,
};

/// An invalid field of a line.
#[derive(Debug, Snafu)]
#[snafu(display("{field}: {problem}"))]
pub(crate) struct FieldError {
    /// The name of the field.
    field: String,
    /// The reason why it is invalid.
    problem: String,
}

/// Returns the error for an invalid field.
pub(crate) fn invalid(field: &str, problem: impl Display) -> FieldError {
    FieldError { field: field.to_owned(), problem: problem.to_string() }
}

/// The exclusive upper limit of keys.
const KEY_LIMIT: u64 = 1 << 53;

/// The fields of a line, which are read in their order.
pub(crate) struct Fields<'a>(Split<'a, char>);

impl<'a> Fields<'a> {
    pub(crate) fn new(line: &'a str) -> Self {
        Fields(line.split(' '))
    }

    /// Reads a field; `None` if it is absent (`-`).
    pub(crate) fn optional(&mut self, field: &str) -> Result<Option<&'a str>, FieldError> {
        match self.0.next() {
            None | Some("") => Err(invalid(field, "missing")),
            Some("-") => Ok(None),
            Some(part) => Ok(Some(part)),
        }
    }

    /// Reads a field that must not be absent.
    pub(crate) fn required(&mut self, field: &str) -> Result<&'a str, FieldError> {
        self.optional(field)?.ok_or_else(|| invalid(field, "absent"))
    }

    pub(crate) fn integer<T: FromStr>(&mut self, field: &str) -> Result<T, FieldError> {
        integer(field, self.required(field)?)
    }

    pub(crate) fn integer_or<T: FromStr>(&mut self, field: &str, default: T) -> Result<T, FieldError> {
        self.optional(field)?.map_or(Ok(default), |part| integer(field, part))
    }

    /// Reads a duration, which must not be negative; 0 if absent.
    pub(crate) fn span(&mut self, field: &str) -> Result<Nanos, FieldError> {
        self.integer_or(field, 0)
    }

    /// Reads a number of tokens, which may have decimals; they are truncated. 0 if absent.
    pub(crate) fn count(&mut self, field: &str) -> Result<u32, FieldError> {
        let Some(part) = self.optional(field)? else { return Ok(0) };
        let value = number(field, part)?;
        if !(0.0..=f64::from(u32::MAX)).contains(&value) {
            return Err(invalid(field, format_args!("'{part}' is out of range")));
        }
        Ok(value as u32)
    }

    pub(crate) fn key(&mut self, field: &str) -> Result<Option<u64>, FieldError> {
        let Some(part) = self.optional(field)? else { return Ok(None) };
        match integer::<u64>(field, part)? {
            key if key < KEY_LIMIT => Ok(Some(key)),
            _ => Err(invalid(field, format_args!("'{part}' is not below 2^53"))),
        }
    }

    pub(crate) fn flag(&mut self, field: &str) -> Result<bool, FieldError> {
        match self.required(field)? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => Err(invalid(field, format_args!("'{other}' is neither 0 nor 1"))),
        }
    }

    pub(crate) fn request_id(&mut self) -> Result<RequestId, FieldError> {
        let field = "msg-id";
        let part = self.required(field)?;
        let is_hex = part.len() == 16 && part.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        let id = is_hex.then(|| u64::from_str_radix(part, 16).ok()).flatten();
        id.map(RequestId).ok_or_else(|| invalid(field, format_args!("'{part}' is not 16 hex digits")))
    }

    pub(crate) fn verdict(&mut self) -> Result<Verdict, FieldError> {
        Ok(match self.required("outcome")? {
            "Ok" => Verdict::Ok,
            "Failed" => Verdict::Error,
            "QueueFull" => Verdict::Full,
            "TimedOut" => Verdict::TimedOut,
            "ConnectError" => Verdict::NoConnection,
            "ResetByPeer" => Verdict::Reset,
            "Canceled" => Verdict::Cancelled,
            "Ignored" => Verdict::NotSent,
            other => return Err(invalid("outcome", format_args!("unknown outcome '{other}'"))),
        })
    }

    /// Reads a load report; an absent value (`-`) is NaN.
    pub(crate) fn report(&mut self) -> Result<Vec<f64>, FieldError> {
        let Some(part) = self.optional("gauge")? else { return Ok(Vec::new()) };
        let value = |v| if v == "-" { Ok(f64::NAN) } else { number("gauge", v) };
        part.split(',').map(value).collect()
    }

    pub(crate) fn bytes(&mut self, field: &str) -> Result<Vec<u8>, FieldError> {
        let Some(part) = self.optional(field)? else { return Ok(Vec::new()) };
        let byte = |pair: &[u8]| {
            let digit = |d: u8| char::from(d).to_digit(16);
            Some((digit(*pair.first()?)? * 16 + digit(*pair.get(1)?)?) as u8)
        };
        let bytes: Option<Vec<u8>> = part.as_bytes().chunks(2).map(byte).collect();
        bytes.ok_or_else(|| invalid(field, "not a sequence of bytes in hex digits"))
    }

    /// Checks that no field remains.
    pub(crate) fn end(mut self) -> Result<(), FieldError> {
        match self.0.next() {
            None => Ok(()),
            Some(extra) => Err(invalid("line", format_args!("unexpected field '{extra}'"))),
        }
    }

    /// Parses the remaining fields as `path=value`.
    pub(crate) fn parameters(self) -> Result<Parameters<'a>, FieldError> {
        let pair = |part: &'a str| part.split_once('=').ok_or_else(|| invalid("setup", "not path=value"));
        Ok(Parameters(self.0.filter(|p| !p.is_empty() && *p != "-").map(pair).collect::<Result<_, _>>()?))
    }
}

fn integer<T: FromStr>(field: &str, part: &str) -> Result<T, FieldError> {
    part.parse().map_err(|_| invalid(field, format_args!("'{part}' is not an integer in range")))
}

fn number(field: &str, part: &str) -> Result<f64, FieldError> {
    let value = part.parse::<f64>().ok().filter(|v| v.is_finite());
    value.ok_or_else(|| invalid(field, format_args!("'{part}' is not a finite number")))
}

/// The parameters of a gateway by their paths. Unknown ones are ignored.
pub(crate) struct Parameters<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Parameters<'a> {
    fn get(&self, path: &str) -> Option<&'a str> {
        self.0.get(path).copied().filter(|v| *v != "-")
    }

    fn required(&self, path: &str) -> Result<&'a str, FieldError> {
        self.get(path).ok_or_else(|| invalid(path, "missing"))
    }

    fn integer_or(&self, path: &str, default: Nanos) -> Result<Nanos, FieldError> {
        self.get(path).map_or(Ok(default), |v| integer(path, v))
    }

    fn number_or(&self, path: &str, default: f64) -> Result<f64, FieldError> {
        self.get(path).map_or(Ok(default), |v| number(path, v))
    }

    fn flag_or(&self, path: &str, default: bool) -> Result<bool, FieldError> {
        match self.get(path) {
            None => Ok(default),
            Some("true" | "1") => Ok(true),
            Some("false" | "0") => Ok(false),
            Some(other) => Err(invalid(path, format_args!("'{other}' is neither true nor false"))),
        }
    }

    fn list(&self, path: &str) -> Vec<String> {
        let values = self.get(path).filter(|v| !v.is_empty());
        values.map_or(Vec::new(), |v| v.split(',').map(str::to_owned).collect())
    }

    /// The number for a class in a list with one element per class; 0 if there is none.
    fn of_class(&self, path: &str, class: usize) -> Result<f64, FieldError> {
        let part = self.get(path).and_then(|v| v.split(',').nth(class)).filter(|v| !v.is_empty());
        part.map_or(Ok(0.0), |v| number(path, v))
    }
}

/// The names in a gateway's settings and events, by their indices.
pub(crate) struct Names {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
}

/// The maximum number of objects in a list.
const MAX_OBJECTS: usize = 10_000;

/// Parses the settings of a gateway, and the names in its events.
pub(crate) fn settings(parameters: &Parameters<'_>) -> Result<(Settings, Names), FieldError> {
    let mut names = Names { classes: vec![], tenants: vec![], zones: parameters.list("localities") };
    let classes = classes(parameters, &mut names)?;
    let tenants = tenants(parameters, &mut names)?;
    let zone = parameters.get("zone").filter(|zone| !zone.is_empty());
    let zone = zone.map(|zone| number_of(&mut names.zones, zone));
    let settings = Settings {
        has_prefix_transfer: false,
        speeds: Vec::new(),
        list_calls_per_s: None,
        limits: limits(parameters)?,
        slow_start: slow_start(parameters)?,
        group_size: integer("group-size", parameters.required("group-size")?)?,
        gateway_index: parameters.integer_or("me", 0)? as u32,
        zone,
        has_pushed_list: has_pushed_list(parameters)?,
        tick: parameters.integer_or("granularity-ns", 0)?,
        classes,
        tenants,
        over_share_value: parameters.number_or("over-share-worth", 1.0)?,
        units_meaning: units_meaning(parameters)?,
        load_metrics: parameters.list("report.fields").iter().map(|name| load_metric_named(name)).collect(),
    };
    Ok((settings, names))
}

/// Parses the number of objects in a list; 0 if absent.
fn object_count(parameters: &Parameters<'_>, path: &str) -> Result<usize, FieldError> {
    let count = parameters.get(path).map_or(Ok(0), |text| integer(path, text))?;
    if count > MAX_OBJECTS { Err(invalid(path, "more than 10,000 objects")) } else { Ok(count) }
}

fn classes(parameters: &Parameters<'_>, names: &mut Names) -> Result<Vec<Class>, FieldError> {
    let mut classes = Vec::new();
    for n in 0..object_count(parameters, "lanes.count")? {
        let path = |name: &str| format!("lanes.{n}.{name}");
        names.classes.push(parameters.required(&path("name"))?.to_owned());
        let effect = effect(parameters, path)?;
        // 1 µs for 1000 tokens is 1 ns for a token.
        let target_ns_per_token = parameters.of_class("family-info.aim-us-per-1000-prompt-tokens", n)?;
        classes.push(Class {
            latency_target: integer(&path("promise-ns"), parameters.required(&path("promise-ns"))?)?,
            latency_target_per_token: target_ns_per_token.max(0.0) as Nanos,
            inter_token_target: parameters.of_class("family-info.token-aim-ns", n)?.max(0.0) as Nanos,
            deadline: integer(&path("deadline-ns"), parameters.required(&path("deadline-ns"))?)?,
            effect,
            value: parameters.number_or(&path("points"), 1.0)?,
            late_value: parameters.number_or(&path("late-worth"), 0.0)?,
            stream: parameters.flag_or(&path("stream"), false)?,
        });
    }
    Ok(classes)
}

fn effect(parameters: &Parameters<'_>, path: impl Fn(&str) -> String) -> Result<Effect, FieldError> {
    let scope = match parameters.get(&path("key-scope")) {
        None | Some("all") => Scope::All,
        Some("zone") => Scope::Zone,
        Some("cell") => Scope::Cell,
        Some(other) => {
            return Err(invalid(&path("key-scope"), format_args!("unknown scope '{other}'")));
        }
    };
    let window = parameters.integer_or(&path("key-ttl-ns"), 0)?;
    match parameters.required(&path("effect"))? {
        "retryable" => Ok(Effect::Safe),
        "dedup" => Ok(Effect::Keyed { scope, window }),
        "fragile" => Ok(Effect::Unsafe),
        other => Err(invalid(&path("effect"), format_args!("unknown effect '{other}'"))),
    }
}

fn tenants(parameters: &Parameters<'_>, names: &mut Names) -> Result<Vec<Tenant>, FieldError> {
    let mut tenants = Vec::new();
    for n in 0..object_count(parameters, "accounts.count")? {
        let path = |name: &str| format!("accounts.{n}.{name}");
        names.tenants.push(parameters.required(&path("name"))?.to_owned());
        let quota = parameters.get(&path("quota-per-s")).map(|v| number(&path("quota-per-s"), v));
        tenants.push(Tenant {
            share: parameters.number_or(&path("share"), 0.0)?,
            quota_per_s: quota.transpose()?,
        });
    }
    Ok(tenants)
}

fn limits(parameters: &Parameters<'_>) -> Result<Limits, FieldError> {
    let has_retry_after = parameters.flag_or("policy-limits.retry-after", false)?;
    Ok(Limits {
        max_attempts: parameters.integer_or("policy-limits.send-cap", 1)? as u32,
        hedging: parameters.flag_or("policy-limits.second-copies", false)?,
        cancellation: parameters.flag_or("policy-limits.cancel", false)?,
        probes: parameters.flag_or("policy-limits.probes", false)?,
        peer_messages: parameters.flag_or("policy-limits.may-tell", false)?,
        max_retry_after: parameters.integer_or("policy-limits.max-retry-after-ns", 0)?
            * Nanos::from(has_retry_after),
    })
}

fn slow_start(parameters: &Parameters<'_>) -> Result<SlowStartSettings, FieldError> {
    Ok(SlowStartSettings {
        initial_capacity: parameters.number_or("safety.cold-from", 1.0)?,
        slow_start_window: parameters.integer_or("safety.ramp-time-ns", 0)?,
        overload_factor: parameters.number_or("safety.overload-factor", 1.0)?,
        overload_window: parameters.integer_or("safety.fall-ns", 0)?,
        max_list_age: parameters.integer_or("safety.ask-within-ns", 10_000_000_000)?,
    })
}

fn has_pushed_list(parameters: &Parameters<'_>) -> Result<bool, FieldError> {
    match parameters.get("discovery") {
        Some("push") | None => Ok(true),
        Some("ask") => Ok(false),
        Some(other) => Err(invalid("discovery", format_args!("unknown mode '{other}'"))),
    }
}

fn units_meaning(parameters: &Parameters<'_>) -> Result<UnitsMeaning, FieldError> {
    match parameters.get("weight-source") {
        Some("nominal" | "rough") => Ok(UnitsMeaning::Size),
        Some("live") => Ok(UnitsMeaning::Live),
        Some("silent") | None => Ok(UnitsMeaning::None),
        Some(other) => Err(invalid("weight-source", format_args!("unknown source '{other}'"))),
    }
}

/// The number of a name; a new name gets the next number. All names beyond the first 65,535 share the number 65,535.
pub(crate) fn number_of(names: &mut Vec<String>, name: &str) -> u16 {
    let index = names.iter().position(|n| n == name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    });
    index.min(usize::from(u16::MAX)) as u16
}

/// Parses an entry of a list. The numbers of zones and kinds are the same for all gateways of the process.
pub(crate) fn member(
    line: &str,
    zones: &mut Vec<String>,
    kinds: &mut Vec<String>,
) -> Result<Member, FieldError> {
    let mut fields = Fields::new(line);
    match fields.required("entry")? {
        "ROW" => {}
        other => return Err(invalid("members-list", format_args!("expected ROW, got '{other}'"))),
    }
    let units = fields.optional("units")?.map_or(Ok(1.0), |v| number("units", v))?;
    if units < 0.0 {
        return Err(invalid("units", "negative"));
    }
    let zone = fields.optional("rack-zone")?.unwrap_or("-");
    let zone = number_of(zones, zone);
    let id = ReplicaId::from(fields.required("worker")?);
    let kind = number_of(kinds, fields.optional("model")?.unwrap_or("-"));
    let cell = fields.integer_or("block", 0)?;
    let phase = match fields.required("phase")? {
        "SERVING" => Phase::Ready,
        "DRAINING" => Phase::Draining,
        "DELETED" => Phase::Gone,
        other => return Err(invalid("phase", format_args!("unknown phase '{other}'"))),
    };
    let started = Some(fields.integer_or("start-time-ns", 0u64)?).filter(|t| *t != 0);
    fields.end()?;
    Ok(Member { id, units, zone, kind, cell, phase, started })
}
