//! Settings of the gateways' load balancers, as derived from an experiment.

use tulipridge::types;

use super::Experiment;
use crate::time::nanos;

/// Value of a request beyond the share of the service that is reserved for its tenant, relative to one within it.
const OVER_SHARE_VALUE: f64 = 0.1;
/// Maximum `Retry-After` of a gateway, in nanoseconds.
const MAX_RETRY_AFTER: types::Nanos = 2_000_000_000;
/// Maximum age of a gateway's replica list, in nanoseconds.
const MAX_LIST_AGE: types::Nanos = 10_000_000_000;

impl Experiment {
    /// Returns the settings of the load balancer of one gateway.
    #[must_use]
    pub fn load_balancer_settings(&self, gateway_index: u32) -> types::Settings {
        let classes = self.classes.values().map(|class| types::Class {
            latency_target: nanos(class.latency_target),
            latency_target_per_token: nanos(class.latency_target_per_1000_tokens) / 1000,
            inter_token_target: 0,
            deadline: nanos(class.deadline),
            effect: types::Effect::Safe,
            value: class.value,
            late_value: class.late_value_factor,
            stream: true,
        });
        let tenants = self.tenants.values().map(|tenant| types::Tenant {
            share: tenant.traffic_fraction,
            quota_per_s: Some(tenant.quota_per_s),
        });
        types::Settings {
            has_prefix_transfer: false,
            group_size: self.gateways.count,
            gateway_index,
            zone: Some(gateway_index as u16 % self.gateways.zones),
            has_pushed_list: self.list_service.has_push,
            tick: 0,
            classes: classes.collect(),
            tenants: tenants.collect(),
            over_share_value: OVER_SHARE_VALUE,
            limits: types::Limits {
                max_attempts: self.attempt_limits.max_attempts,
                hedging: self.attempt_limits.is_hedging_allowed,
                cancellation: true,
                probes: false,
                peer_messages: false,
                max_retry_after: MAX_RETRY_AFTER,
            },
            slow_start: types::SlowStartSettings {
                initial_capacity: self.replicas.slow_start_capacity,
                slow_start_window: nanos(self.replicas.slow_start_duration),
                overload_factor: self.replicas.overload_factor,
                overload_window: nanos(self.replicas.overload_window),
                max_list_age: MAX_LIST_AGE,
            },
            units_meaning: types::UnitsMeaning::Size,
            list_calls_per_s: self
                .list_service
                .has_advertised_rate
                .then_some(self.list_service.calls_per_s),
            speeds: self.replicas.kinds.values().map(|kind| kind.speed).collect(),
            load_metrics: match self.replicas.load_reports {
                Some(_) => vec![types::LoadMetric::Utilisation, types::LoadMetric::Errors],
                None => Vec::new(),
            },
        }
    }
}
