//! What single values of an experiment don't show: spans, sums, and what goes with what.

use std::ops::RangeInclusive;
use std::time::Duration;

use super::{Class, Experiment, Fault, FaultKind, Gateways, Kind, ListService, Replicas};
use crate::policy::PolicyKind;

/// Nothing is wrong, or the key of what is, and the fault in words.
type Checked = Result<(), (String, String)>;

/// Shares that come to 1 but for this much are taken for a whole.
const SHARES_TOLERANCE: f64 = 0.01;
/// The most tokens of one part of a prompt or of an answer.
const TOKENS_MOST: u32 = 1_000_000;
/// The least time of a step.
const STEP_LEAST: Duration = Duration::from_micros(100);
/// The longest span that any key takes.
const SPAN_MOST: Duration = Duration::from_secs(3600);

impl Experiment {
    /// The first fault that is found.
    pub(super) fn check(&self) -> Checked {
        check_policies(&self.policies)?;
        span("warmup", self.warmup, Duration::ZERO)?;
        span("length", self.length, Duration::from_secs(1))?;
        check_gateways(&self.gateways)?;
        check_replicas(&self.replicas)?;
        within("load.rate", self.load.rate, 0.01..=1e6)?;
        for (name, phase) in &self.load.phases {
            within(&format!("load.phases.{name}.factor"), phase.factor, 0.0..=100.0)?;
        }
        if self.classes.is_empty() {
            return wrong("classes", "names none");
        }
        for (name, class) in &self.classes {
            check_class(name, class)?;
        }
        whole("classes", self.classes.values().map(|class| class.share))?;
        if !self.tenants.is_empty() {
            whole("tenants", self.tenants.values().map(|tenant| tenant.share))?;
        }
        check_list(&self.list)?;
        within("allow.attempts", f64::from(self.allow.attempts), 1.0..=100.0)?;
        within("clients.try_share", self.clients.try_share, 0.01..=1.0)?;
        within("clients.honour", self.clients.honour, 0.0..=1.0)?;
        for (name, fault) in &self.faults {
            check_fault(name, fault, self.length)?;
        }
        Ok(())
    }
}

fn check_policies(policies: &[PolicyKind]) -> Checked {
    if policies.is_empty() {
        return wrong("policies", "names none");
    }
    let twice = |policy: &PolicyKind| policies.iter().filter(|other| *other == policy).count() > 1;
    match policies.iter().find(|policy| twice(policy)) {
        Some(policy) => wrong("policies", format!("names {} twice", policy.name())),
        None => Ok(()),
    }
}

fn check_gateways(gateways: &Gateways) -> Checked {
    within("gateways.count", f64::from(gateways.count), 1.0..=10_000.0)?;
    within("gateways.zones", f64::from(gateways.zones), 1.0..=100.0)?;
    within("gateways.skew", gateways.skew, 0.0..=3.0)?;
    if u32::from(gateways.zones) > gateways.count {
        return wrong("gateways.zones", "more zones than gateways: a zone's clients would reach nobody");
    }
    Ok(())
}

fn check_replicas(replicas: &Replicas) -> Checked {
    within("replicas.count", f64::from(replicas.count), 1.0..=10_000.0)?;
    within("replicas.cold_from", replicas.cold_from, 0.01..=1.0)?;
    within("replicas.chunk", f64::from(replicas.chunk), 1.0..=1e6)?;
    within("replicas.fall_multiple", replicas.fall_multiple, 1.0..=100.0)?;
    span("replicas.fall", replicas.fall, Duration::from_millis(1))?;
    if let Some(reports) = &replicas.reports {
        within("replicas.reports.noise", reports.noise, 0.0..=1.0)?;
        span("replicas.reports.period", reports.period, Duration::from_millis(1))?;
    }
    if replicas.kinds.is_empty() {
        return wrong("replicas.kinds", "names none");
    }
    for (name, kind) in &replicas.kinds {
        check_kind(name, kind)?;
    }
    whole("replicas.kinds", replicas.kinds.values().map(|kind| kind.share))
}

fn check_kind(name: &str, kind: &Kind) -> Checked {
    let key = |part: &str| format!("replicas.kinds.{name}.{part}");
    within(&key("share"), kind.share, 0.0..=1.0)?;
    within(&key("units"), kind.units, 0.001..=10_000.0)?;
    within(&key("speed"), kind.speed, 0.01..=100.0)?;
    within(&key("batch"), kind.batch as f64, 1.0..=100_000.0)?;
    within(&key("read"), kind.read, 1.0..=1e9)?;
    if kind.step < STEP_LEAST {
        return wrong(key("step"), format!("{:?} is less than {STEP_LEAST:?}", kind.step));
    }
    Ok(())
}

fn check_class(name: &str, class: &Class) -> Checked {
    let key = |part: &str| format!("classes.{name}.{part}");
    within(&key("turns"), class.turns, 1.0..=1000.0)?;
    within(&key("zipf"), class.zipf, 0.0..=5.0)?;
    within(&key("beginnings"), f64::from(class.beginnings), 1.0..=1e6)?;
    tokens(key("beginning"), class.beginning)?;
    tokens(key("adds"), class.adds)?;
    tokens(key("answer"), class.answer)?;
    span(&key("deadline"), class.deadline, Duration::from_millis(10))?;
    if class.aim > class.deadline {
        return wrong(key("aim"), "later than the deadline");
    }
    Ok(())
}

fn check_list(list: &ListService) -> Checked {
    within("list.calls_per_s", list.calls_per_s, 0.01..=1e6)?;
    span("list.timeout", list.timeout, Duration::from_millis(1))?;
    span("list.period", list.period, Duration::from_millis(1))?;
    if list.spread > list.period {
        return wrong("list.spread", "longer than list.period: changes would overtake one another");
    }
    match &list.late {
        Some(late) if late.least > late.most => {
            wrong("list.late", format!("{:?} is more than {:?}", late.least, late.most))
        }
        _ => Ok(()),
    }
}

fn check_fault(name: &str, fault: &Fault, length: Duration) -> Checked {
    let key = |part: &str| format!("faults.{name}.{part}");
    match (fault.kind, fault.share) {
        (FaultKind::ListOutage, None) => {}
        (FaultKind::ListOutage, Some(_)) => {
            return wrong(key("share"), "list_outage has none: there is one list service");
        }
        (_, Some(share)) => within(&key("share"), share, 0.0..=1.0)?,
        (_, None) => return wrong(format!("faults.{name}"), "needs a share"),
    }
    if fault.at >= length {
        return wrong(key("at"), "after the end of the experiment");
    }
    match (fault.kind, fault.factor) {
        (FaultKind::SlowReplicas, Some(factor)) => within(&key("factor"), factor, 1.0..=1000.0)?,
        (FaultKind::SlowReplicas, None) => {
            return wrong(format!("faults.{name}"), "slow_replicas needs a factor");
        }
        (_, Some(_)) => return wrong(key("factor"), "only slow_replicas has one"),
        (_, None) => {}
    }
    match (fault.kind, fault.part) {
        (FaultKind::ErrorReplicas, Some(part)) => within(&key("part"), part, 0.0..=1.0),
        (FaultKind::ErrorReplicas, None) => wrong(format!("faults.{name}"), "error_replicas needs a part"),
        (_, Some(_)) => wrong(key("part"), "only error_replicas has one"),
        (_, None) => Ok(()),
    }
}

fn wrong(key: impl Into<String>, what: impl Into<String>) -> Checked {
    Err((key.into(), what.into()))
}

/// A number between two bounds.
fn within(key: &str, given: f64, bounds: RangeInclusive<f64>) -> Checked {
    if bounds.contains(&given) {
        return Ok(());
    }
    wrong(key, format!("{given} is not between {} and {}", bounds.start(), bounds.end()))
}

/// A time of at least `least`, and no longer than any may be.
fn span(key: &str, given: Duration, least: Duration) -> Checked {
    if (least..=SPAN_MOST).contains(&given) {
        return Ok(());
    }
    wrong(key, format!("{given:?} is not between {least:?} and {SPAN_MOST:?}"))
}

/// The least and the most of a number of tokens.
fn tokens(key: String, [least, most]: [u32; 2]) -> Checked {
    if least > most || most == 0 || most > TOKENS_MOST {
        return wrong(key, format!("[{least}, {most}] is no span up to 1,000,000 tokens"));
    }
    Ok(())
}

/// Shares of a whole.
fn whole(key: &str, shares: impl Iterator<Item = f64>) -> Checked {
    let sum: f64 = shares.sum();
    if (sum - 1.0).abs() < SHARES_TOLERANCE {
        return Ok(());
    }
    wrong(key, format!("the shares come to {sum:.3}, not 1"))
}
