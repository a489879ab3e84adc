//! Tables for the tests.
#![allow(dead_code, reason = "no test file uses all of the helpers")]

pub(crate) mod network;

use std::net::Ipv4Addr;
use std::sync::Arc;

use tulipridge_configuration::number::{Revision, WeightsRevision};
use tulipridge_configuration::{Configuration, Service, Tenant};
use tulipridge_protocol::feed::{
    ClusterMembership, ControlNode, ModelRevision, ModelWeights, Replica, ReplicaPhase,
};
use tulipridge_protocol::node::{Generation, NodeId};

/// Builds a configuration whose items are derived from the bits of `content`.
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

/// Builds a ready replica that has warmed up.
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

/// Builds a replica that is still warming up.
pub(crate) fn replica_warming(id: &str, warm_left_ms: u32) -> Replica {
    Replica { warm_left_ms, ..replica(id, 1) }
}

/// Builds a table of weights with the target revision `target`.
pub(crate) fn weights(target: u64) -> Vec<ModelWeights> {
    vec![ModelWeights {
        model: "large".to_owned(),
        target: WeightsRevision(target),
        minimum: WeightsRevision(target / 2),
        expired_below: WeightsRevision(target / 2),
    }]
}

/// Builds a cluster membership with `gateways` gateways and one member.
pub(crate) fn membership(gateways: u32) -> ClusterMembership {
    let member =
        ControlNode { id: NodeId::new(Ipv4Addr::new(10, 0, 0, 9), Generation(0)), zone: "east".to_owned() };
    ClusterMembership { gateways, control: vec![member] }
}
