//! How much work this gateway may send to a cold server now: a module without clock or I/O. Whom a request goes to is
//! decided elsewhere, which asks here whether a cold server may be one of them, as it asks `pace` when to call.
//!
//! Guards against many gateways pushing a cold server over, each with little: while it is cold this gateway sends it
//! no more than its own part of its warmth's part of the work that a server's share would be. Quotas tell that work to
//! a gateway that has just started and has seen none, like the fleet. In a large group a part is less than a request
//! for as long as the server is cold, so each gateway may send it one, and keeps to its part of all cold ones together.

use crate::types::{Nanos, Settings};

const SECOND: Nanos = 1_000_000_000;
/// All gateways together send a cold server at most this multiple of its part of the tenants' quotas; these are within
/// what the fleet can do, and a server falls at 2.5 times what it can do at that moment.
const PART: f64 = 2.0;

/// Work that may be sent: what is left of it, which grows with time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    left: f64,
    at: Nanos,
}

impl Budget {
    /// Of a server that has just started: it grows from now on.
    pub fn new(now: Nanos) -> Budget {
        Budget { left: 0.0, at: now }
    }

    fn refill(&mut self, now: Nanos, rate: f64, most: f64) {
        let gone = now.saturating_sub(self.at) as f64 / SECOND as f64;
        (self.left, self.at) = ((self.left + rate * gone).min(most), now);
    }
}

/// What a gateway goes by: its own work and the fleet's size.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Work that this gateway has had in a second of late.
    pub work: f64,
    /// What a request costs on average.
    pub full_cost: f64,
    /// The size that the quotas were made for.
    pub size: f64,
    /// The size of all cold servers, each by its warmth.
    pub cold: f64,
}

/// What one gateway may send to cold servers.
#[derive(Clone, Debug, Default)]
pub struct Cold {
    from: f64,
    ramp: Nanos,
    fall: f64,
    /// Requests a second that are this gateway's part of the tenants' quotas.
    quota: f64,
    /// What may be sent to all cold servers together.
    all: Budget,
}

impl Cold {
    /// For a gateway with these settings.
    pub fn new(settings: &Settings) -> Cold {
        let quota = settings.tenants.iter().filter_map(|t| t.quota_per_s).sum::<f64>();
        let safety = &settings.safety;
        Cold {
            from: safety.cold_from,
            ramp: safety.ramp,
            fall: safety.fall as f64 / SECOND as f64,
            quota: quota / f64::from(settings.group_size),
            all: Budget::default(),
        }
    }

    /// The share of its capacity that a server surely has: the same figure at all gateways.
    pub fn warmth(&self, now: Nanos, started: Option<Nanos>) -> f64 {
        match started {
            Some(started) if now < started.saturating_add(self.ramp) => {
                let age = now.saturating_sub(started) as f64 / self.ramp.max(1) as f64;
                self.from + (1.0 - self.from) * age
            }
            _ => 1.0,
        }
    }

    /// Whether a server of this budget, size and warmth may be sent a request of this cost now.
    pub fn affords(
        &mut self,
        now: Nanos,
        budget: &mut Budget,
        (size, warmth): (f64, f64),
        cost: f64,
        fleet: Fleet,
    ) -> bool {
        if warmth >= 1.0 {
            return true;
        }
        let due = self.quota * fleet.full_cost;
        let each = PART * due.max(fleet.work) / fleet.size.max(f64::MIN_POSITIVE);
        let all = each * fleet.cold;
        self.all.refill(now, all, all * self.fall / 2.0);
        let rate = each * size * warmth;
        budget.refill(now, rate, (rate * self.fall).min(cost));
        budget.left >= 0.0 && self.all.left >= 0.0
    }

    /// A request of this cost goes to a server.
    pub fn spend(&mut self, budget: &mut Budget, warmth: f64, cost: f64) {
        self.all.left -= if warmth < 1.0 { cost } else { 0.0 };
        budget.left -= cost;
    }
}
