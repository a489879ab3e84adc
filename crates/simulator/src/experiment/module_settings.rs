//! What the decision module is told of an experiment.

use tulipridge::types;

use super::Experiment;
use crate::time::nanos;

impl Experiment {
    /// What the module of gateway `me` is told at its start.
    #[must_use]
    pub fn settings(&self, me: u32) -> types::Settings {
        let classes = self.classes.values().map(|c| types::Class {
            latency_target: nanos(c.aim),
            latency_target_per_token: nanos(c.aim_per_1000) / 1000,
            inter_token_target: 0,
            deadline: nanos(c.deadline),
            effect: types::Effect::Safe,
            value: c.worth,
            late_value: c.late_worth,
            stream: true,
        });
        let tenants =
            self.tenants.values().map(|t| types::Tenant { share: t.share, quota_per_s: Some(t.quota) });
        types::Settings {
            has_prefix_transfer: false,
            group_size: self.gateways.count,
            gateway_index: me,
            zone: Some(me as u16 % self.gateways.zones),
            has_pushed_list: self.list.push,
            tick: 0,
            classes: classes.collect(),
            tenants: tenants.collect(),
            over_share_value: 0.1,
            limits: types::Limits {
                max_attempts: self.allow.attempts,
                hedging: self.allow.second_copies,
                cancellation: true,
                probes: false,
                peer_messages: false,
                max_retry_after: 2_000_000_000,
            },
            safety: types::Safety {
                initial_capacity: self.replicas.cold_from,
                slow_start_window: nanos(self.replicas.ramp),
                overload_factor: self.replicas.fall_multiple,
                overload_window: nanos(self.replicas.fall),
                max_list_age: 10_000_000_000,
            },
            units: types::UnitsMeaning::Size,
            list_calls_per_s: self.list.told.then_some(self.list.calls_per_s),
            speeds: self.replicas.kinds.values().map(|k| k.speed).collect(),
            load_metrics: match self.replicas.reports {
                Some(_) => vec![types::LoadMetric::Utilisation, types::LoadMetric::Errors],
                None => Vec::new(),
            },
        }
    }
}
