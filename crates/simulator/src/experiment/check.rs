//! Validation of an experiment: ranges, sums, and dependencies between values.

use std::ops::RangeInclusive;
use std::time::Duration;

use tulipridge::settings::InvalidSetting;

use super::Experiment;
use super::faults::{Fault, FaultKind};
use super::gateways::Gateways;
use super::load::Class;
use super::network::ListService;
use super::policy_kind::PolicyKind;
use super::replicas::{MachineKind, Replicas};

/// The result of a check: the key and the problem of the first invalid value.
type Checked = Result<(), InvalidSetting>;

/// Tolerance for fractions that have to add up to 1.
const SUM_TOLERANCE: f64 = 0.01;
/// Maximum number of tokens of a prompt section or of a response.
const MAX_TOKENS: u32 = 1_000_000;
/// Minimum duration of a decoding step.
const MIN_STEP: Duration = Duration::from_micros(100);
/// Maximum of the durations that are checked.
const MAX_DURATION: Duration = Duration::from_secs(3600);

impl Experiment {
    /// Checks all values, and returns the first invalid one.
    pub(super) fn check(&self) -> Checked {
        check_policies(&self.policies)?;
        check_duration("warmup", self.warmup, Duration::ZERO)?;
        check_duration("length", self.duration, Duration::from_secs(1))?;
        check_gateways(&self.gateways)?;
        check_replicas(&self.replicas)?;
        check_range("load.rate", self.load.requests_per_s, 0.01..=1e6)?;
        for (name, phase) in &self.load.phases {
            check_range(&format!("load.phases.{name}.factor"), phase.factor, 0.0..=100.0)?;
        }
        if self.classes.is_empty() {
            return invalid("classes", "is empty");
        }
        for (name, class) in &self.classes {
            check_class(name, class)?;
        }
        check_sum("classes", self.classes.values().map(|class| class.session_fraction))?;
        if !self.tenants.is_empty() {
            check_sum("tenants", self.tenants.values().map(|tenant| tenant.traffic_fraction))?;
        }
        check_list(&self.list_service)?;
        check_range("allow.attempts", f64::from(self.attempt_limits.max_attempts), 1.0..=100.0)?;
        check_range("clients.try_share", self.clients.attempt_deadline_fraction, 0.01..=1.0)?;
        check_range("clients.honour", self.clients.retry_after_compliance, 0.0..=1.0)?;
        for (name, fault) in &self.faults {
            check_fault(name, fault, self.duration)?;
        }
        Ok(())
    }
}

fn check_policies(policies: &[PolicyKind]) -> Checked {
    if policies.is_empty() {
        return invalid("policies", "is empty");
    }
    let is_duplicate = |policy: &PolicyKind| policies.iter().filter(|other| *other == policy).count() > 1;
    match policies.iter().find(|policy| is_duplicate(policy)) {
        Some(policy) => invalid("policies", format!("contains {} twice", policy.name())),
        None => Ok(()),
    }
}

fn check_gateways(gateways: &Gateways) -> Checked {
    check_range("gateways.count", f64::from(gateways.count), 1.0..=10_000.0)?;
    check_range("gateways.zones", f64::from(gateways.zones), 1.0..=100.0)?;
    check_range("gateways.skew", gateways.weight_sigma, 0.0..=3.0)?;
    if u32::from(gateways.zones) > gateways.count {
        return invalid("gateways.zones", "more zones than gateways: some zones would have no gateway");
    }
    Ok(())
}

fn check_replicas(replicas: &Replicas) -> Checked {
    check_range("replicas.count", f64::from(replicas.count), 1.0..=10_000.0)?;
    check_range("replicas.cold_from", replicas.slow_start_capacity, 0.01..=1.0)?;
    check_range("replicas.chunk", f64::from(replicas.prefill_chunk_tokens), 1.0..=1e6)?;
    check_range("replicas.fall_multiple", replicas.overload_factor, 1.0..=100.0)?;
    check_duration("replicas.fall", replicas.overload_window, Duration::from_millis(1))?;
    if let Some(reports) = &replicas.load_reports {
        check_range("replicas.reports.noise", reports.noise, 0.0..=1.0)?;
        check_duration("replicas.reports.period", reports.period, Duration::from_millis(1))?;
    }
    if replicas.kinds.is_empty() {
        return invalid("replicas.kinds", "is empty");
    }
    for (name, kind) in &replicas.kinds {
        check_kind(name, kind)?;
    }
    check_sum("replicas.kinds", replicas.kinds.values().map(|kind| kind.fraction))
}

fn check_kind(name: &str, kind: &MachineKind) -> Checked {
    let key = |part: &str| format!("replicas.kinds.{name}.{part}");
    check_range(&key("share"), kind.fraction, 0.0..=1.0)?;
    check_range(&key("units"), kind.units, 0.001..=10_000.0)?;
    check_range(&key("speed"), kind.speed, 0.01..=100.0)?;
    check_range(&key("batch"), kind.batch_size as f64, 1.0..=100_000.0)?;
    check_range(&key("read"), kind.prefill_tokens_per_s, 1.0..=1e9)?;
    if kind.step_duration < MIN_STEP {
        return invalid(key("step"), format!("{:?} is less than {MIN_STEP:?}", kind.step_duration));
    }
    Ok(())
}

fn check_class(name: &str, class: &Class) -> Checked {
    let key = |part: &str| format!("classes.{name}.{part}");
    check_range(&key("turns"), class.mean_turns, 1.0..=1000.0)?;
    check_range(&key("zipf"), class.zipf_exponent, 0.0..=5.0)?;
    check_range(&key("beginnings"), f64::from(class.prefix_count), 1.0..=1e6)?;
    check_tokens(key("beginning"), class.prefix_tokens)?;
    check_tokens(key("adds"), class.turn_tokens)?;
    check_tokens(key("answer"), class.response_tokens)?;
    check_duration(&key("deadline"), class.deadline, Duration::from_millis(10))?;
    if class.latency_target > class.deadline {
        return invalid(key("aim"), "longer than the deadline");
    }
    Ok(())
}

fn check_list(list: &ListService) -> Checked {
    check_range("list.calls_per_s", list.calls_per_s, 0.01..=1e6)?;
    check_duration("list.timeout", list.timeout, Duration::from_millis(1))?;
    check_duration("list.period", list.publish_interval, Duration::from_millis(1))?;
    if list.delivery_spread > list.publish_interval {
        return invalid("list.spread", "longer than list.period: a change could overtake an earlier one");
    }
    match &list.change_delay {
        Some(delay) if delay.min > delay.max => {
            invalid("list.late", format!("{:?} is more than {:?}", delay.min, delay.max))
        }
        _ => Ok(()),
    }
}

fn check_fault(name: &str, fault: &Fault, experiment_duration: Duration) -> Checked {
    let key = |part: &str| format!("faults.{name}.{part}");
    match (fault.kind, fault.fraction) {
        (FaultKind::ListOutage, None) => {}
        (FaultKind::ListOutage, Some(_)) => {
            return invalid(key("share"), "not valid for list_outage: there is one list service");
        }
        (_, Some(fraction)) => check_range(&key("share"), fraction, 0.0..=1.0)?,
        (_, None) => return invalid(format!("faults.{name}"), "needs a share"),
    }
    if fault.start >= experiment_duration {
        return invalid(key("at"), "after the end of the experiment");
    }
    match (fault.kind, fault.slowdown) {
        (FaultKind::SlowReplicas, Some(slowdown)) => check_range(&key("factor"), slowdown, 1.0..=1000.0)?,
        (FaultKind::SlowReplicas, None) => {
            return invalid(format!("faults.{name}"), "slow_replicas needs a factor");
        }
        (_, Some(_)) => return invalid(key("factor"), "only valid for slow_replicas"),
        (_, None) => {}
    }
    match (fault.kind, fault.error_fraction) {
        (FaultKind::ErrorReplicas, Some(fraction)) => check_range(&key("part"), fraction, 0.0..=1.0),
        (FaultKind::ErrorReplicas, None) => {
            invalid(format!("faults.{name}"), "error_replicas needs a part")
        }
        (_, Some(_)) => invalid(key("part"), "only valid for error_replicas"),
        (_, None) => Ok(()),
    }
}

fn invalid(key: impl Into<String>, problem: impl Into<String>) -> Checked {
    Err(InvalidSetting::new(key.into(), problem.into()))
}

/// Checks that a number is within bounds.
fn check_range(key: &str, value: f64, bounds: RangeInclusive<f64>) -> Checked {
    if bounds.contains(&value) {
        return Ok(());
    }
    invalid(key, format!("{value} is not between {} and {}", bounds.start(), bounds.end()))
}

/// Checks that a duration is between `min` and [`MAX_DURATION`].
fn check_duration(key: &str, value: Duration, min: Duration) -> Checked {
    if (min..=MAX_DURATION).contains(&value) {
        return Ok(());
    }
    invalid(key, format!("{value:?} is not between {min:?} and {MAX_DURATION:?}"))
}

/// Checks a range of token counts.
fn check_tokens(key: String, [min, max]: [u32; 2]) -> Checked {
    if min > max || max == 0 || max > MAX_TOKENS {
        return invalid(
            key,
            format!("[{min}, {max}] is not a range with a maximum of 1 to 1,000,000 tokens"),
        );
    }
    Ok(())
}

/// Checks that fractions add up to 1.
fn check_sum(key: &str, fractions: impl Iterator<Item = f64>) -> Checked {
    let sum: f64 = fractions.sum();
    if (sum - 1.0).abs() < SUM_TOLERANCE {
        return Ok(());
    }
    invalid(key, format!("the shares add up to {sum:.3}, not 1"))
}
