//! Tests of the load balancer without I/O: placement, retries, the ring, and regressions.

mod admission;
mod cold_replicas;
mod completion;
mod determinism;
mod gateway;
mod membership;
mod outlier_ejection;
mod placement;
mod retries;
mod sources;
mod zones;

use tulipridge::LoadBalancer;
use tulipridge::types::*;

use gateway::*;

#[test]
fn invalid_settings_are_rejected() {
    let good = settings(Effect::Safe);
    assert!(LoadBalancer::new(Settings { classes: vec![], ..good.clone() }, 1).is_err());
    assert!(LoadBalancer::new(Settings { group_size: 0, ..good.clone() }, 1).is_err());
    let limits = Limits { max_attempts: 0, ..good.limits.clone() };
    assert!(LoadBalancer::new(Settings { limits, ..good.clone() }, 1).is_err());
    let slow_start = SlowStartSettings { initial_capacity: 0.0, ..good.slow_start.clone() };
    assert!(LoadBalancer::new(Settings { slow_start, ..good.clone() }, 1).is_err());
    assert!(LoadBalancer::new(good, 1).is_ok());
}
