//! Which member of the control plane is the agent's home. No I/O and no clock.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use tulipridge_protocol::feed::ControlNode;
use xxhash_rust::xxh3::xxh3_64;

/// Time for which a member that has failed once comes after those that have not.
const FIRST_PENALTY: Duration = Duration::from_secs(5);
/// Longest such time; it doubles with each failure in a row.
const MAX_PENALTY: Duration = Duration::from_secs(20);
/// Shortest time with a home before a better one is preferred to it.
const MIN_STAY: Duration = Duration::from_secs(3);

/// The failures of a member.
#[derive(Clone, Copy, Debug)]
struct Failures {
    last: Duration,
    in_a_row: u32,
}

impl Failures {
    fn ends(&self) -> Duration {
        let doublings = self.in_a_row.saturating_sub(1).min(8);
        self.last + (FIRST_PENALTY * (1 << doublings)).min(MAX_PENALTY)
    }
}

/// Chooses homes: members of the own zone first, then others, each in the order of a rendezvous hash of the
/// agent's machine, so that agents spread over the members near them, and that a member which goes moves its
/// own agents only. A member that has failed comes last for a while.
#[derive(Clone, Debug)]
pub struct HomeChoice {
    machine: String,
    zone: String,
    seeds: Vec<Ipv4Addr>,
    failures: BTreeMap<Ipv4Addr, Failures>,
    chosen_at: Option<Duration>,
}

impl HomeChoice {
    /// A choice for the agent on `machine` in `zone` that knows of `seeds`.
    #[must_use]
    pub fn new(machine: String, zone: String, seeds: Vec<Ipv4Addr>) -> Self {
        HomeChoice { machine, zone, seeds, failures: BTreeMap::new(), chosen_at: None }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<Ipv4Addr>) {
        self.seeds = seeds;
    }

    /// The home to try next among the seeds and the members that are `known`; none if there is nobody.
    pub fn choose(&mut self, known: &[ControlNode], now: Duration) -> Option<Ipv4Addr> {
        self.chosen_at = Some(now);
        self.best(known, now)
    }

    /// The connection to a member could not be made, or has failed. `was_fresh` says that the member had
    /// answered as a home should until then.
    pub fn failed(&mut self, member: Ipv4Addr, was_fresh: bool, now: Duration) {
        let earlier = self.failures.get(&member).map_or(0, |failures| failures.in_a_row);
        let in_a_row = if was_fresh { 1 } else { earlier.saturating_add(1) };
        self.failures.insert(member, Failures { last: now, in_a_row });
    }

    /// Whether to leave `current`, which works, for a better home.
    #[must_use]
    pub fn prefers_another(&self, current: Ipv4Addr, known: &[ControlNode], now: Duration) -> bool {
        let settled = self.chosen_at.is_none_or(|since| now.saturating_sub(since) >= MIN_STAY);
        let Some(best) = self.best(known, now) else { return false };
        settled && best != current && !self.is_penalised(best, now)
    }

    fn best(&self, known: &[ControlNode], now: Duration) -> Option<Ipv4Addr> {
        self.candidates(known)
            .into_iter()
            .min_by_key(|(member, in_zone)| {
                let failed_at = self.failures.get(member).filter(|failures| failures.ends() > now);
                (failed_at.map(|failures| failures.last), !in_zone, Reverse(self.weight(*member)))
            })
            .map(|(member, _)| member)
    }

    /// Each candidate once, and whether it is known to be in the own zone.
    fn candidates(&self, known: &[ControlNode]) -> BTreeMap<Ipv4Addr, bool> {
        let mut candidates: BTreeMap<_, _> = self.seeds.iter().map(|seed| (*seed, false)).collect();
        for node in known {
            candidates.insert(node.id.address(), node.zone == self.zone);
        }
        candidates
    }

    fn is_penalised(&self, member: Ipv4Addr, now: Duration) -> bool {
        self.failures.get(&member).is_some_and(|failures| failures.ends() > now)
    }

    /// The rendezvous hash of the agent's machine and a member.
    fn weight(&self, member: Ipv4Addr) -> u64 {
        let mut key = self.machine.as_bytes().to_vec();
        key.extend_from_slice(&member.octets());
        xxh3_64(&key)
    }
}
