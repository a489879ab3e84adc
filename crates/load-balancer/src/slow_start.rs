//! Slow start: how much work this gateway may send to a replica that has just started. No I/O and no clock. Which replica
//! a request goes to is decided elsewhere, which asks here whether a warming one may be it.
//!
//! The aim is that of Envoy's slow start mode; the means differ, since many gateways that share nothing must not push a
//! replica over together, each with little. What all may send it is given out as turns, a request each, as its capacity
//! grows. Turns go round by the gateways' indexes, from an offset that the replica's id decides. All gateways compute the
//! turns from the replica's start and the quotas, on the clock that they share, so they agree without a message. A turn
//! that is not taken lapses after some others, so that gateways that learn of a start late, or become busy at once, don't
//! add theirs up. Without quotas a gateway counts turns by its own work.

use crate::types::{Nanos, Settings};

const SECOND: Nanos = 1_000_000_000;
/// Turns come at this part of the rate that overloads a replica: the rest is for gateways that see the fleet's size
/// differently, and for requests that cost more than most.
const SAFE_RATE_FRACTION: f64 = 0.8;
/// So much of the budget may be open turns, beside what it may be exceeded by.
const OPEN_TURN_FRACTION: f64 = 0.1;
/// A process takes no turn that came before it, or so soon after its start: its gateway's last process may have.
const RESTART_OVERLAP: Nanos = SECOND;
/// Requests beyond the mean in work that a gateway pays back with later turns, at most.
const MAX_DEBT_REQUESTS: f64 = 3.0;

/// The turns of this gateway at one warming replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStartBudget {
    /// Turns so far, where this gateway's own work tells them.
    accrued_turns: f64,
    /// When they were counted.
    accrued_at: Nanos,
    /// The next turn that may be taken; all before it have been taken or have lapsed.
    next_turn: i64,
    /// Work sent beyond a mean request for each turn, in such requests.
    debt: f64,
}

impl SlowStartBudget {
    /// The budget of a replica that this gateway has just learnt of.
    #[must_use]
    pub fn new(now: Nanos) -> SlowStartBudget {
        SlowStartBudget { accrued_turns: 0.0, accrued_at: now, next_turn: i64::MIN, debt: 0.0 }
    }
}

/// A replica in slow start.
#[derive(Clone, Copy, Debug)]
pub struct WarmingReplica {
    /// Hash of its id: the same at all gateways.
    pub hash: u64,
    /// When its process started.
    pub started: Nanos,
    /// Its part of the fleet's size that the quotas were made for.
    pub size_fraction: f64,
}

/// The turns that have come up to now and those that may still be taken.
struct TurnWindow {
    /// Turns that have come, with the offset of this gateway.
    due: f64,
    /// The earliest turn that this process may take.
    earliest: i64,
}

/// What one gateway may send to replicas in slow start.
#[derive(Clone, Debug, Default)]
pub struct SlowStart {
    initial_capacity: f64,
    window: Nanos,
    overload_factor: f64,
    /// In seconds.
    overload_window_s: f64,
    /// Requests a second that the tenants' quotas grant at all gateways together, if all have one.
    quota_per_s: Option<f64>,
    gateway_index: u32,
    group_size: u32,
    /// When this process first got a list.
    first_list_at: Option<Nanos>,
}

impl SlowStart {
    /// For a gateway with these settings.
    #[must_use]
    pub fn new(settings: &Settings) -> SlowStart {
        let (safety, group_size) = (&settings.safety, settings.group_size.max(1));
        SlowStart {
            initial_capacity: safety.initial_capacity,
            window: safety.slow_start_window,
            overload_factor: safety.overload_factor,
            overload_window_s: safety.overload_window as f64 / SECOND as f64,
            quota_per_s: settings.quota_per_s(),
            gateway_index: settings.gateway_index % group_size,
            group_size,
            first_list_at: None,
        }
    }

    /// Takes over another group size. Where the quotas tell how many turns there are, this gateway's come more or less
    /// often from now on; `budgets` are those of all replicas, each with its replica's hash.
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

    /// This gateway's offset, in 0..1, among those that take turns at a replica.
    fn turn_offset(&self, hash: u64) -> f64 {
        let group = u64::from(self.group_size);
        ((u64::from(self.gateway_index) + hash % group) % group) as f64 / f64::from(self.group_size)
    }

    /// A list has come.
    pub fn observe_list(&mut self, now: Nanos) {
        self.first_list_at.get_or_insert(now);
    }

    /// The fraction of its capacity that a replica surely has, 1 once it is warm: the same figure at all gateways.
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

    /// Whether this gateway has a turn at a warming replica; `work` is what it has had of late, in requests of mean work
    /// a second.
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
        // So many turns of all gateways may be open, and may all be taken at once on top of those that come: some of what
        // is left of the budget, and what it may be exceeded by. The gateways of a small group see enough to take each
        // turn as it comes.
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
        // Turns of this gateway up to then: all gateways' in turn, so a part of them each.
        let turns = |at: Nanos| {
            let age = at.saturating_sub(replica.started) as f64 / SECOND as f64;
            let window = self.window.max(1) as f64 / SECOND as f64;
            let initial = self.initial_capacity;
            let warmed = initial * age + (1.0 - initial) * age * age / (2.0 * window);
            SAFE_RATE_FRACTION * self.overload_factor * full_rate * warmed / group
        };
        let first = self.first_list_at.map_or(now, |at| at.saturating_add(RESTART_OVERLAP));
        // The turns of its first moment come at once, for what may lapse.
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

    /// A request of this cost, in requests of mean work, goes to a warming replica: the turn is taken.
    pub fn take_turn(&self, budget: &mut SlowStartBudget, cost: f64) {
        budget.next_turn = budget.next_turn.saturating_add(1);
        budget.debt = (budget.debt + cost - 1.0).clamp(-1.0, MAX_DEBT_REQUESTS);
    }
}
