//! What an experiment is: the fleet, its load, its list service and its faults, from one HCL file.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use tulipridge::settings::{Fault as FileFault, parse_hcl_over};
use tulipridge::types::{self, Nanos};

use crate::policy::PolicyKind;

/// One experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The file that this one differs from, beside it. What it has in blocks goes into that file's blocks, anything else
    /// takes the place of what is there, and `null` takes it away.
    #[serde(default)]
    pub from: Option<String>,
    /// One sentence that stands over the report.
    pub about: String,
    /// All randomness comes from this number.
    pub seed: u64,
    /// Time before figures are taken: caches fill, averages settle.
    #[serde(with = "humantime_serde")]
    pub warmup: Duration,
    /// Time over which figures are taken, after the warm-up.
    #[serde(with = "humantime_serde")]
    pub length: Duration,
    /// The policies that are played, side by side on the same seed.
    pub policies: Vec<PolicyKind>,
    /// The gateways.
    pub gateways: Gateways,
    /// The real servers.
    pub replicas: Replicas,
    /// What arrives.
    pub load: Load,
    /// Classes of requests.
    pub classes: BTreeMap<String, Class>,
    /// Tenants by name.
    #[serde(default)]
    pub tenants: BTreeMap<String, Tenant>,
    /// The list service.
    pub list: ListService,
    /// The clients.
    pub clients: Clients,
    /// The network between all.
    pub network: Network,
    /// What the gateways may do.
    #[serde(default)]
    pub allow: Allow,
    /// What breaks, and when.
    #[serde(default)]
    pub faults: BTreeMap<String, Fault>,
}

/// The gateways.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateways {
    /// How many.
    pub count: u32,
    /// Zones that they and the real servers are spread over.
    pub zones: u16,
    /// Spread of the traffic among them: 0 is even, 1 gives a few several times the mean.
    #[serde(default)]
    pub skew: f64,
    /// They start one after the other within this time.
    #[serde(with = "humantime_serde")]
    pub start_within: Duration,
    /// Time until the layer before them notices that one is gone, or back.
    #[serde(with = "humantime_serde")]
    pub notice: Duration,
}

/// The real servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replicas {
    /// How many.
    pub count: u32,
    /// Kinds of machines.
    pub kinds: BTreeMap<String, Kind>,
    /// Share of its capacity that a cold one has at first.
    pub cold_from: f64,
    /// Time until it has all of it.
    #[serde(with = "humantime_serde")]
    pub ramp: Duration,
    /// Prompt tokens that are read in one step at the most.
    pub chunk: u32,
    /// Load reports; `null` where there are none.
    #[serde(default)]
    pub reports: Option<Reports>,
    /// A cold one falls that is sent more than this multiple of what it can do ...
    #[serde(default = "fall_multiple")]
    pub fall_multiple: f64,
    /// ... over this time.
    #[serde(with = "humantime_serde", default = "fall")]
    pub fall: Duration,
}

fn fall_multiple() -> f64 {
    2.5
}

fn fall() -> Duration {
    Duration::from_secs(3)
}

/// A kind of machine.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its part of the fleet.
    pub share: f64,
    /// What the list says of its size.
    pub units: f64,
    /// Its speed beside the yardstick's.
    pub speed: f64,
    /// Requests in a batch.
    pub batch: usize,
    /// Prompt tokens that it keeps.
    pub memory: u64,
    /// The least time of a step, at speed 1.
    #[serde(with = "humantime_serde")]
    pub step: Duration,
    /// Prompt tokens read in a second, at speed 1.
    pub read: f64,
}

/// Load reports, which come with answers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reports {
    /// Time between two refreshes of what is reported.
    #[serde(with = "humantime_serde")]
    pub period: Duration,
    /// Age of what is reported at the refresh.
    #[serde(with = "humantime_serde")]
    pub delay: Duration,
    /// Relative error, one standard deviation.
    pub noise: f64,
}

/// What arrives, in open loop: nobody waits for an answer before the next one comes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// First tries a second, over the whole fleet.
    pub rate: f64,
    /// Mean time between two turns of a session.
    #[serde(with = "humantime_serde")]
    pub think: Duration,
    /// Times at which more or less comes.
    #[serde(default)]
    pub phases: BTreeMap<String, LoadPhase>,
}

/// A burst, or a ramp where `ramp` is set.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPhase {
    /// Its start, after the warm-up.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// Its length.
    #[serde(with = "humantime_serde")]
    pub lasts: Duration,
    /// The rate is multiplied by this.
    pub factor: f64,
    /// The factor is reached evenly by the end instead of at once.
    #[serde(default)]
    pub ramp: bool,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its part of the sessions.
    pub share: f64,
    /// Mean turns of a session.
    pub turns: f64,
    /// Shared beginnings that there are.
    pub beginnings: u32,
    /// Their popularity falls with the rank to this power (Zipf).
    pub zipf: f64,
    /// Tokens of a shared beginning, least and most.
    pub beginning: [u32; 2],
    /// Tokens that each turn adds.
    pub adds: [u32; 2],
    /// Tokens of an answer.
    pub answer: [u32; 2],
    /// The time to the first token that is wanted ...
    #[serde(with = "humantime_serde")]
    pub aim: Duration,
    /// ... plus so much for each 1,000 tokens of the prompt.
    #[serde(with = "humantime_serde")]
    pub aim_per_1000: Duration,
    /// The client's whole patience.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Worth of an answer in time.
    pub worth: f64,
    /// Share of it that a late answer earns.
    pub late_worth: f64,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its part of the traffic, and of the service that is its own.
    pub share: f64,
    /// Requests a second within its share.
    pub quota: f64,
}

/// The list service: one call at a time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListService {
    /// It sends the whole list and its changes unasked.
    #[serde(default)]
    pub push: bool,
    /// Each change is known after a time between these two, in place of `notice` and `add`.
    #[serde(default)]
    pub late: Option<Late>,
    /// Calls that it serves in a second.
    pub calls_per_s: f64,
    /// The gateways are told what it can serve.
    #[serde(default)]
    pub told: bool,
    /// It refuses at once, at no cost, a call that would wait longer, and asks to be left alone for so long.
    #[serde(with = "humantime_serde", default)]
    pub sheds_after: Option<Duration>,
    /// A caller that waited longer has failed; the service does the work all the same.
    #[serde(with = "humantime_serde")]
    pub timeout: Duration,
    /// Time until it knows that a real server has gone.
    #[serde(with = "humantime_serde")]
    pub notice: Duration,
    /// Time until it knows of a new one.
    #[serde(with = "humantime_serde")]
    pub add: Duration,
    /// Changes are sent together, once in this time.
    #[serde(with = "humantime_serde")]
    pub period: Duration,
    /// Watchers hear of a change within this time of one another.
    #[serde(with = "humantime_serde")]
    pub spread: Duration,
}

/// How late the list is.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Late {
    /// At the least.
    #[serde(with = "humantime_serde")]
    pub least: Duration,
    /// At the most.
    #[serde(with = "humantime_serde")]
    pub most: Duration,
}

/// What the gateways may do.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Allow {
    /// Attempts for one try of a client.
    pub attempts: u32,
    /// Two of them may be out at once.
    pub second_copies: bool,
}

impl Default for Allow {
    fn default() -> Allow {
        Allow { attempts: 5, second_copies: true }
    }
}

/// The clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Tries after the first.
    pub retries: u32,
    /// A try is given up after this part of the class's deadline.
    pub try_share: f64,
    /// Pause before a retry.
    #[serde(with = "humantime_serde")]
    pub backoff: Duration,
    /// Part of the clients that stay away as long as they are told.
    pub honour: f64,
}

/// The network.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Network {
    /// One way within a zone.
    #[serde(with = "humantime_serde")]
    pub same: Duration,
    /// One way between zones.
    #[serde(with = "humantime_serde")]
    pub cross: Duration,
    /// Work of a new connection.
    #[serde(with = "humantime_serde")]
    pub handshake: Duration,
    /// A connection at rest stays open for this time.
    #[serde(with = "humantime_serde")]
    pub idle: Duration,
    /// A connection not made after this time has failed.
    #[serde(with = "humantime_serde")]
    pub connect_timeout: Duration,
}

/// Something that breaks.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When, after the warm-up.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// What breaks.
    pub kind: FaultKind,
    /// Which part of the gateways or real servers; `list_outage` has none.
    #[serde(default)]
    pub share: Option<f64>,
    /// They break one after the other within this time.
    #[serde(with = "humantime_serde", default)]
    pub within: Duration,
    /// Each is back after this time.
    #[serde(with = "humantime_serde")]
    pub back: Duration,
    /// `slow`: how many times as long everything takes.
    #[serde(default)]
    pub factor: Option<f64>,
    /// `error`: which part of the requests fails.
    #[serde(default)]
    pub part: Option<f64>,
}

/// What breaks.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Gateways are killed and started anew with the list that they last had.
    RestartGateways,
    /// Real servers die and come back cold under their own names.
    KillReplicas,
    /// Machines vanish without a word: streams stay open and silent, new connections never come up; then they are back,
    /// cold.
    SilenceReplicas,
    /// Real servers drain; new ones with other names come in their place.
    ReplaceReplicas,
    /// Real servers do everything more slowly.
    SlowReplicas,
    /// Real servers answer a part of their requests at once, with an error.
    ErrorReplicas,
    /// Real servers take connections and requests and answer nothing, then go on where they stood.
    HangReplicas,
    /// The list service is out of reach; what it has to say comes after its return.
    ListOutage,
}

impl FaultKind {
    /// The words of the report.
    pub fn words(self) -> &'static str {
        match self {
            FaultKind::RestartGateways => "gateways restart",
            FaultKind::KillReplicas => "real servers die",
            FaultKind::SilenceReplicas => "real servers vanish without a word",
            FaultKind::ReplaceReplicas => "real servers are replaced",
            FaultKind::SlowReplicas => "real servers slow down",
            FaultKind::ErrorReplicas => "real servers answer with errors",
            FaultKind::HangReplicas => "real servers hang",
            FaultKind::ListOutage => "the list service is out of reach",
        }
    }

    /// While it lasts is of interest, not only what comes after.
    pub fn lasts(self) -> bool {
        !matches!(self, FaultKind::RestartGateways | FaultKind::ReplaceReplicas | FaultKind::SlowReplicas)
    }
}

/// A span as the laboratory's clock counts it.
pub fn nanos(span: Duration) -> Nanos {
    span.as_nanos() as Nanos
}

impl Experiment {
    /// Reads an experiment; `path` is for the faults, and says where a file lies that it differs from.
    pub fn parse(path: &str, text: &str) -> Result<Experiment, FileFault> {
        let mut files = vec![(path.to_owned(), text.to_owned())];
        while let Some(from) = files.last().and_then(|(_, text)| from_of(text)) {
            let (path, _) = &files[files.len() - 1];
            let fault = |what| FileFault { file: path.clone(), place: None, key: "from".into(), what };
            let base = Path::new(path).with_file_name(&from).display().to_string();
            if files.iter().any(|(known, _)| *known == base) {
                return Err(fault(format!("{from} comes back to this file")));
            }
            let text = fs::read_to_string(&base).map_err(|e| fault(format!("{base}: {e}")))?;
            files.push((base, text));
        }
        let files: Vec<_> = files.iter().rev().map(|(path, text)| (path.as_str(), text.as_str())).collect();
        parse_hcl_over(&files, Experiment::check)
    }

    /// Time at which all ends.
    pub fn end(&self) -> Nanos {
        nanos(self.warmup + self.length)
    }

    /// Faults in the order of their times, then names.
    pub fn faults_in_order(&self) -> Vec<(&str, &Fault)> {
        let mut all: Vec<_> = self.faults.iter().map(|(name, fault)| (name.as_str(), fault)).collect();
        all.sort_by_key(|(name, fault)| (fault.at, *name));
        all
    }

    /// The multiple of the rate at a time.
    pub fn factor_at(&self, now: Nanos) -> f64 {
        let since = now as f64 - nanos(self.warmup) as f64;
        self.load.phases.values().fold(1.0, |factor, phase| {
            let part = (since - nanos(phase.at) as f64) / nanos(phase.lasts).max(1) as f64;
            match (0.0..1.0).contains(&part) {
                true if phase.ramp => factor * (1.0 + (phase.factor - 1.0) * part),
                true => factor * phase.factor,
                false => factor,
            }
        })
    }

    /// The most that [`Experiment::factor_at`] may come to.
    pub fn factor_most(&self) -> f64 {
        self.load.phases.values().map(|p| p.factor.max(1.0)).product()
    }

    /// What the module of gateway `me` is told at its start.
    pub fn settings(&self, me: u32) -> types::Settings {
        let classes = self.classes.values().map(|c| types::Class {
            aim: nanos(c.aim),
            aim_per_token: nanos(c.aim_per_1000) / 1000,
            token_aim: 0,
            deadline: nanos(c.deadline),
            effect: types::Effect::Safe,
            worth: c.worth,
            late_worth: c.late_worth,
            stream: true,
        });
        let tenants =
            self.tenants.values().map(|t| types::Tenant { share: t.share, quota_per_s: Some(t.quota) });
        types::Settings {
            movable: false,
            group_size: self.gateways.count,
            me,
            zone: Some(me as u16 % self.gateways.zones),
            push: self.list.push,
            tick: 0,
            classes: classes.collect(),
            tenants: tenants.collect(),
            over_share_worth: 0.1,
            limits: types::Limits {
                attempts: self.allow.attempts,
                second_copies: self.allow.second_copies,
                cancel: true,
                probes: false,
                peers: false,
                retry_after: 2_000_000_000,
            },
            safety: types::Safety {
                cold_from: self.replicas.cold_from,
                ramp: nanos(self.replicas.ramp),
                overload_factor: self.replicas.fall_multiple,
                fall: nanos(self.replicas.fall),
                ask_within: 10_000_000_000,
            },
            units: types::Units::Size,
            list_calls_per_s: self.list.told.then_some(self.list.calls_per_s),
            speeds: self.replicas.kinds.values().map(|k| k.speed).collect(),
            gauges: match self.replicas.reports {
                Some(_) => vec![types::Gauge::Utilisation, types::Gauge::Errors],
                None => Vec::new(),
            },
        }
    }

    /// What single values don't show.
    fn check(&self) -> Result<(), (String, String)> {
        fn wrong(key: impl Into<String>, what: impl Into<String>) -> Result<(), (String, String)> {
            Err((key.into(), what.into()))
        }
        let within = |key: &str, given: f64, least: f64, most: f64| match given {
            g if (least..=most).contains(&g) => Ok(()),
            g => wrong(key, format!("{g} is not between {least} and {most}")),
        };
        let span = |key: &str, given: Duration, least_ms: u64, most_s: u64| {
            let (least, most) = (Duration::from_millis(least_ms), Duration::from_secs(most_s));
            match given {
                g if (least..=most).contains(&g) => Ok(()),
                g => wrong(key, format!("{g:?} is not between {least:?} and {most:?}")),
            }
        };
        if self.policies.is_empty() {
            return wrong("policies", "names none");
        }
        let twice = |p: &PolicyKind| self.policies.iter().filter(|q| *q == p).count() > 1;
        if let Some(twice) = self.policies.iter().find(|p| twice(p)) {
            return wrong("policies", format!("names {} twice", twice.name()));
        }
        span("warmup", self.warmup, 0, 3600)?;
        span("length", self.length, 1000, 3600)?;
        within("gateways.count", f64::from(self.gateways.count), 1.0, 10_000.0)?;
        within("gateways.zones", f64::from(self.gateways.zones), 1.0, 100.0)?;
        within("gateways.skew", self.gateways.skew, 0.0, 3.0)?;
        if u32::from(self.gateways.zones) > self.gateways.count {
            return wrong(
                "gateways.zones",
                "more zones than gateways: a zone's clients would reach nobody",
            );
        }
        within("replicas.count", f64::from(self.replicas.count), 1.0, 10_000.0)?;
        within("replicas.cold_from", self.replicas.cold_from, 0.01, 1.0)?;
        within("replicas.chunk", f64::from(self.replicas.chunk), 1.0, 1e6)?;
        within("replicas.fall_multiple", self.replicas.fall_multiple, 1.0, 100.0)?;
        span("replicas.fall", self.replicas.fall, 1, 3600)?;
        if let Some(reports) = &self.replicas.reports {
            within("replicas.reports.noise", reports.noise, 0.0, 1.0)?;
            span("replicas.reports.period", reports.period, 1, 3600)?;
        }
        if self.replicas.kinds.is_empty() {
            return wrong("replicas.kinds", "names none");
        }
        for (name, kind) in &self.replicas.kinds {
            let key = |part: &str| format!("replicas.kinds.{name}.{part}");
            within(&key("share"), kind.share, 0.0, 1.0)?;
            within(&key("units"), kind.units, 0.001, 10_000.0)?;
            within(&key("speed"), kind.speed, 0.01, 100.0)?;
            within(&key("batch"), kind.batch as f64, 1.0, 100_000.0)?;
            within(&key("read"), kind.read, 1.0, 1e9)?;
            if kind.step < Duration::from_micros(100) {
                return wrong(key("step"), format!("{:?} is less than 100µs", kind.step));
            }
        }
        shares("replicas.kinds", self.replicas.kinds.values().map(|k| k.share))?;
        within("load.rate", self.load.rate, 0.01, 1e6)?;
        for (name, phase) in &self.load.phases {
            within(&format!("load.phases.{name}.factor"), phase.factor, 0.0, 100.0)?;
        }
        if self.classes.is_empty() {
            return wrong("classes", "names none");
        }
        for (name, class) in &self.classes {
            let key = |part: &str| format!("classes.{name}.{part}");
            within(&key("turns"), class.turns, 1.0, 1000.0)?;
            within(&key("zipf"), class.zipf, 0.0, 5.0)?;
            within(&key("beginnings"), f64::from(class.beginnings), 1.0, 1e6)?;
            for (part, [least, most]) in
                [("beginning", class.beginning), ("adds", class.adds), ("answer", class.answer)]
            {
                if least > most || most == 0 || most > 1_000_000 {
                    return wrong(
                        key(part),
                        format!("[{least}, {most}] is no span up to 1,000,000 tokens"),
                    );
                }
            }
            span(&key("deadline"), class.deadline, 10, 3600)?;
            if class.aim > class.deadline {
                return wrong(key("aim"), "later than the deadline");
            }
        }
        shares("classes", self.classes.values().map(|c| c.share))?;
        if !self.tenants.is_empty() {
            shares("tenants", self.tenants.values().map(|t| t.share))?;
        }
        within("list.calls_per_s", self.list.calls_per_s, 0.01, 1e6)?;
        span("list.timeout", self.list.timeout, 1, 3600)?;
        span("list.period", self.list.period, 1, 3600)?;
        if self.list.spread > self.list.period {
            return wrong("list.spread", "longer than list.period: changes would overtake one another");
        }
        if let Some(late) = self.list.late.as_ref().filter(|late| late.least > late.most) {
            return wrong("list.late", format!("{:?} is more than {:?}", late.least, late.most));
        }
        within("allow.attempts", f64::from(self.allow.attempts), 1.0, 100.0)?;
        within("clients.try_share", self.clients.try_share, 0.01, 1.0)?;
        within("clients.honour", self.clients.honour, 0.0, 1.0)?;
        for (name, fault) in &self.faults {
            let key = |part: &str| format!("faults.{name}.{part}");
            match (fault.kind, fault.share) {
                (FaultKind::ListOutage, None) => {}
                (FaultKind::ListOutage, Some(_)) => {
                    return wrong(key("share"), "list_outage has none: there is one list service");
                }
                (_, Some(share)) => within(&key("share"), share, 0.0, 1.0)?,
                (_, None) => return wrong(format!("faults.{name}"), "needs a share"),
            }
            if fault.at >= self.length {
                return wrong(key("at"), "after the end of the experiment");
            }
            match (fault.kind, fault.factor) {
                (FaultKind::SlowReplicas, Some(factor)) => within(&key("factor"), factor, 1.0, 1000.0)?,
                (FaultKind::SlowReplicas, None) => {
                    return wrong(format!("faults.{name}"), "slow_replicas needs a factor");
                }
                (_, Some(_)) => return wrong(key("factor"), "only slow_replicas has one"),
                (_, None) => {}
            }
            match (fault.kind, fault.part) {
                (FaultKind::ErrorReplicas, Some(part)) => within(&key("part"), part, 0.0, 1.0)?,
                (FaultKind::ErrorReplicas, None) => {
                    return wrong(format!("faults.{name}"), "error_replicas needs a part");
                }
                (_, Some(_)) => return wrong(key("part"), "only error_replicas has one"),
                (_, None) => {}
            }
        }
        Ok(())
    }
}

/// The file that a text says it differs from; a text that can't be read says so later.
fn from_of(text: &str) -> Option<String> {
    let value: serde_json::Value = hcl::from_str(text).ok()?;
    value.get("from")?.as_str().map(str::to_owned)
}

fn shares(key: &str, all: impl Iterator<Item = f64>) -> Result<(), (String, String)> {
    let sum: f64 = all.sum();
    if (sum - 1.0).abs() < 0.01 {
        return Ok(());
    }
    Err((key.to_owned(), format!("the shares come to {sum:.3}, not 1")))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bursts_come_at_once_and_ramps_evenly_and_both_multiply() {
        let path = concat!(env!("CARGO_MANIFEST_DIR"), "/experiments/here.hcl");
        let text = "from = \"release.hcl\"\nload {\n  phases {\n    burst {\n      at = \"5s\"\n      lasts = \"5s\"\n      \
                    factor = 3\n    }\n    ramp {\n      at = \"0s\"\n      lasts = \"10s\"\n      factor = 2\n      \
                    ramp = true\n    }\n  }\n}\n";
        let x = Experiment::parse(path, text).expect("a good experiment");
        // The warm-up takes 20 s; before it and after the phases the rate is as it stands.
        let factors = [10, 20, 22, 25, 28, 30].map(|s| x.factor_at(s * 1_000_000_000));
        let wanted = [1.0, 1.0, 1.2, 4.5, 5.4, 1.0];
        assert!(factors.iter().zip(wanted).all(|(f, w)| (f - w).abs() < 1e-9), "{factors:?}");
        assert_eq!(x.factor_most(), 6.0);
    }
}
