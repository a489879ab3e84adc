//! The model list from the settings.

use snafu::Snafu;
use std::collections::BTreeMap;

use serde_json::{Value, json};

use tulipridge_http1::codec::Head;

/// Maximum number of models on a page if the query has no limit.
const DEFAULT_PAGE_SIZE: usize = 20;
/// Maximum of the query parameter `limit`.
const MAX_PAGE_SIZE: usize = 1000;

/// A model on the list.
#[derive(Clone, Debug, Default)]
pub struct Model {
    /// Display name for users.
    pub display_name: String,
    /// Creation time in RFC 3339.
    pub created_at: String,
    /// Maximum number of prompt tokens.
    pub max_input_tokens: Option<u64>,
    /// Maximum number of output tokens.
    pub max_tokens: Option<u64>,
}

/// Models by id.
pub type Models = BTreeMap<String, Model>;

fn model_json(id: &str, model: &Model) -> Value {
    json!({"type": "model", "id": id, "display_name": model.display_name, "created_at": model.created_at,
        "lifecycle": "active", "max_input_tokens": model.max_input_tokens, "max_tokens": model.max_tokens})
}

/// The model with this id as JSON, or `None`.
#[must_use]
pub fn find(models: &Models, id: &str) -> Option<Vec<u8>> {
    models.get(id).map(|model| model_json(id, model).to_string().into_bytes())
}

/// Why a query for a page is invalid; the display text is sent to the client.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum PageError {
    /// `limit` is not a number from 1 to 1000.
    #[snafu(display("limit: a number from 1 to 1000 is required"))]
    InvalidLimit,
    /// A parameter is not the id of a model.
    #[snafu(display("{parameter}: no model is called '{id}'"))]
    UnknownModel {
        /// Name of the parameter.
        parameter: String,
        /// Value of the parameter.
        id: String,
    },
}

/// The page of the list that the query of the request target selects, as JSON. Without `limit`, it has at most 20 models.
///
/// # Errors
///
/// If `limit` is not a number from 1 to 1000, or if `after_id` or `before_id` is not the id of a model in `models`.
/// The message begins with the parameter's name.
pub fn page(models: &Models, head: &Head) -> Result<Vec<u8>, PageError> {
    let query = head.start[1].split_once('?').map_or("", |(_, query)| query);
    let parameter = |name: &str| {
        query
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
            .filter(|v| !v.is_empty())
    };
    let limit = match parameter("limit").map(str::parse::<usize>) {
        None => DEFAULT_PAGE_SIZE,
        Some(Ok(limit @ 1..=MAX_PAGE_SIZE)) => limit,
        Some(_) => return InvalidLimitSnafu.fail(),
    };
    let ids: Vec<&String> = models.keys().collect();
    let index_of = |name: &str| match parameter(name) {
        None => Ok(None),
        Some(id) => match ids.iter().position(|known| *known == id) {
            Some(at) => Ok(Some(at)),
            None => UnknownModelSnafu { parameter: name, id }.fail(),
        },
    };
    let (after, before) = (index_of("after_id")?, index_of("before_id")?);
    let from = after.map_or(0, |at| at + 1);
    let to = before.unwrap_or(ids.len()).max(from);
    let rest = &ids[from..to];
    // With only `before_id`, the page ends before that id; otherwise it starts at `from`.
    let page = match (before, after) {
        (Some(_), None) => &rest[rest.len().saturating_sub(limit)..],
        _ => &rest[..rest.len().min(limit)],
    };
    let data: Vec<Value> = page.iter().map(|id| model_json(id, &models[*id])).collect();
    let list = json!({"data": data, "has_more": page.len() < rest.len(), "first_id": page.first(),
        "last_id": page.last()});
    Ok(list.to_string().into_bytes())
}
