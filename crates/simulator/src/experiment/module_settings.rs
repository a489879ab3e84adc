//! What the decision module is told of an experiment.

use tulipridge::types;

use super::Experiment;
use crate::time::nanos;

impl Experiment {
    /// What the module of gateway `me` is told at its start.
    #[must_use]
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
}
