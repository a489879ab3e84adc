//! Validation of ranges, and of values that depend on each other.

use std::collections::BTreeMap;
use std::time::Duration;

use bytesize::ByteSize;

use super::error::InvalidSetting;
use super::{OutlierEjection, Settings};
use crate::api_keys;

/// The longest timeout of a stream.
const HOUR: Duration = Duration::from_secs(3600);
/// The longest interval between periodic actions of the program.
const DAY: Duration = Duration::from_secs(24 * 3600);

impl Settings {
    /// Checks ranges, and values that depend on each other.
    pub(super) fn check(&self) -> Result<(), InvalidSetting> {
        self.check_streams()?;
        for (kind, speed) in &self.speeds {
            if !(0.01..=100.0).contains(speed) {
                return Err(InvalidSetting::new(
                    format!("speeds.{kind}"),
                    format!("{speed} is not between 0.01 and 100"),
                ));
            }
        }
        if let Some(rate) = self.list.calls_per_s.filter(|r| !(0.1..=100_000.0).contains(r)) {
            return Err(InvalidSetting::new(
                "list.calls_per_s",
                format!("{rate} is not between 0.1 and 100000"),
            ));
        }
        self.check_messages()
    }

    fn check_messages(&self) -> Result<(), InvalidSetting> {
        let messages = &self.messages;
        let invalid = |key: String, problem: &str| Err(InvalidSetting::new(key, problem));
        let mut hashes = BTreeMap::new();
        for (name, key) in &messages.keys {
            let path = format!("messages.keys.{name}.sha256");
            let Some(hash) = api_keys::hash_of(&key.sha256) else {
                return invalid(path, "not 64 hex digits; 'tulipridge key' makes a key and its hash");
            };
            if let Some(other) = hashes.insert(hash, name) {
                return invalid(path, &format!("the same hash as that of '{other}'"));
            }
        }
        for (tenant, rates) in &messages.limits {
            for (name, rate) in [
                ("requests", rates.requests),
                ("input_tokens", rates.input_tokens),
                ("output_tokens", rates.output_tokens),
            ] {
                if rate == Some(0) {
                    return invalid(format!("messages.limits.{tenant}.{name}"), "0 would let nobody in");
                }
            }
        }
        for (id, model) in &messages.models {
            if let Some(created) = model.created.as_deref()
                && humantime::parse_rfc3339(created).is_err()
            {
                return invalid(
                    format!("messages.models.{id}.created"),
                    "no time as in 2026-01-31T00:00:00Z",
                );
            }
        }
        if messages.only_listed && messages.models.is_empty() {
            return invalid("messages.only_listed".to_owned(), "no model is listed under messages.models");
        }
        Ok(())
    }

    fn check_streams(&self) -> Result<(), InvalidSetting> {
        self.check_sizes()?;
        self.check_durations()?;
        self.check_pace()?;
        if let Some(outlier_ejection) = &self.outlier_ejection {
            outlier_ejection.check()?;
        }
        self.check_listeners()
    }

    fn check_sizes(&self) -> Result<(), InvalidSetting> {
        let streams = &self.streams;
        check_size("messages.body", self.messages.body, 1 << 10, 32 << 20)?;
        check_size("messages.whole_answer", self.messages.whole_answer, 4 << 10, 16 << 20)?;
        check_size("streams.window", streams.window, 4 << 10, 4 << 20)?;
        check_size("streams.budget", streams.budget, 64 << 10, 64 << 30)?;
        check_size("streams.socket_buffer", streams.socket_buffer, 4 << 10, 4 << 20)?;
        check_size("streams.reader_floor", streams.reader_floor, 1, 16 << 20)?;
        if let (Some(window), Some(budget)) = (streams.window, streams.budget)
            && window > budget
        {
            return Err(InvalidSetting::new(
                "streams.window",
                format!("{window} is more than streams.budget, {budget}"),
            ));
        }
        Ok(())
    }

    fn check_durations(&self) -> Result<(), InvalidSetting> {
        let streams = &self.streams;
        let min_timeout = Duration::from_millis(100);
        check_duration("streams.opening", streams.opening, min_timeout, HOUR)?;
        check_duration("streams.silence", streams.silence, min_timeout, HOUR)?;
        check_duration("streams.stall", streams.stall, min_timeout, HOUR)?;
        check_duration("streams.tail", streams.tail, min_timeout, HOUR)?;
        check_duration("streams.pace_least", streams.pace_least, min_timeout, HOUR)?;
        check_duration("streams.reader_span", streams.reader_span, min_timeout, HOUR)?;
        check_duration("streams.linger", streams.linger, Duration::ZERO, HOUR)?;
        check_duration("streams.stop_within", streams.stop_within, Duration::ZERO, DAY)?;
        check_duration("streams.figures_every", streams.figures_every, Duration::from_secs(1), DAY)
    }

    fn check_pace(&self) -> Result<(), InvalidSetting> {
        let streams = &self.streams;
        match streams.pace_factor {
            Some(factor) if !(1.0..=1000.0).contains(&factor) => Err(InvalidSetting::new(
                "streams.pace_factor",
                format!("{factor} is not between 1 and 1000"),
            )),
            Some(_) if streams.pace_least.is_none() => {
                Err(InvalidSetting::new("streams.pace_factor", "requires streams.pace_least"))
            }
            None if streams.pace_least.is_some() => {
                Err(InvalidSetting::new("streams.pace_least", "requires streams.pace_factor"))
            }
            _ => Ok(()),
        }
    }

    fn check_listeners(&self) -> Result<(), InvalidSetting> {
        if let Some(addr) = self.messages.listen.filter(|a| a.port() != 0)
            && self.store.listen == Some(addr)
        {
            return Err(InvalidSetting::new("store.listen", format!("{addr} is also messages.listen")));
        }
        Ok(())
    }
}

impl OutlierEjection {
    fn check(&self) -> Result<(), InvalidSetting> {
        check_duration("rest.span", self.span, Duration::from_secs(1), DAY)?;
        check_duration("rest.first", self.first, Duration::from_millis(100), DAY)?;
        check_duration("rest.longest", self.longest, Duration::from_millis(100), DAY)?;
        if let (Some(first), Some(longest)) = (self.first, self.longest)
            && first > longest
        {
            return Err(InvalidSetting::new("rest.first", "longer than rest.longest"));
        }
        if self.faults.is_some_and(|f| f == 0 || f > 64) {
            return Err(InvalidSetting::new("rest.faults", "not between 1 and 64"));
        }
        for (key, given) in [("rest.share", self.share), ("rest.most_resting", self.most_resting)] {
            if given.is_some_and(|g| !(0.0..=1.0).contains(&g)) {
                return Err(InvalidSetting::new(key, "not between 0 and 1"));
            }
        }
        if self.above.is_some_and(|a| !(1.0..=1000.0).contains(&a)) {
            return Err(InvalidSetting::new("rest.above", "not between 1 and 1000"));
        }
        Ok(())
    }
}

/// Checks that a size, where one is given, lies between two numbers of bytes.
fn check_size(
    key: &'static str,
    given: Option<ByteSize>,
    min: u64,
    max: u64,
) -> Result<(), InvalidSetting> {
    match given {
        Some(ByteSize(bytes)) if bytes < min || bytes > max => {
            let (given, min, max) = (ByteSize(bytes), ByteSize(min), ByteSize(max));
            Err(InvalidSetting::new(key, format!("{given} is not between {min} and {max}")))
        }
        _ => Ok(()),
    }
}

/// Checks that a duration, where one is given, lies between two others.
fn check_duration(
    key: &'static str,
    given: Option<Duration>,
    min: Duration,
    max: Duration,
) -> Result<(), InvalidSetting> {
    match given {
        Some(duration) if duration < min || duration > max => {
            let format_duration = humantime::format_duration;
            Err(InvalidSetting::new(
                key,
                format!(
                    "{} is not between {} and {}",
                    format_duration(duration),
                    format_duration(min),
                    format_duration(max)
                ),
            ))
        }
        _ => Ok(()),
    }
}
