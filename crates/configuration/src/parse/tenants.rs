//! Parsing of tenants and their API keys.

use std::collections::HashMap;

use super::{ItemPath, Parser};
use crate::fields::{LABEL, TENANTS};
use crate::json::{JsonTenant, Object};
use crate::model::Tenant;
use crate::number::Priority;
use crate::validation_error::ValidationErrorKind;

impl Parser {
    pub(super) fn tenants(&mut self, tenants: Option<Vec<Object<JsonTenant>>>) -> Vec<Tenant> {
        let tenants = self.items(TENANTS, tenants.unwrap_or_default(), Self::tenant);
        self.check_unique_keys(&tenants);
        tenants
    }

    fn tenant(&mut self, item: ItemPath, json: JsonTenant) -> Tenant {
        Tenant {
            label: self.non_empty_string(item, LABEL, json.label),
            api_keys: json.api_keys.unwrap_or_default(),
            rank: json.rank.map(|rank| Priority(rank.saturating_to_u8())),
            isolated: json.isolated.unwrap_or_default(),
        }
    }

    /// Reports API keys that an earlier tenant has. The errors don't contain the keys.
    fn check_unique_keys(&mut self, tenants: &[Tenant]) {
        let mut first_tenant_by_key: HashMap<&str, usize> = HashMap::new();
        for (index, tenant) in tenants.iter().enumerate() {
            for (key_index, key) in tenant.api_keys.iter().enumerate() {
                let first = *first_tenant_by_key.entry(key).or_insert(index);
                if first != index {
                    let other = tenants[first].label.clone();
                    let path = ItemPath { list: TENANTS, index }.field(&format!("apiKeys[{key_index}]"));
                    self.errors.add(path, ValidationErrorKind::DuplicateApiKey { other });
                }
            }
        }
    }
}
