//! How much work this gateway may send to a cold server now: a module without clock or I/O. Whom a request goes to is
//! decided elsewhere, which asks here whether a cold server may be one of them, as it asks `pace` when to call.
//!
//! Guards against many gateways pushing a cold server over, each with little. What all may send it together is given
//! out as turns, a request each, as its warmth comes: the next turn is the next gateway's by number, from a place that
//! the server's id decides. All reckon the turns from its start and the quotas, on the clock that they share, so they
//! agree without a word; a turn that is not taken lapses after some others, so that those who learn of a start late,
//! or come at once after a rest, don't add theirs up. Where no quotas are told a gateway counts turns by its own work.

use crate::types::{Nanos, Settings};

const SECOND: Nanos = 1_000_000_000;
/// Turns come at this part of the pace that makes a server fall: the rest is for gateways that see the fleet's size
/// differently, and for requests that cost more than most.
const PART: f64 = 0.8;
/// So much of the budget may be turns that stand open, beside what it may be passed by.
const OPEN: f64 = 0.1;
/// A process takes no turn that came before it, or so soon after its start: its gateway's last process may have.
const OVERLAP: Nanos = SECOND;
/// Requests beyond the mean in work that a gateway pays back with later turns, at most.
const DEBT: f64 = 3.0;

/// The turns of one cold server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    /// Turns of this gateway so far, where its own work tells them, and when that was reckoned.
    own: f64,
    at: Nanos,
    /// Its next turn that may be taken; all before it have been taken or have lapsed.
    next: i64,
    /// Work sent beyond a mean request for each turn, in such requests.
    debt: f64,
}

impl Budget {
    /// Of a server that has just been learnt of.
    #[must_use]
    pub fn new(now: Nanos) -> Budget {
        Budget { own: 0.0, at: now, next: i64::MIN, debt: 0.0 }
    }
}

/// A cold server.
#[derive(Clone, Copy, Debug)]
pub struct Server {
    /// From its id: the same at all gateways.
    pub hash: u64,
    /// When its process started.
    pub started: Nanos,
    /// Its part of the size that the quotas were made for.
    pub part: f64,
}

/// What one gateway may send to cold servers.
#[derive(Clone, Debug, Default)]
pub struct Cold {
    from: f64,
    ramp: Nanos,
    /// Work beyond this multiple of what it can do makes a server fall, over this time in seconds.
    factor: f64,
    fall: f64,
    /// Requests a second that the tenants' quotas grant at all gateways together, if all have one.
    quota: Option<f64>,
    me: u32,
    group: u32,
    /// When this process first heard of servers.
    began: Option<Nanos>,
}

impl Cold {
    /// For a gateway with these settings.
    #[must_use]
    pub fn new(settings: &Settings) -> Cold {
        let (safety, group) = (&settings.safety, settings.group_size.max(1));
        Cold {
            from: safety.cold_from,
            ramp: safety.ramp,
            factor: safety.overload_factor,
            fall: safety.fall as f64 / SECOND as f64,
            quota: settings.quota_per_s(),
            me: settings.me % group,
            group,
            began: None,
        }
    }

    /// Another number of gateways shares the fleet. Where the quotas tell how many turns there are, this gateway's
    /// come more or less often from now on; `budgets` are those of all servers, each with its server's hash.
    pub fn set_group<'a>(
        &mut self,
        settings: &Settings,
        budgets: impl Iterator<Item = (u64, &'a mut Budget)>,
    ) {
        let former = self.clone();
        self.group = settings.group_size.max(1);
        self.me = settings.me % self.group;
        if self.quota.is_none() {
            return;
        }
        let part = f64::from(former.group) / f64::from(self.group);
        for (hash, budget) in budgets {
            let turns = budget.next as f64 - former.place(hash);
            budget.next = (turns * part + self.place(hash)).ceil() as i64;
        }
    }

    /// This gateway's place, in 0..1, among those who take turns at a server.
    fn place(&self, hash: u64) -> f64 {
        let group = u64::from(self.group);
        ((u64::from(self.me) + hash % group) % group) as f64 / f64::from(self.group)
    }

    /// A list has come.
    pub fn heard(&mut self, now: Nanos) {
        self.began.get_or_insert(now);
    }

    /// The share of its capacity that a server surely has: the same figure at all gateways.
    #[must_use]
    pub fn warmth(&self, now: Nanos, started: Option<Nanos>) -> f64 {
        match started {
            Some(started) if now < started.saturating_add(self.ramp) => {
                let age = now.saturating_sub(started) as f64 / self.ramp.max(1) as f64;
                self.from + (1.0 - self.from) * age
            }
            _ => 1.0,
        }
    }

    /// Whether it is this gateway's turn to send a cold server a request; `work` is what it has had of late, in requests
    /// of mean work a second.
    pub fn affords(&self, now: Nanos, budget: &mut Budget, server: Server, work: f64) -> bool {
        let group = f64::from(self.group);
        let warmth = self.warmth(now, Some(server.started));
        let place = self.place(server.hash);
        let able = server.part * self.quota.unwrap_or(work * group);
        // Turns of this gateway up to then: all gateways' in turn, so a part of them each.
        let turns = |at: Nanos| {
            let age = at.saturating_sub(server.started) as f64 / SECOND as f64;
            let ramp = self.ramp.max(1) as f64 / SECOND as f64;
            let warmed = self.from * age + (1.0 - self.from) * age * age / (2.0 * ramp);
            PART * self.factor * able * warmed / group
        };
        let first = self.began.map_or(now, |began| began.saturating_add(OVERLAP));
        let (count, least) = if self.quota.is_some() {
            // Those of its first moment come at once, for what may lapse: see below.
            let missed =
                if first > server.started { (turns(first) + place).floor() as i64 } else { i64::MIN };
            (turns(now) + place, missed.saturating_add(1))
        } else {
            let gone = now.saturating_sub(budget.at) as f64 / SECOND as f64;
            budget.own += PART * self.factor * able * warmth * gone / group;
            budget.at = now;
            (budget.own + place, 1)
        };
        // So many turns of all gateways may stand open, and may all be taken at once on top of those that come: some of
        // what is left of the budget, and what it may be passed by. The gateways of a small group see enough to take
        // each turn as it comes.
        let allowed = self.factor * able * warmth * self.fall;
        let open = (OPEN * allowed + 2.0 * allowed.sqrt()).min(group / 2.0) / group;
        let lapsed = (count - open).floor() as i64;
        let latest = count.floor() as i64;
        budget.next = budget.next.max(lapsed.saturating_add(1)).max(least);
        while budget.debt >= 1.0 && budget.next <= latest {
            budget.next += 1;
            budget.debt -= 1.0;
        }
        budget.next <= latest
    }

    /// A request of this cost, in requests of mean work, goes to a cold server: the turn is taken.
    pub fn spend(&self, budget: &mut Budget, cost: f64) {
        budget.next = budget.next.saturating_add(1);
        budget.debt = (budget.debt + cost - 1.0).clamp(-1.0, DEBT);
    }
}
