//! The list of models, as the settings have it.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use tulipridge_http1::codec::Head;

/// A model that clients may ask for.
#[derive(Clone, Debug, Default)]
pub struct Model {
    /// What people call it.
    pub display_name: String,
    /// Its making, RFC 3339.
    pub created_at: String,
    /// Tokens of a prompt at the most.
    pub max_input_tokens: Option<u64>,
    /// Tokens of an answer at the most.
    pub max_tokens: Option<u64>,
}

/// All models, by their ids.
pub type Models = BTreeMap<String, Model>;

fn shown(id: &str, model: &Model) -> Value {
    json!({"type": "model", "id": id, "display_name": model.display_name, "created_at": model.created_at,
        "lifecycle": "active", "max_input_tokens": model.max_input_tokens, "max_tokens": model.max_tokens})
}

/// One model.
#[must_use]
pub fn one(models: &Models, id: &str) -> Option<Vec<u8>> {
    models.get(id).map(|model| shown(id, model).to_string().into_bytes())
}

/// A page of the list, as the target's query asks for it.
///
/// # Errors
///
/// If `limit` is not a number from 1 to 1000, or if `after_id` or `before_id` is not the id of a model in `models`.
/// The text begins with the parameter's name.
pub fn page(models: &Models, head: &Head) -> Result<Vec<u8>, String> {
    let query = head.start[1].split_once('?').map_or("", |(_, query)| query);
    let asked = |name: &str| {
        query
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
            .filter(|v| !v.is_empty())
    };
    let limit = match asked("limit").map(str::parse::<usize>) {
        None => 20,
        Some(Ok(limit @ 1..=1000)) => limit,
        Some(_) => return Err("limit: a number from 1 to 1000 is required".into()),
    };
    let ids: Vec<&String> = models.keys().collect();
    let place = |name: &str| match asked(name) {
        None => Ok(None),
        Some(id) => match ids.iter().position(|known| *known == id) {
            Some(at) => Ok(Some(at)),
            None => Err(format!("{name}: no model is called '{id}'")),
        },
    };
    let (after, before) = (place("after_id")?, place("before_id")?);
    let from = after.map_or(0, |at| at + 1);
    let to = before.unwrap_or(ids.len()).max(from);
    let rest = &ids[from..to];
    // Before an id the page is the one that ends there, else the one that begins.
    let page = match (before, after) {
        (Some(_), None) => &rest[rest.len().saturating_sub(limit)..],
        _ => &rest[..rest.len().min(limit)],
    };
    let data: Vec<Value> = page.iter().map(|id| shown(id, &models[*id])).collect();
    let list = json!({"data": data, "has_more": page.len() < rest.len(), "first_id": page.first(),
        "last_id": page.last()});
    Ok(list.to_string().into_bytes())
}
