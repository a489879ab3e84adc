//! The default configuration, settings and replica list of the tests.

use tulipridge_configuration::number::{Priority, Revision, WeightsRevision};
use tulipridge_configuration::{
    ClientLimits, Configuration, Route, RouteKind, Service, ServiceWeight, Tenant,
};
use tulipridge_protocol::feed::{ModelRevision, Replica, ReplicaPhase};
use tulipridge_runtime::settings::Settings;

use super::replica::ScriptedReplica;

pub(crate) const HOST: &str = "shop.example";
pub(crate) const KEY: &str = "k1";
pub(crate) const SEAL: &str = "s.1";

pub(crate) fn settings() -> Settings {
    let text = "nodeName: edge-1\nipAddress: 127.0.0.1\narea: zone-a\nzones: {zone-a: here, zone-b: here}\n\
                sparePorts: [7360, 7375]\n";
    Settings::parse(text).expect("valid settings")
}

pub(crate) fn route(label: &str, path: &str, kind: RouteKind) -> Route {
    Route {
        label: label.to_owned(),
        host: HOST.to_owned(),
        path_prefix: path.to_owned(),
        kind,
        time_limit_ms: 8000,
        target_ms: 2000,
        rank: Priority(1),
        service_weights: vec![ServiceWeight { service: "service".to_owned(), weight: 1.0 }],
        max_attempts: 2,
        public: false,
        pinned: kind == RouteKind::Stream,
        resumable: false,
        gap_target_ms: 0,
    }
}

pub(crate) fn configuration() -> Configuration {
    let resumable = Route { resumable: true, ..route("resumable", "/resumable/", RouteKind::Stream) };
    let open = Route { public: true, ..route("open", "/open/", RouteKind::Idempotent) };
    Configuration {
        revision: Revision(1),
        routes: vec![
            route("harmless", "/harmless/", RouteKind::Idempotent),
            route("risky", "/risky/", RouteKind::NonIdempotent),
            route("stream", "/stream/", RouteKind::Stream),
            resumable,
            open,
        ],
        services: vec![Service { label: "service".to_owned(), ..Service::default() }],
        caps: ClientLimits::default(),
        requires_key: true,
        tenants: vec![
            Tenant {
                label: "acme".to_owned(),
                api_keys: vec![KEY.to_owned()],
                rank: Some(Priority(3)),
                isolated: true,
            },
            Tenant {
                label: "other".to_owned(),
                api_keys: vec!["k2".to_owned()],
                rank: None,
                isolated: false,
            },
        ],
    }
}

pub(crate) fn replica_entry(replica: &ScriptedReplica) -> Replica {
    Replica {
        id: replica.id.clone(),
        service: "service".to_owned(),
        address: replica.address.to_string(),
        zone: "zone-a".to_owned(),
        capacity: 8,
        phase: ReplicaPhase::Ready,
        warm_left_ms: 0,
        models: vec![ModelRevision { model: "m".to_owned(), revision: WeightsRevision(4) }],
    }
}
