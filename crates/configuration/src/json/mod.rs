//! Serde types for the JSON form of a configuration, with the operator's field names. All fields are optional here; the
//! parser checks that required ones are present.

mod checked_values;
mod type_errors;

use serde::Deserialize;

pub(crate) use checked_values::{JsonRouteKind, Object, UnsignedNumber};
pub(crate) use type_errors::wrong_type;

use crate::validation_error::ValidationErrors;

/// The top-level object of a configuration.
#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct JsonDocument {
    pub revision: Option<u64>,
    pub routes: Option<Vec<Object<JsonRoute>>>,
    pub backends: Option<Vec<Object<JsonService>>>,
    pub caps: Option<Object<JsonCaps>>,
    pub customers: Option<Vec<Object<JsonTenant>>>,
}

/// An item of `routes`.
#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct JsonRoute {
    pub label: Option<String>,
    pub hostname: Option<String>,
    pub path_start: Option<String>,
    pub sort: Option<JsonRouteKind>,
    pub time_limit_ms: Option<UnsignedNumber>,
    pub target_ms: Option<UnsignedNumber>,
    pub rank: Option<UnsignedNumber>,
    pub backend: Option<String>,
    pub shares: Option<Vec<Object<JsonServiceWeight>>>,
    pub tries: Option<UnsignedNumber>,
    pub public: Option<bool>,
    pub pinned: Option<bool>,
    pub pick_up: Option<bool>,
    #[serde(rename = "gap_aim_ms")]
    pub gap_aim_ms: Option<UnsignedNumber>,
}

/// An item of a route's `shares`.
#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct JsonServiceWeight {
    pub backend: Option<String>,
    pub share: Option<f64>,
}

/// An item of `backends`.
#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct JsonService {
    pub label: Option<String>,
    pub check_path: Option<String>,
    pub conn_limit: Option<UnsignedNumber>,
    pub runtime: Option<Object<JsonRuntime>>,
    pub cache_store: Option<String>,
    pub area: Option<String>,
    pub cache_tokens: Option<UnsignedNumber>,
    pub max_calls: Option<UnsignedNumber>,
}

/// The object `runtime` of a service.
#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct JsonRuntime {
    pub capacity: Option<UnsignedNumber>,
    pub cache_tokens: Option<UnsignedNumber>,
    pub cache_token_bytes: Option<UnsignedNumber>,
    pub bandwidth_mbps: Option<f64>,
    pub max_calls: Option<UnsignedNumber>,
    pub llms: Option<Vec<Object<JsonModel>>>,
}

/// An item of a runtime's `llms`.
#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct JsonModel {
    pub label: Option<String>,
}

/// The object `caps`.
#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct JsonCaps {
    pub head_size_bytes: Option<UnsignedNumber>,
    pub body_size_bytes: Option<UnsignedNumber>,
    pub head_wait_ms: Option<UnsignedNumber>,
    pub quiet_ms: Option<UnsignedNumber>,
}

/// An item of `customers`.
#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct JsonTenant {
    pub label: Option<String>,
    pub api_keys: Option<Vec<String>>,
    pub rank: Option<UnsignedNumber>,
    pub isolated: Option<bool>,
}

impl JsonDocument {
    /// Deserializes a document.
    ///
    /// # Errors
    ///
    /// The first type error of each item, or a single error if the bytes are not JSON.
    pub(crate) fn from_bytes(bytes: &[u8]) -> Result<Self, ValidationErrors> {
        // serde_json does not check whether the text of unknown fields is UTF-8.
        let text = std::str::from_utf8(bytes).map_err(|error| ValidationErrors::unreadable(&error))?;
        let document: Result<Object<JsonDocument>, _> = serde_json::from_str(text);
        document.map(|Object(document)| document).map_err(|error| match error.is_data() {
            true => type_errors::collect_type_errors(text, &error),
            false => ValidationErrors::unreadable(&error),
        })
    }
}
