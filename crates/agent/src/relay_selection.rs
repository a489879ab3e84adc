//! Selects the agent's relay, the control-plane member whose feed the agent subscribes to. No I/O and no clock.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use tulipridge_protocol::feed::ControlNode;
use xxhash_rust::xxh3::xxh3_64;

/// Penalty after a first failure: the time for which the member ranks after members without a penalty.
const INITIAL_PENALTY: Duration = Duration::from_secs(5);
/// Maximum penalty. The penalty doubles with each consecutive failure.
const MAX_PENALTY: Duration = Duration::from_secs(20);
/// Minimum time after the selection of a relay before the agent switches to a better one.
const MIN_RELAY_TIME: Duration = Duration::from_secs(3);

/// Maximum number of doublings, so that the factor can't overflow. The penalty reaches its maximum well before.
const MAX_DOUBLINGS: u32 = 8;

/// The failure history of a member.
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

/// A member that may become the agent's relay.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    member: Ipv4Addr,
    /// Whether the member is known to be in the agent's zone.
    is_local: bool,
}

/// Selects relays: members of the agent's zone first, then others, each group in the order of a rendezvous hash
/// (highest random weight, Thaler and Ravishankar 1998) of the agent's machine and the member. This spreads agents over
/// the nearest members, and the departure of a member moves only its own agents. A member that has failed ranks last
/// during its penalty.
#[derive(Clone, Debug)]
pub struct RelaySelector {
    machine: String,
    zone: String,
    seeds: Vec<Ipv4Addr>,
    failures: BTreeMap<Ipv4Addr, Failures>,
    selected_at: Option<Duration>,
}

impl RelaySelector {
    /// Creates the selector for the agent on `machine` in `zone`. The zones of `seeds` are unknown.
    #[must_use]
    pub fn new(machine: String, zone: String, seeds: Vec<Ipv4Addr>) -> Self {
        RelaySelector { machine, zone, seeds, failures: BTreeMap::new(), selected_at: None }
    }

    /// Replaces the seeds from which relays are selected.
    pub fn set_seeds(&mut self, seeds: Vec<Ipv4Addr>) {
        self.seeds = seeds;
    }

    /// Selects the relay to connect to among the seeds and the `known` members; `None` if there are neither.
    pub fn select(&mut self, known: &[ControlNode], now: Duration) -> Option<Ipv4Addr> {
        self.selected_at = Some(now);
        self.best(known, now)
    }

    /// Records that connecting to a member failed, or that the connection was lost. If the member had sent fresh state
    /// on this connection (`was_fresh`), its earlier failures don't count.
    pub fn record_failure(&mut self, member: Ipv4Addr, was_fresh: bool, now: Duration) {
        let earlier = self.failures.get(&member).map_or(0, |failures| failures.consecutive);
        let consecutive = if was_fresh { 1 } else { earlier.saturating_add(1) };
        self.failures.insert(member, Failures { last: now, consecutive });
    }

    /// Whether to switch from `current`, a working relay, to a better one.
    #[must_use]
    pub fn prefers_another(&self, current: Ipv4Addr, known: &[ControlNode], now: Duration) -> bool {
        let may_switch = self.selected_at.is_none_or(|since| now.saturating_sub(since) >= MIN_RELAY_TIME);
        let Some(best) = self.best(known, now) else { return false };
        may_switch && best != current && !self.is_penalised(best, now)
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

    /// Each candidate once, sorted by address.
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

    /// The rendezvous hash of the agent's machine and `member`.
    fn weight(&self, member: Ipv4Addr) -> u64 {
        let mut key = self.machine.as_bytes().to_vec();
        key.extend_from_slice(&member.octets());
        xxh3_64(&key)
    }
}
