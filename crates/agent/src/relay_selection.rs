//! Selection of the agent's relay: the member of the control plane whose feed it follows. No I/O and no clock.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use tulipridge_protocol::feed::ControlNode;
use xxhash_rust::xxh3::xxh3_64;

/// Time for which a member that has failed once ranks after those that have not.
const INITIAL_PENALTY: Duration = Duration::from_secs(5);
/// Longest penalty; it doubles with each failure in a row.
const MAX_PENALTY: Duration = Duration::from_secs(20);
/// Least time with a relay before a better one is preferred to it.
const MIN_RELAY_TIME: Duration = Duration::from_secs(3);

/// Doublings after which the penalty is far above its maximum, so that the factor can't overflow.
const MAX_DOUBLINGS: u32 = 8;

/// The failures of a member.
#[derive(Clone, Copy, Debug)]
struct Failures {
    last: Duration,
    consecutive: u32,
}

impl Failures {
    fn penalty_ends_at(&self) -> Duration {
        let doublings = self.consecutive.saturating_sub(1).min(MAX_DOUBLINGS);
        self.last + (INITIAL_PENALTY * (1 << doublings)).min(MAX_PENALTY)
    }
}

/// A candidate for the agent's relay.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    member: Ipv4Addr,
    /// Whether it is known to be in the agent's zone.
    is_local: bool,
}

/// Selects relays: members of the agent's zone first, then others, each in the order of a rendezvous hash (highest
/// random weight, Thaler and Ravishankar 1998) of the agent's machine. So agents spread over the members near them,
/// and a member that goes moves only its own agents. A member that has failed ranks last during its penalty.
#[derive(Clone, Debug)]
pub struct RelaySelector {
    machine: String,
    zone: String,
    seeds: Vec<Ipv4Addr>,
    failures: BTreeMap<Ipv4Addr, Failures>,
    selected_at: Option<Duration>,
}

impl RelaySelector {
    /// The selector of the agent on `machine` in `zone`, with `seeds` whose zones are unknown.
    #[must_use]
    pub fn new(machine: String, zone: String, seeds: Vec<Ipv4Addr>) -> Self {
        RelaySelector { machine, zone, seeds, failures: BTreeMap::new(), selected_at: None }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<Ipv4Addr>) {
        self.seeds = seeds;
    }

    /// The relay to connect to among the seeds and the `known` members; none if there are neither.
    pub fn select(&mut self, known: &[ControlNode], now: Duration) -> Option<Ipv4Addr> {
        self.selected_at = Some(now);
        self.best(known, now)
    }

    /// Records that the connection to a member could not be made, or has failed. `was_fresh` says that the member had
    /// replied with fresh state on it; its earlier failures don't count then.
    pub fn record_failure(&mut self, member: Ipv4Addr, was_fresh: bool, now: Duration) {
        let earlier = self.failures.get(&member).map_or(0, |failures| failures.consecutive);
        let consecutive = if was_fresh { 1 } else { earlier.saturating_add(1) };
        self.failures.insert(member, Failures { last: now, consecutive });
    }

    /// Whether to leave `current`, which works, for a better relay.
    #[must_use]
    pub fn prefers_another(&self, current: Ipv4Addr, known: &[ControlNode], now: Duration) -> bool {
        let may_change = self.selected_at.is_none_or(|since| now.saturating_sub(since) >= MIN_RELAY_TIME);
        let Some(best) = self.best(known, now) else { return false };
        may_change && best != current && !self.is_penalised(best, now)
    }

    fn best(&self, known: &[ControlNode], now: Duration) -> Option<Ipv4Addr> {
        let rank = |candidate: &Candidate| {
            let penalty =
                self.failures.get(&candidate.member).filter(|failures| failures.penalty_ends_at() > now);
            let failed_at = penalty.map(|failures| failures.last);
            (failed_at, !candidate.is_local, Reverse(self.weight(candidate.member)))
        };
        self.candidates(known).min_by_key(rank).map(|candidate| candidate.member)
    }

    /// Each candidate once, in the order of addresses.
    fn candidates(&self, known: &[ControlNode]) -> impl Iterator<Item = Candidate> {
        let mut is_local: BTreeMap<_, _> = self.seeds.iter().map(|seed| (*seed, false)).collect();
        for node in known {
            is_local.insert(node.id.address(), node.zone == self.zone);
        }
        is_local.into_iter().map(|(member, is_local)| Candidate { member, is_local })
    }

    fn is_penalised(&self, member: Ipv4Addr, now: Duration) -> bool {
        self.failures.get(&member).is_some_and(|failures| failures.penalty_ends_at() > now)
    }

    /// The rendezvous hash of the agent's machine and a member.
    fn weight(&self, member: Ipv4Addr) -> u64 {
        let mut key = self.machine.as_bytes().to_vec();
        key.extend_from_slice(&member.octets());
        xxh3_64(&key)
    }
}
