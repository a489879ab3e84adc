//! Selection of a replica by each baseline.

use rand_pcg::Pcg64Mcg;
use tulipridge::types::{Nanos, ReplicaId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::fleet_load::SharedFleetLoad;
use crate::random::weighted_index;

/// Number of virtual nodes of the largest replica on the hash ring; smaller ones have proportionally fewer.
const MAX_VIRTUAL_NODES: f64 = 100.0;
/// Bound of a replica's load on the hash ring, as a multiple of the mean load.
const LOAD_BOUND: f64 = 1.25;

/// State of a replica in a baseline policy.
pub(super) struct KnownReplica {
    /// Size: units times speed.
    pub(super) size: f64,
    pub(super) is_ready: bool,
    /// Attempts in flight from this gateway.
    pub(super) in_flight: u32,
    /// Time until which the replica is not selected after a failure; 0 if it has not failed.
    pub(super) ejected_until: Nanos,
}

impl KnownReplica {
    pub(super) fn new() -> KnownReplica {
        KnownReplica { size: 0.0, is_ready: false, in_flight: 0, ejected_until: 0 }
    }

    /// Whether the replica is listed as ready and not ejected.
    pub(super) fn is_available(&self, now: Nanos) -> bool {
        self.is_ready && self.ejected_until <= now
    }

    /// Attempts in flight from this gateway, relative to the replica's size.
    fn load(&self) -> f64 {
        f64::from(self.in_flight) / self.size
    }
}

/// A replica that may be selected, with its id.
pub(super) type Candidate<'a> = (&'a ReplicaId, &'a KnownReplica);

/// Draws a candidate with a probability proportional to its size.
pub(super) fn random<'a>(candidates: &[Candidate<'a>], stream: &mut Pcg64Mcg) -> &'a ReplicaId {
    draw(candidates, stream).0
}

fn draw<'a>(candidates: &[Candidate<'a>], stream: &mut Pcg64Mcg) -> Candidate<'a> {
    candidates[weighted_index(stream, candidates.iter().map(|(_, replica)| replica.size))]
}

/// Draws two candidates and returns the less loaded one (power of two choices).
pub(super) fn two_choices<'a>(candidates: &[Candidate<'a>], stream: &mut Pcg64Mcg) -> &'a ReplicaId {
    let (first, second) = (draw(candidates, stream), draw(candidates, stream));
    if second.1.load() < first.1.load() { second.0 } else { first.0 }
}

/// Returns the least loaded candidate; among equally loaded ones draws by size.
pub(super) fn least_in_flight<'a>(candidates: &[Candidate<'a>], stream: &mut Pcg64Mcg) -> &'a ReplicaId {
    let min = candidates.iter().map(|(_, replica)| replica.load()).fold(f64::INFINITY, f64::min);
    // Most candidates have no attempts in flight, so ties are frequent; larger ones are drawn more often.
    let equal: Vec<Candidate<'a>> =
        candidates.iter().filter(|(_, replica)| replica.load() <= min).copied().collect();
    draw(&equal, stream).0
}

/// Returns the candidate with the least true load, after adding this request.
pub(super) fn oracle<'a>(
    candidates: &[Candidate<'a>],
    fleet_load: &SharedFleetLoad,
) -> Option<&'a ReplicaId> {
    let loads = fleet_load.borrow();
    let load =
        |id: &ReplicaId| loads.get(&*id.0).map_or(0.0, |load| (load.in_flight + 1.0) / load.batch_size);
    let least = candidates.iter().min_by(|left, right| load(left.0).total_cmp(&load(right.0)))?;
    Some(least.0)
}

/// A virtual node of a replica on the hash ring.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct VirtualNode {
    hash: u64,
    replica: ReplicaId,
}

/// A consistent-hash ring with bounded loads (Mirrokni, Thorup and Zadimoghaddam).
#[derive(Default)]
pub(super) struct HashRing {
    nodes: Vec<VirtualNode>,
}

impl HashRing {
    /// Builds a ring of replicas with virtual nodes in proportion to their sizes.
    pub(super) fn build<'a>(replicas: impl Iterator<Item = Candidate<'a>> + Clone) -> HashRing {
        let largest = replicas.clone().map(|(_, replica)| replica.size).fold(f64::MIN_POSITIVE, f64::max);
        let mut nodes = Vec::new();
        for (id, replica) in replicas {
            let count = (MAX_VIRTUAL_NODES * replica.size / largest).ceil() as u64;
            let hash = |number| xxh3_64_with_seed(id.0.as_bytes(), number);
            nodes.extend((0..count).map(|number| VirtualNode { hash: hash(number), replica: id.clone() }));
        }
        nodes.sort();
        HashRing { nodes }
    }

    /// Walks from `key` to the first candidate below the bound, or else to the first candidate. `candidates` are sorted
    /// by id; `total_in_flight` is the sum over all replicas.
    pub(super) fn select<'a>(
        &self,
        key: u64,
        candidates: &[Candidate<'a>],
        total_in_flight: u32,
    ) -> Option<&'a ReplicaId> {
        let total_size: f64 = candidates.iter().map(|(_, replica)| replica.size).sum();
        let bound = LOAD_BOUND * f64::from(total_in_flight + 1) / total_size;
        let start = self.nodes.partition_point(|node| node.hash < key);
        let walk = (0..self.nodes.len()).map(|step| &self.nodes[(start + step) % self.nodes.len()]);
        let mut first = None;
        for node in walk {
            // Candidates are sorted by id.
            let found = candidates.binary_search_by(|(id, _)| (*id).cmp(&node.replica));
            let Ok(index) = found else { continue };
            let (id, replica) = candidates[index];
            first = first.or(Some(id));
            // Each replica admits at least one request, even if the bound is below one.
            if f64::from(replica.in_flight + 1) <= (bound * replica.size).max(1.0) {
                return Some(id);
            }
        }
        first
    }
}
