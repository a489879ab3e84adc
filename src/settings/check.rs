//! What single values do not show: ranges, and values that must go together.

use std::collections::BTreeMap;
use std::time::Duration;

use bytesize::ByteSize;

use super::error::InvalidSetting;
use super::{Rest, Settings};
use crate::api_keys;

/// The longest timeout of a stream.
const HOUR: Duration = Duration::from_secs(3600);
/// The longest interval between actions of the program's own.
const DAY: Duration = Duration::from_secs(24 * 3600);

impl Settings {
    /// What each value alone does not show: ranges, and values that must go together.
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
        let m = &self.messages;
        let invalid = |key: String, problem: &str| Err(InvalidSetting::new(key, problem));
        let mut hashes = BTreeMap::new();
        for (name, key) in &m.keys {
            let place = format!("messages.keys.{name}.sha256");
            let Some(hash) = api_keys::hash_of(&key.sha256) else {
                return invalid(place, "not 64 hex digits; 'tulipridge key' makes a key and its hash");
            };
            if let Some(other) = hashes.insert(hash, name) {
                return invalid(place, &format!("the hash of '{other}' too"));
            }
        }
        for (tenant, rates) in &m.limits {
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
        for (id, model) in &m.models {
            if let Some(created) = model.created.as_deref()
                && humantime::parse_rfc3339(created).is_err()
            {
                return invalid(
                    format!("messages.models.{id}.created"),
                    "no time as in 2026-01-31T00:00:00Z",
                );
            }
        }
        if m.only_listed && m.models.is_empty() {
            return invalid("messages.only_listed".to_owned(), "no model is listed under messages.models");
        }
        Ok(())
    }

    fn check_streams(&self) -> Result<(), InvalidSetting> {
        self.check_sizes()?;
        self.check_durations()?;
        self.check_pace()?;
        if let Some(rest) = &self.rest {
            rest.check()?;
        }
        self.check_listeners()
    }

    fn check_sizes(&self) -> Result<(), InvalidSetting> {
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
            return Err(InvalidSetting::new(
                "streams.window",
                format!("{window} is more than streams.budget, {budget}"),
            ));
        }
        Ok(())
    }

    fn check_durations(&self) -> Result<(), InvalidSetting> {
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

    fn check_pace(&self) -> Result<(), InvalidSetting> {
        let s = &self.streams;
        match s.pace_factor {
            Some(factor) if !(1.0..=1000.0).contains(&factor) => Err(InvalidSetting::new(
                "streams.pace_factor",
                format!("{factor} is not between 1 and 1000"),
            )),
            Some(_) if s.pace_least.is_none() => {
                Err(InvalidSetting::new("streams.pace_factor", "needs streams.pace_least beside it"))
            }
            None if s.pace_least.is_some() => {
                Err(InvalidSetting::new("streams.pace_least", "needs streams.pace_factor beside it"))
            }
            _ => Ok(()),
        }
    }

    fn check_listeners(&self) -> Result<(), InvalidSetting> {
        if let Some(addr) = self.messages.listen.filter(|a| a.port() != 0)
            && self.store.listen == Some(addr)
        {
            return Err(InvalidSetting::new("store.listen", format!("{addr} is messages.listen already")));
        }
        Ok(())
    }
}

impl Rest {
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
    least: u64,
    most: u64,
) -> Result<(), InvalidSetting> {
    match given {
        Some(ByteSize(bytes)) if bytes < least || bytes > most => {
            let (given, least, most) = (ByteSize(bytes), ByteSize(least), ByteSize(most));
            Err(InvalidSetting::new(key, format!("{given} is not between {least} and {most}")))
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
) -> Result<(), InvalidSetting> {
    match given {
        Some(duration) if duration < least || duration > most => {
            let shown = humantime::format_duration;
            Err(InvalidSetting::new(
                key,
                format!("{} is not between {} and {}", shown(duration), shown(least), shown(most)),
            ))
        }
        _ => Ok(()),
    }
}
