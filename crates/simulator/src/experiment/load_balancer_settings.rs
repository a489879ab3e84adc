//! The settings of the load balancer in an experiment.

use tulipridge::types;

use super::Experiment;
use crate::time::nanos;

impl Experiment {
    /// The settings of the load balancer of gateway `me`.
    #[must_use]
    pub fn settings(&self, me: u32) -> types::Settings {
        let classes = self.classes.values().map(|c| types::Class {
            latency_target: nanos(c.latency_target),
            latency_target_per_token: nanos(c.latency_target_per_1000_tokens) / 1000,
            inter_token_target: 0,
            deadline: nanos(c.deadline),
            effect: types::Effect::Safe,
            value: c.value,
            late_value: c.late_value_factor,
            stream: true,
        });
        let tenants = self
            .tenants
            .values()
            .map(|t| types::Tenant { share: t.traffic_fraction, quota_per_s: Some(t.quota_per_s) });
        types::Settings {
            has_prefix_transfer: false,
            group_size: self.gateways.count,
            gateway_index: me,
            zone: Some(me as u16 % self.gateways.zones),
            has_pushed_list: self.list_service.push,
            tick: 0,
            classes: classes.collect(),
            tenants: tenants.collect(),
            over_share_value: 0.1,
            limits: types::Limits {
                max_attempts: self.attempt_policy.max_attempts,
                hedging: self.attempt_policy.hedging,
                cancellation: true,
                probes: false,
                peer_messages: false,
                max_retry_after: 2_000_000_000,
            },
            safety: types::Safety {
                initial_capacity: self.replicas.slow_start_capacity,
                slow_start_window: nanos(self.replicas.slow_start_duration),
                overload_factor: self.replicas.overload_factor,
                overload_window: nanos(self.replicas.overload_window),
                max_list_age: 10_000_000_000,
            },
            units: types::UnitsMeaning::Size,
            list_calls_per_s: self.list_service.advertises_rate.then_some(self.list_service.calls_per_s),
            speeds: self.replicas.kinds.values().map(|k| k.speed).collect(),
            load_metrics: match self.replicas.load_reports {
                Some(_) => vec![types::LoadMetric::Utilisation, types::LoadMetric::Errors],
                None => Vec::new(),
            },
        }
    }
}
