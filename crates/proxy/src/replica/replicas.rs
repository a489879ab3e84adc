//! The replicas of the control plane's replica list, and which of them may receive requests.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use tulipridge_configuration::number::WeightsRevision;
use tulipridge_load_balancer::types::{Member, Phase, ReplicaId};
use tulipridge_protocol::feed::{ModelRevision, Replica, ReplicaPhase, WeightsTable};

/// Maps zone names to the zone numbers that the load balancer uses.
#[derive(Clone, Debug, Default)]
pub struct ZoneIndex(Vec<String>);

impl ZoneIndex {
    /// Numbers these zones in the given order.
    pub fn new(zones: impl IntoIterator<Item = String>) -> Self {
        ZoneIndex(zones.into_iter().collect())
    }

    /// The number of a zone. An unknown zone is added with the next number.
    pub fn number(&mut self, zone: &str) -> u16 {
        let known = self.0.iter().position(|known| known == zone);
        let number = known.unwrap_or_else(|| {
            self.0.push(zone.to_owned());
            self.0.len() - 1
        });
        number as u16
    }
}

/// An entry of the replica list: an incarnation of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaEntry {
    /// The id, which is unique to this incarnation.
    pub id: ReplicaId,
    /// The service that the replica belongs to.
    pub service: String,
    /// The address on which the replica listens.
    pub address: SocketAddr,
    /// The number of the replica's zone in the [`ZoneIndex`].
    pub zone: u16,
    /// `Ready` if the replica may receive requests, otherwise `Draining`.
    pub phase: Phase,
    /// The models that the replica serves, with the revisions of their weights.
    pub models: Vec<ModelRevision>,
}

impl ReplicaEntry {
    /// The revision of the weights that the replica has loaded for a model.
    #[must_use]
    pub fn revision(&self, model: &str) -> Option<WeightsRevision> {
        self.weights(model).map(|weights| weights.revision)
    }

    /// The weights that the replica has loaded for a model.
    #[must_use]
    pub fn weights(&self, model: &str) -> Option<&ModelRevision> {
        self.models.iter().find(|weights| weights.model == model)
    }

    fn member(&self) -> Member {
        Member {
            id: self.id.clone(),
            units: 1.0,
            zone: self.zone,
            kind: 0,
            cell: 0,
            phase: self.phase,
            started: None,
        }
    }
}

/// All listed replicas, by id and by address.
#[derive(Debug, Default)]
pub struct ReplicaTable {
    entries: BTreeMap<ReplicaId, Rc<ReplicaEntry>>,
    /// The ids of listed incarnations that are not displaced, by address.
    ids_by_address: BTreeMap<SocketAddr, ReplicaId>,
    /// Listed incarnations whose address another incarnation has taken over.
    displaced: BTreeSet<ReplicaId>,
    ready_count: usize,
}

impl ReplicaTable {
    /// The replica with this id, if it may receive requests.
    #[must_use]
    pub fn ready(&self, id: &ReplicaId) -> Option<&Rc<ReplicaEntry>> {
        self.entries.get(id).filter(|entry| entry.phase == Phase::Ready)
    }

    /// The replica that is listed at an address, whether or not it may receive requests.
    #[must_use]
    pub fn at(&self, address: SocketAddr) -> Option<&Rc<ReplicaEntry>> {
        self.entries.get(self.ids_by_address.get(&address)?)
    }

    /// The number of replicas that may receive requests.
    #[must_use]
    pub fn ready_count(&self) -> usize {
        self.ready_count
    }

    /// Applies the newest replica list. A replica is ready if it is listed as ready, is not displaced, and has no
    /// outdated weights. Returns the services whose replicas changed in service, zone or phase.
    pub fn update<'a>(
        &mut self,
        rows: impl IntoIterator<Item = &'a Replica>,
        weights: &WeightsTable,
        zones: &mut ZoneIndex,
    ) -> BTreeSet<String> {
        let mut entries = BTreeMap::new();
        for row in rows {
            let Ok(address) = row.address.parse() else {
                log::warn!(replica = &*row.id, address = &*row.address; "a replica's address can't be read");
                continue;
            };
            let id = ReplicaId::from(row.id.as_str());
            let entry = ReplicaEntry {
                phase: self.phase(&id, row, weights),
                id: id.clone(),
                service: row.service.clone(),
                address,
                zone: zones.number(&row.zone),
                models: row.models.clone(),
            };
            let known = self.entries.get(&id).filter(|known| ***known == entry).cloned();
            entries.insert(id, known.unwrap_or_else(|| Rc::new(entry)));
        }
        self.replace(entries)
    }

    fn phase(&self, id: &ReplicaId, row: &Replica, weights: &WeightsTable) -> Phase {
        let outdated = |loaded: &ModelRevision| {
            weights.models.iter().any(|row| row.model == loaded.model && loaded.revision < row.minimum)
        };
        let is_ready = row.phase == ReplicaPhase::Ready
            && !self.displaced.contains(id)
            && !row.models.iter().any(outdated);
        if is_ready { Phase::Ready } else { Phase::Draining }
    }

    /// Marks an incarnation as displaced, since another one has taken over its address. Returns its service if it was
    /// ready.
    pub fn displace(&mut self, id: &ReplicaId) -> Option<String> {
        let entry = self.entries.get_mut(id).filter(|entry| entry.phase == Phase::Ready)?;
        Rc::make_mut(entry).phase = Phase::Draining;
        let service = entry.service.clone();
        self.ids_by_address.remove(&entry.address);
        self.displaced.insert(id.clone());
        self.ready_count -= 1;
        Some(service)
    }

    fn replace(&mut self, entries: BTreeMap<ReplicaId, Rc<ReplicaEntry>>) -> BTreeSet<String> {
        let is_equivalent = |entry: &Rc<ReplicaEntry>, other: Option<&Rc<ReplicaEntry>>| {
            other.is_some_and(|other| {
                (entry.phase, entry.zone, &entry.service) == (other.phase, other.zone, &other.service)
            })
        };
        let added = entries.values().filter(|entry| !is_equivalent(entry, self.entries.get(&entry.id)));
        let removed = self.entries.values().filter(|entry| !is_equivalent(entry, entries.get(&entry.id)));
        let changed = added.chain(removed).map(|entry| entry.service.clone()).collect();
        self.displaced.retain(|id| entries.contains_key(id));
        self.ready_count = entries.values().filter(|entry| entry.phase == Phase::Ready).count();
        self.ids_by_address = self.index_by_address(&entries);
        self.entries = entries;
        changed
    }

    /// Indexes replicas that are not displaced by address. Of two at the same address, a ready one takes precedence.
    fn index_by_address(
        &self,
        entries: &BTreeMap<ReplicaId, Rc<ReplicaEntry>>,
    ) -> BTreeMap<SocketAddr, ReplicaId> {
        let current = entries.values().filter(|entry| !self.displaced.contains(&entry.id));
        let (ready, other): (Vec<_>, Vec<_>) = current.partition(|entry| entry.phase == Phase::Ready);
        other.into_iter().chain(ready).map(|entry| (entry.address, entry.id.clone())).collect()
    }

    /// A service's replicas in the form that the load balancer uses.
    #[must_use]
    pub fn members(&self, service: &str) -> Arc<[Member]> {
        self.entries.values().filter(|entry| entry.service == service).map(|entry| entry.member()).collect()
    }
}
