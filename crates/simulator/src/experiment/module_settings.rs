//! The settings of the decision module in an experiment.

use tulipridge::types;

use super::Experiment;
use crate::time::nanos;

impl Experiment {
    /// The settings of the module of gateway `me`.
    #[must_use]
    pub fn settings(&self, me: u32) -> types::Settings {
        let classes = self.classes.values().map(|c| types::Class {
            aim: nanos(c.latency_target),
            aim_per_token: nanos(c.latency_target_per_1000_tokens) / 1000,
            token_aim: 0,
            deadline: nanos(c.deadline),
            effect: types::Effect::Safe,
            worth: c.value,
            late_worth: c.late_value_factor,
            stream: true,
        });
        let tenants = self
            .tenants
            .values()
            .map(|t| types::Tenant { share: t.traffic_fraction, quota_per_s: Some(t.quota_per_s) });
        types::Settings {
            movable: false,
            group_size: self.gateways.count,
            me,
            zone: Some(me as u16 % self.gateways.zones),
            push: self.list_service.push,
            tick: 0,
            classes: classes.collect(),
            tenants: tenants.collect(),
            over_share_worth: 0.1,
            limits: types::Limits {
                attempts: self.attempt_policy.max_attempts,
                second_copies: self.attempt_policy.hedging,
                cancel: true,
                probes: false,
                peers: false,
                retry_after: 2_000_000_000,
            },
            safety: types::Safety {
                cold_from: self.replicas.slow_start_capacity,
                ramp: nanos(self.replicas.slow_start_duration),
                overload_factor: self.replicas.overload_factor,
                fall: nanos(self.replicas.overload_window),
                ask_within: 10_000_000_000,
            },
            units: types::Units::Size,
            list_calls_per_s: self.list_service.advertises_rate.then_some(self.list_service.calls_per_s),
            speeds: self.replicas.kinds.values().map(|k| k.speed).collect(),
            gauges: match self.replicas.load_reports {
                Some(_) => vec![types::Gauge::Utilisation, types::Gauge::Errors],
                None => Vec::new(),
            },
        }
    }
}
