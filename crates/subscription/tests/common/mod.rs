//! State for the tests.
#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod network;

use std::net::Ipv4Addr;
use std::sync::Arc;

use tulipridge_configuration::number::{Revision, WeightsRevision};
use tulipridge_configuration::{Configuration, Service, Tenant};
use tulipridge_protocol::feed::{
    ClusterMembership, ControlNode, ModelRevision, ModelWeights, Replica, ReplicaPhase,
};
use tulipridge_protocol::node::{Generation, NodeId};

/// A configuration whose content follows from `content`.
pub(crate) fn configuration(revision: u64, content: u64) -> Arc<Configuration> {
    let tenants = (0..6).filter(|bit| content >> bit & 1 == 1).map(|bit| tenant(bit, content >> 8));
    let service =
        Service { label: "chat".to_owned(), connection_limit: content as u32 % 4, ..Service::default() };
    Arc::new(Configuration {
        revision: Revision(revision),
        services: vec![service],
        requires_key: content >> 6 & 1 == 1,
        tenants: tenants.collect(),
        ..Configuration::default()
    })
}

fn tenant(number: u64, content: u64) -> Tenant {
    Tenant {
        label: format!("tenant-{number}"),
        api_keys: vec![format!("key-{number}-{}", content % 3)],
        rank: None,
        isolated: false,
    }
}

/// A warm replica.
pub(crate) fn replica(id: &str, capacity: u32) -> Replica {
    Replica {
        id: id.to_owned(),
        service: "chat".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: "east".to_owned(),
        capacity,
        phase: ReplicaPhase::Ready,
        warm_left_ms: 0,
        models: vec![ModelRevision { model: "large".to_owned(), revision: WeightsRevision(1) }],
    }
}

/// A replica that is still slow.
pub(crate) fn replica_warming(id: &str, warm_left_ms: u32) -> Replica {
    Replica { warm_left_ms, ..replica(id, 1) }
}

/// A table of weights.
pub(crate) fn weights(named: u64) -> Vec<ModelWeights> {
    vec![ModelWeights {
        model: "large".to_owned(),
        target: WeightsRevision(named),
        minimum: WeightsRevision(named / 2),
        expired_below: WeightsRevision(named / 2),
    }]
}

/// A cluster of `gateways` gateways and one member of the control plane.
pub(crate) fn cluster_membership(gateways: u32) -> ClusterMembership {
    let member =
        ControlNode { id: NodeId::new(Ipv4Addr::new(10, 0, 0, 9), Generation(0)), zone: "east".to_owned() };
    ClusterMembership { gateways, control: vec![member] }
}
