//! The order in which replicas load.

use std::collections::BTreeMap;

use tulipridge_protocol::feed::Replica;

use super::fleet_view::FleetView;

/// Sorts replicas of a model: older weights first; neighbours in the order are of different zones; and of each zone the
/// replicas with the fewest queued requests first, which lose the least and are the soonest drained.
pub(super) fn sort<'a>(fleet: &FleetView, model: &str, replicas: Vec<&'a Replica>) -> Vec<&'a Replica> {
    let mut by_revision: BTreeMap<Option<u64>, Vec<&'a Replica>> = BTreeMap::new();
    for replica in replicas {
        by_revision.entry(fleet.revision(&replica.id, model)).or_default().push(replica);
    }
    by_revision.into_values().flat_map(|replicas| spread_over_zones(fleet, replicas)).collect()
}

/// A replica and its rank among those of its zone.
struct Ranked<'a> {
    rank_in_zone: usize,
    replica: &'a Replica,
}

/// Takes from each zone in turn its replica with the fewest queued requests.
fn spread_over_zones<'a>(fleet: &FleetView, mut replicas: Vec<&'a Replica>) -> Vec<&'a Replica> {
    replicas.sort_by_key(|replica| (fleet.queued_requests(&replica.id), &replica.id));
    let mut zone_counts: BTreeMap<&str, usize> = BTreeMap::new();
    let mut ranked: Vec<Ranked<'a>> = Vec::new();
    for replica in replicas {
        let count = zone_counts.entry(replica.zone.as_str()).or_default();
        ranked.push(Ranked { rank_in_zone: *count, replica });
        *count += 1;
    }
    ranked.sort_by_key(|ranked| (ranked.rank_in_zone, &ranked.replica.zone, &ranked.replica.id));
    ranked.into_iter().map(|ranked| ranked.replica).collect()
}
