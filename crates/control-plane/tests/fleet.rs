//! The table of replicas: lists of one tenure, and corrections of them.

use std::collections::{BTreeMap, BTreeSet};

use tulipridge_configuration::number::WeightsRevision;
use tulipridge_control_plane::fleet::{Corrections, FleetTable};
use tulipridge_control_plane::tenure::Tenure;
use tulipridge_protocol::feed::{ModelRevision, Replica, ReplicaPhase};
use tulipridge_protocol::number::Epoch;

const TENURE: Tenure = Tenure(Epoch(7));
const NEXT_TENURE: Tenure = Tenure(Epoch(8));

fn replica(id: &str, phase: ReplicaPhase) -> Replica {
    Replica {
        id: id.to_owned(),
        service: "chat".to_owned(),
        address: "10.0.0.1:8080".to_owned(),
        zone: "a".to_owned(),
        capacity: 8,
        phase,
        warm_left_ms: 0,
        models: vec![ModelRevision { model: "m".to_owned(), revision: WeightsRevision(1) }],
    }
}

fn ready(id: &str) -> Replica {
    replica(id, ReplicaPhase::Ready)
}

fn ids(table: &FleetTable) -> Vec<String> {
    table.replicas(TENURE).unwrap_or_default().into_iter().map(|replica| replica.id).collect()
}

#[test]
fn a_complete_list_replaces_the_previous_one() {
    let mut table = FleetTable::default();
    assert!(table.replace(TENURE, vec![ready("i-2"), ready("i-1")]));
    assert_eq!(ids(&table), ["i-1", "i-2"]);
    assert!(table.replace(TENURE, vec![ready("i-2"), ready("i-3")]));
    assert_eq!(ids(&table), ["i-2", "i-3"]);
}

#[test]
fn an_equal_list_is_not_a_change() {
    let mut table = FleetTable::default();
    table.replace(TENURE, vec![ready("i-1")]);
    assert!(!table.replace(TENURE, vec![ready("i-1")]));
}

#[test]
fn a_shorter_remaining_warm_up_is_not_a_change() {
    let mut table = FleetTable::default();
    table.replace(TENURE, vec![Replica { warm_left_ms: 900, ..ready("i-1") }]);
    assert!(!table.replace(TENURE, vec![Replica { warm_left_ms: 200, ..ready("i-1") }]));
}

#[test]
fn a_list_of_another_tenure_is_not_delivered() {
    let mut table = FleetTable::default();
    assert!(table.replicas(TENURE).is_none());
    table.replace(TENURE, vec![ready("i-1")]);
    assert!(table.replicas(NEXT_TENURE).is_none());
    assert!(
        table.replace(NEXT_TENURE, vec![ready("i-1")]),
        "the first list of a tenure is always a change"
    );
}

#[test]
fn a_table_inherits_what_was_delivered_beyond_the_list() {
    let mut table = FleetTable::default();
    table.replace(TENURE, vec![ready("i-1"), ready("i-2"), ready("i-3")]);
    let newer = vec![ModelRevision { model: "m".to_owned(), revision: WeightsRevision(2) }];
    let loaded = Replica { models: newer.clone(), ..ready("i-2") };
    table.inherit(&[
        replica("i-1", ReplicaPhase::Loading),
        loaded,
        ready("i-3"),
        replica("i-4", ReplicaPhase::Loading),
    ]);
    let inherited = Corrections {
        loading: BTreeSet::from(["i-1".to_owned()]),
        revisions: BTreeMap::from([("i-2".to_owned(), newer)]),
    };
    assert_eq!(*table.corrections(), inherited);
    let phases: Vec<ReplicaPhase> =
        table.replicas(TENURE).unwrap_or_default().iter().map(|replica| replica.phase).collect();
    assert_eq!(phases, [ReplicaPhase::Loading, ReplicaPhase::Ready, ReplicaPhase::Ready]);
}

#[test]
fn a_loading_correction_hides_readiness_but_not_draining() {
    let mut table = FleetTable::default();
    table.replace(TENURE, vec![ready("i-1"), replica("i-2", ReplicaPhase::Draining)]);
    let loading = BTreeSet::from(["i-1".to_owned(), "i-2".to_owned()]);
    assert!(table.set_corrections(Corrections { loading: loading.clone(), ..Corrections::default() }));
    assert!(!table.set_corrections(Corrections { loading, ..Corrections::default() }));
    let phases: Vec<ReplicaPhase> =
        table.replicas(TENURE).unwrap_or_default().iter().map(|replica| replica.phase).collect();
    assert_eq!(phases, [ReplicaPhase::Loading, ReplicaPhase::Draining]);
}

#[test]
fn a_reported_revision_only_raises_the_listed_one() {
    let mut table = FleetTable::default();
    table.replace(TENURE, vec![ready("i-1")]);
    let reported = |revision| {
        let models = vec![ModelRevision { model: "m".to_owned(), revision }];
        Corrections { revisions: BTreeMap::from([("i-1".to_owned(), models)]), ..Corrections::default() }
    };
    let revision = |table: &FleetTable| table.replicas(TENURE).unwrap_or_default()[0].models[0].revision;
    table.set_corrections(reported(WeightsRevision(3)));
    assert_eq!(revision(&table), WeightsRevision(3));
    table.set_corrections(reported(WeightsRevision(0)));
    assert_eq!(revision(&table), WeightsRevision(1));
}
