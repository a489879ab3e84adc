//! Slow start: limits the work that this gateway sends to a replica that has just started. No I/O and no
//! clock. Replica selection asks this module whether a warming replica may be sent a request.
//!
//! The purpose is that of Envoy's slow start mode. The method differs, since many gateways that share no
//! state must not overload a replica together although each sends little. The work that all of them may
//! send is divided into turns, each for one request of mean work, at a rate that grows with the replica's
//! capacity. The turns go round-robin by gateway index, from an offset that depends on the replica's id.
//! All gateways compute them from the replica's start time and the quotas, on a shared clock, and so agree
//! without messages. An unused turn lapses after a number of later ones, so that turns don't accumulate at
//! gateways that learn of a start late, or whose load rises suddenly. Without quotas, a gateway computes
//! its turns from its own work.

use crate::types::{Nanos, Settings};

const SECOND: Nanos = 1_000_000_000;
/// Rate of turns as a fraction of the rate that overloads a replica. The rest is a reserve for gateways
/// with a different view of the fleet's size, and for requests that cost more than the mean.
const SAFE_RATE_FRACTION: f64 = 0.8;
/// Fraction of the overload limit that may be open turns, in addition to the tolerance of twice its square
/// root.
const OPEN_TURN_FRACTION: f64 = 0.1;
/// A gateway process takes no turn that was due before its first list, or within this time after it: the
/// gateway's previous process may have taken that turn.
const RESTART_OVERLAP: Nanos = SECOND;
/// Maximum excess work, in requests of mean work, that a gateway compensates for by skipping later turns.
const MAX_DEBT_REQUESTS: f64 = 3.0;

/// This gateway's turns at one warming replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStartBudget {
    /// Turns accrued so far, if they are computed from this gateway's own work.
    accrued_turns: f64,
    /// When `accrued_turns` was last updated.
    accrued_at: Nanos,
    /// The next turn that may be taken; all earlier ones have been taken or have lapsed.
    next_turn: i64,
    /// Work sent in excess of one mean request per turn, in requests of mean work.
    debt: f64,
}

impl SlowStartBudget {
    /// Creates the budget of a replica that this gateway has just learned of.
    #[must_use]
    pub fn new(now: Nanos) -> SlowStartBudget {
        SlowStartBudget { accrued_turns: 0.0, accrued_at: now, next_turn: i64::MIN, debt: 0.0 }
    }
}

/// A replica in slow start.
#[derive(Clone, Copy, Debug)]
pub struct WarmingReplica {
    /// Hash of the replica's id: the same at all gateways.
    pub hash: u64,
    /// When the replica's process started.
    pub started: Nanos,
    /// The replica's fraction of the fleet size that the quotas are based on.
    pub size_fraction: f64,
}

/// The turns of this gateway that are due.
struct TurnWindow {
    /// Number of turns due so far, plus this gateway's offset.
    due: f64,
    /// The earliest turn that this process may take.
    earliest: i64,
}

/// The slow start limits of one gateway.
#[derive(Clone, Debug, Default)]
pub struct SlowStart {
    initial_capacity: f64,
    window: Nanos,
    overload_factor: f64,
    /// The time over which the overload factor applies, in seconds.
    overload_window_s: f64,
    /// Requests per second that the tenants' quotas permit at all gateways together, if all tenants have
    /// one.
    quota_per_s: Option<f64>,
    gateway_index: u32,
    group_size: u32,
    /// When this process first received a list.
    first_list_at: Option<Nanos>,
}

impl SlowStart {
    /// Creates the limits of a gateway with these settings.
    #[must_use]
    pub fn new(settings: &Settings) -> SlowStart {
        let (parameters, group_size) = (&settings.slow_start, settings.group_size.max(1));
        SlowStart {
            initial_capacity: parameters.initial_capacity,
            window: parameters.slow_start_window,
            overload_factor: parameters.overload_factor,
            overload_window_s: parameters.overload_window as f64 / SECOND as f64,
            quota_per_s: settings.quota_per_s(),
            gateway_index: settings.gateway_index % group_size,
            group_size,
            first_list_at: None,
        }
    }

    /// Changes the group size. If turns are computed from the quotas, this converts the budgets to the new
    /// rate of this gateway's turns. `budgets` has the budget of each replica with the replica's hash.
    pub fn set_group_size<'a>(
        &mut self,
        settings: &Settings,
        budgets: impl Iterator<Item = (u64, &'a mut SlowStartBudget)>,
    ) {
        let former = self.clone();
        self.group_size = settings.group_size.max(1);
        self.gateway_index = settings.gateway_index % self.group_size;
        if self.quota_per_s.is_none() {
            return;
        }
        let ratio = f64::from(former.group_size) / f64::from(self.group_size);
        for (hash, budget) in budgets {
            let turns = budget.next_turn as f64 - former.turn_offset(hash);
            budget.next_turn = (turns * ratio + self.turn_offset(hash)).ceil() as i64;
        }
    }

    /// This gateway's offset in the round-robin order at a replica, in 0..1.
    fn turn_offset(&self, hash: u64) -> f64 {
        let group = u64::from(self.group_size);
        ((u64::from(self.gateway_index) + hash % group) % group) as f64 / f64::from(self.group_size)
    }

    /// Records that a list has been received.
    pub fn observe_list(&mut self, now: Nanos) {
        self.first_list_at.get_or_insert(now);
    }

    /// The minimum fraction of its capacity that a replica has; 1 once it is warm. All gateways compute
    /// the same value.
    #[must_use]
    pub fn capacity_fraction(&self, now: Nanos, started: Option<Nanos>) -> f64 {
        match started {
            Some(started) if now < started.saturating_add(self.window) => {
                let age = now.saturating_sub(started) as f64 / self.window.max(1) as f64;
                self.initial_capacity + (1.0 - self.initial_capacity) * age
            }
            _ => 1.0,
        }
    }

    /// Whether this gateway has a turn at a warming replica. `work` is this gateway's recent work, in
    /// requests of mean work per second.
    pub fn has_turn(
        &self,
        now: Nanos,
        budget: &mut SlowStartBudget,
        replica: WarmingReplica,
        work: f64,
    ) -> bool {
        let group = f64::from(self.group_size);
        let capacity = self.capacity_fraction(now, Some(replica.started));
        let full_rate = replica.size_fraction * self.quota_per_s.unwrap_or(work * group);
        let turns = if self.quota_per_s.is_some() {
            self.turns_by_quota(now, replica, full_rate)
        } else {
            self.turns_by_own_work(now, budget, replica, full_rate)
        };
        // Open turns of all gateways may be taken at once, in addition to new ones. Their number is
        // therefore bounded by a part of the reserve plus the tolerance, and by half a turn per gateway:
        // the gateways of a small group have enough requests to take each turn when it is due.
        let allowed = self.overload_factor * full_rate * capacity * self.overload_window_s;
        let open_turns = (OPEN_TURN_FRACTION * allowed + 2.0 * allowed.sqrt()).min(group / 2.0) / group;
        let lapsed = (turns.due - open_turns).floor() as i64;
        let latest = turns.due.floor() as i64;
        budget.next_turn = budget.next_turn.max(lapsed.saturating_add(1)).max(turns.earliest);
        while budget.debt >= 1.0 && budget.next_turn <= latest {
            budget.next_turn += 1;
            budget.debt -= 1.0;
        }
        budget.next_turn <= latest
    }

    fn turns_by_quota(&self, now: Nanos, replica: WarmingReplica, full_rate: f64) -> TurnWindow {
        let group = f64::from(self.group_size);
        let offset = self.turn_offset(replica.hash);
        // Turns of this gateway up to a time: those of all gateways, divided by the group size.
        let turns = |at: Nanos| {
            let age = at.saturating_sub(replica.started) as f64 / SECOND as f64;
            let window = self.window.max(1) as f64 / SECOND as f64;
            let initial = self.initial_capacity;
            let warmed = initial * age + (1.0 - initial) * age * age / (2.0 * window);
            SAFE_RATE_FRACTION * self.overload_factor * full_rate * warmed / group
        };
        let first = self.first_list_at.map_or(now, |at| at.saturating_add(RESTART_OVERLAP));
        // If this process had a list for RESTART_OVERLAP before the replica started, it has missed no turn,
        // and the first turns are due at once, up to the limit of open turns.
        let missed =
            if first > replica.started { (turns(first) + offset).floor() as i64 } else { i64::MIN };
        TurnWindow { due: turns(now) + offset, earliest: missed.saturating_add(1) }
    }

    fn turns_by_own_work(
        &self,
        now: Nanos,
        budget: &mut SlowStartBudget,
        replica: WarmingReplica,
        full_rate: f64,
    ) -> TurnWindow {
        let group = f64::from(self.group_size);
        let capacity = self.capacity_fraction(now, Some(replica.started));
        let elapsed = now.saturating_sub(budget.accrued_at) as f64 / SECOND as f64;
        budget.accrued_turns +=
            SAFE_RATE_FRACTION * self.overload_factor * full_rate * capacity * elapsed / group;
        budget.accrued_at = now;
        TurnWindow { due: budget.accrued_turns + self.turn_offset(replica.hash), earliest: 1 }
    }

    /// Takes a turn for a request to a warming replica. `cost` is in requests of mean work.
    pub fn take_turn(&self, budget: &mut SlowStartBudget, cost: f64) {
        budget.next_turn = budget.next_turn.saturating_add(1);
        budget.debt = (budget.debt + cost - 1.0).clamp(-1.0, MAX_DEBT_REQUESTS);
    }
}
