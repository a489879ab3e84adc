//! Pages of the platform's replica list: their request targets and their parsing.

use std::net::SocketAddrV4;

use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use snafu::{ResultExt, Snafu};
use tulipridge_configuration::number::WeightsRevision;
use tulipridge_protocol::feed::{ModelRevision, Replica, ReplicaPhase};

/// Why a page of the list can't be used.
#[derive(Debug, Snafu)]
pub enum PageError {
    /// The page is truncated, or does not conform to the platform's interface.
    #[snafu(display("malformed page of the replica list: {source}"))]
    Malformed {
        /// The parser's error.
        source: serde_json::Error,
    },
}

/// The request target of the page with this page token, or of the first page if there is none.
pub(super) fn page_target(token: Option<&str>) -> String {
    match token {
        None => "/servers".to_owned(),
        Some(token) => format!("/servers?pageToken={}", percent_encode(token)),
    }
}

/// Percent-encodes a query value. Page tokens are opaque and may contain any byte.
fn percent_encode(text: &str) -> String {
    let escaped = |byte: u8| match byte {
        b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => char::from(byte).to_string(),
        other => format!("%{other:02X}"),
    };
    text.bytes().map(escaped).collect()
}

/// A page of the list.
#[derive(Debug, Default, PartialEq)]
pub struct Page {
    /// Entries that could be parsed.
    pub replicas: Vec<Replica>,
    /// The JSON text of the entries that could not be parsed.
    pub malformed: Vec<String>,
    /// Page token of the next page, or `None` on the last one.
    pub next_token: Option<String>,
}

#[derive(Deserialize)]
struct PageBody<'a> {
    #[serde(rename = "servers", borrow)]
    entries: Vec<&'a RawValue>,
    /// Required, although it may be null: a page without this field is truncated, whereas null marks the last page.
    #[serde(rename = "nextToken", deserialize_with = "deserialize_required")]
    next_token: Option<String>,
}

fn deserialize_required<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<String>, D::Error> {
    Option::deserialize(deserializer)
}

/// An entry of the list. The serialized field names are those of the platform's interface.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Entry {
    #[serde(rename = "ident")]
    id: String,
    #[serde(rename = "backend")]
    service: String,
    address: SocketAddrV4,
    #[serde(rename = "area")]
    zone: String,
    capacity: u32,
    phase: Phase,
    #[serde(default)]
    warm_left_ms: f64,
    #[serde(rename = "llms", default)]
    models: Vec<ListedModel>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum Phase {
    Ready,
    #[serde(rename = "emptying")]
    Draining,
}

#[derive(Deserialize)]
struct ListedModel {
    label: String,
    revision: WeightsRevision,
}

impl Page {
    /// Parses a page. Entries that can't be parsed are returned separately.
    ///
    /// # Errors
    ///
    /// [`PageError::Malformed`] if the page as a whole can't be parsed or is truncated.
    pub fn parse(body: &[u8]) -> Result<Page, PageError> {
        let body: PageBody<'_> = serde_json::from_slice(body).context(MalformedSnafu)?;
        let mut page = Page { next_token: body.next_token, ..Page::default() };
        for raw in body.entries {
            match serde_json::from_str::<Entry>(raw.get()) {
                Ok(entry) => page.replicas.push(entry.into()),
                Err(_) => page.malformed.push(raw.get().to_owned()),
            }
        }
        Ok(page)
    }
}

impl From<Entry> for Replica {
    fn from(entry: Entry) -> Replica {
        Replica {
            id: entry.id,
            service: entry.service,
            address: entry.address.to_string(),
            zone: entry.zone,
            capacity: entry.capacity,
            phase: match entry.phase {
                Phase::Ready => ReplicaPhase::Ready,
                Phase::Draining => ReplicaPhase::Draining,
            },
            // The cast saturates at the bounds of `u32`.
            warm_left_ms: entry.warm_left_ms.ceil() as u32,
            models: entry.models.into_iter().map(ModelRevision::from).collect(),
        }
    }
}

impl From<ListedModel> for ModelRevision {
    fn from(model: ListedModel) -> ModelRevision {
        ModelRevision { model: model.label, revision: model.revision }
    }
}
