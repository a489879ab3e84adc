//! Random configurations and patches. Most values are usual ones; some are missing, empty, or those of another item.

use fastrand::Rng;
use serde_json::{Map, Value, json};

/// Number of tenants, routes and services of a configuration, at most.
const MAX_ITEMS: usize = 4;

/// Names that are never those of a service with replicas, beside the store's.
const UNUSUAL_SERVICES: [&str; 6] = ["", "gone", "S0", " s0", "s", "r0"];

/// Draws configurations and patches.
pub(crate) struct Generator {
    random: Rng,
    /// How often a value is unusual, from 0 to 1.
    unusual_rate: f64,
}

impl Generator {
    /// A generator whose values depend on the seed alone.
    pub(crate) fn new(seed: u64, unusual_rate: f64) -> Self {
        Generator { random: Rng::with_seed(seed), unusual_rate }
    }

    /// A configuration with values of the right types.
    pub(crate) fn document(&mut self, revision: u64) -> Value {
        let mut document = Map::new();
        let revision = self.unless_absent(json!(revision));
        insert(&mut document, "revision", revision);
        document.insert("routes".to_owned(), self.items(Self::route));
        document.insert("backends".to_owned(), self.services());
        if self.random.bool() {
            document.insert("customers".to_owned(), self.items(Self::tenant));
        }
        Value::Object(document)
    }

    /// A patch: items under any label, and removals of any label.
    pub(crate) fn patch(&mut self, revision: u64) -> Value {
        let mut upsert = Map::new();
        let mut remove = Map::new();
        if self.random.bool() {
            upsert.insert("routes".to_owned(), self.labelled_items("r", Self::route));
        }
        if self.random.bool() {
            upsert.insert("backends".to_owned(), self.labelled_items("s", Self::service));
        }
        if self.random.bool() {
            upsert.insert("customers".to_owned(), self.labelled_items("t", Self::tenant));
        }
        for (list, prefix) in [("routes", "r"), ("backends", "s"), ("customers", "t")] {
            if self.random.u8(..4) == 0 {
                remove.insert(
                    list.to_owned(),
                    json!([format!("{prefix}{}", self.random.usize(..MAX_ITEMS))]),
                );
            }
        }
        json!({"revision": revision, "upsert": upsert, "remove": remove})
    }

    fn items(&mut self, item: fn(&mut Self, usize) -> Value) -> Value {
        let count = self.random.usize(..=MAX_ITEMS);
        (0..count).map(|index| item(self, index)).collect()
    }

    /// Items with different labels, which a patch needs.
    fn labelled_items(&mut self, prefix: &str, item: fn(&mut Self, usize) -> Value) -> Value {
        let mut indices: Vec<usize> = (0..MAX_ITEMS).collect();
        self.random.shuffle(&mut indices);
        indices.truncate(self.random.usize(..=2));
        let mut labelled = |index| {
            let mut item = item(self, index);
            item["label"] = json!(format!("{prefix}{index}"));
            item
        };
        indices.into_iter().map(&mut labelled).collect()
    }

    /// At least one service with replicas, and a store.
    fn services(&mut self) -> Value {
        let count = self.random.usize(1..=MAX_ITEMS);
        let mut services: Vec<Value> = (0..count).map(|index| self.service(index)).collect();
        services.push(json!({"label": "store", "cacheStore": "127.0.0.1:8680"}));
        Value::Array(services)
    }

    fn service(&mut self, index: usize) -> Value {
        let mut service = Map::new();
        let label = self.label("s", index);
        insert(&mut service, "label", label);
        if self.is_unusual() {
            service.insert("cacheStore".to_owned(), json!(self.pick(&["127.0.0.1:8681", ""])));
        }
        Value::Object(service)
    }

    fn route(&mut self, index: usize) -> Value {
        let mut route = Map::new();
        let label = self.label("r", index);
        insert(&mut route, "label", label);
        let host = self.host();
        insert(&mut route, "hostname", host);
        let prefix = self.prefix(index);
        insert(&mut route, "pathStart", prefix);
        let time_limit = self.time_limit();
        insert(&mut route, "timeLimitMs", time_limit);
        let form = self.random.u8(..3);
        if form != 0 || self.is_unusual() {
            let service = self.service_name();
            insert(&mut route, "backend", service);
        }
        if form != 1 {
            insert(&mut route, "shares", Some(self.shares()));
        }
        Value::Object(route)
    }

    fn tenant(&mut self, index: usize) -> Value {
        let mut tenant = Map::new();
        let label = self.label("t", index);
        insert(&mut tenant, "label", label);
        let mut keys = vec![format!("key-{index}"), format!("other-{index}")];
        if self.is_unusual() {
            keys.push(self.pick(&["", "key-0", "key-1", "KEY-0"]).to_owned());
        }
        tenant.insert("apiKeys".to_owned(), json!(keys));
        Value::Object(tenant)
    }

    fn label(&mut self, prefix: &str, index: usize) -> Option<Value> {
        if !self.is_unusual() {
            return Some(json!(format!("{prefix}{index}")));
        }
        let label = self.pick(&["", "r0", "s0", "t0", "store"]);
        self.unless_absent(json!(label))
    }

    fn host(&mut self) -> Option<Value> {
        if !self.is_unusual() {
            return Some(json!(self.pick(&["h.example", "H.Example"])));
        }
        self.unless_absent(json!(""))
    }

    fn prefix(&mut self, index: usize) -> Option<Value> {
        if !self.is_unusual() {
            return Some(json!(format!("/{index}/")));
        }
        let prefix = self.pick(&["", "/0/", "/1/", "/2/", "/1", "1/"]);
        self.unless_absent(json!(prefix))
    }

    fn time_limit(&mut self) -> Option<Value> {
        if !self.is_unusual() {
            return Some(self.pick(&[json!(900), json!(0.25), json!(4e9)]));
        }
        let limit = self.pick(&[json!(0), json!(0.0), json!(-0.0)]);
        self.unless_absent(limit)
    }

    fn shares(&mut self) -> Value {
        let count = if self.is_unusual() { 0 } else { self.random.usize(1..=3) };
        (0..count).map(|_| self.share()).collect()
    }

    fn share(&mut self) -> Value {
        let mut share = Map::new();
        let service = self.service_name();
        insert(&mut share, "backend", service);
        let weight = match self.is_unusual() {
            false => Some(self.pick(&[json!(90), json!(10), json!(0.25)])),
            true => {
                let weight = self.pick(&[
                    json!(0),
                    json!(-0.0),
                    json!(-10),
                    json!(-0.25),
                    json!(1e-320),
                    json!(1e308),
                ]);
                self.unless_absent(weight)
            }
        };
        insert(&mut share, "share", weight);
        Value::Object(share)
    }

    /// The first service is part of each configuration unless a value of its own is unusual.
    fn service_name(&mut self) -> Option<Value> {
        if !self.is_unusual() {
            return Some(json!("s0"));
        }
        let name = match self.random.u8(..4) {
            0 => "store".to_owned(),
            1 => format!("s{}", self.random.usize(..MAX_ITEMS)),
            _ => self.pick(&UNUSUAL_SERVICES).to_owned(),
        };
        self.unless_absent(json!(name))
    }

    /// The value, or now and then none, or null.
    fn unless_absent(&mut self, value: Value) -> Option<Value> {
        if !self.is_unusual() {
            return Some(value);
        }
        self.random.bool().then_some(Value::Null)
    }

    fn is_unusual(&mut self) -> bool {
        self.random.f64() < self.unusual_rate
    }

    fn pick<T: Clone>(&mut self, values: &[T]) -> T {
        values[self.random.usize(..values.len())].clone()
    }
}

fn insert(object: &mut Map<String, Value>, field: &str, value: Option<Value>) {
    if let Some(value) = value {
        object.insert(field.to_owned(), value);
    }
}
