//! Parsing of services and KV cache stores.

use super::{ItemPath, Parser, ServiceKind};
use crate::fields::{LABEL, SERVICES};
use crate::json::{JsonRuntime, JsonService, Object};
use crate::model::{Service, ServiceRuntime};

/// Path of the health check for a service with replicas that states none.
const DEFAULT_HEALTH_PATH: &str = "/health";

impl Parser {
    pub(super) fn services(&mut self, services: Option<Vec<Object<JsonService>>>) -> Vec<Service> {
        let json_services = self.required(services, || SERVICES.to_owned());
        let services = self.items(SERVICES, json_services, Self::service);
        for service in &services {
            let kind = service.store_address.as_ref().map_or(ServiceKind::Replicas, |_| ServiceKind::Store);
            self.service_kinds.entry(service.label.clone()).or_insert(kind);
        }
        services
    }

    fn service(&mut self, item: ItemPath, json: JsonService) -> Service {
        let event_calls =
            json.max_calls.or(json.runtime.as_ref().and_then(|Object(runtime)| runtime.max_calls));
        let default_health_path = || match json.cache_store {
            Some(_) => String::new(),
            None => DEFAULT_HEALTH_PATH.to_owned(),
        };
        Service {
            label: self.non_empty_string(item, LABEL, json.label),
            health_path: json.check_path.unwrap_or_else(default_health_path),
            connection_limit: json.conn_limit.unwrap_or_default().saturating_to_u32(),
            runtime: json.runtime.map(|Object(json)| runtime(json)),
            store_address: json.cache_store,
            store_zone: json.area,
            max_event_calls: event_calls.unwrap_or_default().saturating_to_u32(),
            store_tokens: json.cache_tokens.unwrap_or_default().0,
        }
    }
}

fn runtime(json: JsonRuntime) -> ServiceRuntime {
    let models = json.llms.unwrap_or_default();
    ServiceRuntime {
        capacity: json.capacity.unwrap_or_default().saturating_to_u32(),
        cache_tokens: json.cache_tokens.unwrap_or_default().0,
        cache_token_bytes: json.cache_token_bytes.unwrap_or_default().0,
        bandwidth_mbps: json.bandwidth_mbps.unwrap_or_default(),
        models: models.into_iter().filter_map(|Object(model)| model.label).collect(),
    }
}
