//! The demand of each tenant at this gateway, compared to its quota.

use crate::decaying_average::decay_factor;
use crate::types::{Nanos, Request, Settings};

/// Time constant of a tenant's demand, in seconds.
const TIME_CONSTANT_S: f64 = 1.5;

/// A count of a tenant's requests that decays exponentially with [`TIME_CONSTANT_S`].
#[derive(Clone, Copy, Debug)]
struct TenantDemand {
    requests: f64,
    updated_at: Nanos,
}

/// The demand of all tenants.
#[derive(Clone, Debug, Default)]
pub(crate) struct TenantDemands(Vec<TenantDemand>);

impl TenantDemands {
    /// Records a request. Returns the fraction of its tenant's requests that is within the quota,
    /// extrapolated from this gateway's requests to the group; 1 without a quota.
    pub(crate) fn record(&mut self, now: Nanos, settings: &Settings, request: &Request) -> f64 {
        let Some(index) = request.tenant else { return 1.0 };
        let tenant = settings.tenants.get(index.0);
        let Some(quota) = tenant.and_then(|tenant| tenant.quota_per_s) else { return 1.0 };
        self.0.resize(settings.tenants.len(), TenantDemand { requests: 0.0, updated_at: now });
        let demand = &mut self.0[index.0];
        let decay = decay_factor(now, demand.updated_at, TIME_CONSTANT_S);
        // A retry was counted with the client's first request.
        demand.requests = demand.requests * decay + f64::from(u8::from(!request.is_retry));
        demand.updated_at = now;
        let group_requests = (demand.requests * f64::from(settings.group_size)).max(f64::MIN_POSITIVE);
        (quota * TIME_CONSTANT_S / group_requests).min(1.0)
    }
}
