//! Configurations and changes for tests of the encoding.

use tulipridge_configuration::number::{Priority, Revision};
use tulipridge_configuration::{
    ClientLimits, Configuration, ConfigurationChanges, Route, RouteKind, Service, ServiceRuntime,
    ServiceWeight, Tenant,
};

/// A configuration whose values reveal swapped neighbouring fields.
pub(crate) fn configuration() -> Configuration {
    Configuration {
        revision: Revision(70_001),
        routes: vec![streamed_route(), plain_route(), repeatable_route()],
        services: vec![model_service(), store()],
        caps: ClientLimits {
            head_bytes: 8_192,
            body_bytes: 1_000_000,
            head_wait_ms: 2_000,
            idle_ms: 9_000,
        },
        requires_key: true,
        tenants: vec![isolated_tenant(), plain_tenant()],
    }
}

/// A change with every part, whose values reveal swapped neighbouring fields.
pub(crate) fn changes() -> ConfigurationChanges {
    ConfigurationChanges {
        base: Revision(70_001),
        revision: Revision(70_009),
        routes: vec![plain_route()],
        removed_routes: vec!["route-gone".to_owned()],
        services: vec![store()],
        removed_services: vec!["service-gone".to_owned()],
        tenants: vec![plain_tenant()],
        removed_tenants: vec!["tenant-gone".to_owned()],
        caps: Some(ClientLimits { head_bytes: 1, body_bytes: 2, head_wait_ms: 3, idle_ms: 4 }),
        requires_key: Some(false),
    }
}

/// A change with empty lists and without `caps`.
pub(crate) fn empty_changes() -> ConfigurationChanges {
    ConfigurationChanges {
        base: Revision(11),
        revision: Revision(12),
        requires_key: Some(true),
        ..Default::default()
    }
}

fn streamed_route() -> Route {
    Route {
        label: "route-stream".to_owned(),
        host: "shop.example".to_owned(),
        path_prefix: "/cart/".to_owned(),
        kind: RouteKind::Stream,
        time_limit_ms: 8_000,
        target_ms: 400,
        rank: Priority(1),
        service_weights: vec![
            ServiceWeight { service: "alpha".to_owned(), weight: 90.5 },
            ServiceWeight { service: "beta".to_owned(), weight: 9.5 },
        ],
        max_attempts: 3,
        public: false,
        pinned: true,
        resumable: false,
        gap_target_ms: 250,
    }
}

fn plain_route() -> Route {
    Route {
        label: "route-plain".to_owned(),
        kind: RouteKind::NonIdempotent,
        service_weights: vec![ServiceWeight { service: "gamma".to_owned(), weight: 1.0 }],
        public: true,
        pinned: false,
        gap_target_ms: 0,
        ..streamed_route()
    }
}

fn repeatable_route() -> Route {
    Route {
        label: "route-repeatable".to_owned(),
        kind: RouteKind::Idempotent,
        public: false,
        pinned: false,
        resumable: true,
        ..streamed_route()
    }
}

fn model_service() -> Service {
    Service {
        label: "alpha".to_owned(),
        health_path: "/alive".to_owned(),
        connection_limit: 630,
        runtime: Some(ServiceRuntime {
            capacity: 128,
            cache_tokens: 319_789,
            cache_token_bytes: 18_432,
            bandwidth_mbps: 370_000.5,
            models: vec!["model-a".to_owned(), "model-b".to_owned()],
        }),
        store_address: None,
        store_zone: None,
        max_event_calls: 12,
        store_tokens: 0,
    }
}

fn store() -> Service {
    Service {
        label: "store".to_owned(),
        health_path: "/health".to_owned(),
        connection_limit: 0,
        runtime: None,
        store_address: Some("172.20.0.2:8680".to_owned()),
        store_zone: Some("zone-b".to_owned()),
        max_event_calls: 9,
        store_tokens: 6_934_830,
    }
}

fn isolated_tenant() -> Tenant {
    Tenant {
        label: "acme".to_owned(),
        api_keys: vec!["key-a1".to_owned(), "key-a2".to_owned()],
        rank: Some(Priority(1)),
        isolated: true,
    }
}

fn plain_tenant() -> Tenant {
    Tenant {
        label: "umbrella".to_owned(),
        api_keys: vec!["key-b1".to_owned()],
        rank: None,
        isolated: false,
    }
}
