//! Parses the responses of cache-event sources.

use serde::Deserialize;
use snafu::{ResultExt, Snafu};
use tulipridge_prefix_cache_index::{CacheListing, CachedPrefix, Cursor, EventPage, PrefixKey};

/// Why a response of a source can't be used.
#[derive(Debug, Snafu)]
pub enum ResponseError {
    /// The body does not conform to the interface.
    #[snafu(display("malformed response: {source}"))]
    Malformed {
        /// The parser's error.
        source: serde_json::Error,
    },
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct EventsBody {
    boot_no: u64,
    next_token: u64,
    #[serde(rename = "gone")]
    has_gap: bool,
    #[serde(rename = "happenings")]
    events: Vec<EventRow>,
}

/// Sequence number, sign, salt, segment id, number of cached tokens after the event, model.
#[derive(Deserialize)]
struct EventRow(
    #[allow(dead_code)] u64,
    #[allow(dead_code)] Sign,
    String,
    String,
    u32,
    #[allow(dead_code)] String,
);

/// Whether a segment grew or shrank. It is parsed only for validation, since an event contains the resulting number
/// of tokens in both cases.
#[derive(Deserialize)]
enum Sign {
    #[serde(rename = "+")]
    Added,
    #[serde(rename = "-")]
    Removed,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ListingBody {
    boot_no: u64,
    next_token: u64,
    #[serde(rename = "holding")]
    entries: Vec<ListingRow>,
}

/// Salt, segment id, number of cached tokens, model.
#[derive(Deserialize)]
struct ListingRow(String, String, u32, #[allow(dead_code)] String);

impl From<EventRow> for CachedPrefix {
    fn from(row: EventRow) -> CachedPrefix {
        let EventRow(_, _, salt, segment_id, tokens, _) = row;
        CachedPrefix { key: PrefixKey::new(&salt, &segment_id), tokens }
    }
}

impl From<ListingRow> for CachedPrefix {
    fn from(row: ListingRow) -> CachedPrefix {
        let ListingRow(salt, segment_id, tokens, _) = row;
        CachedPrefix { key: PrefixKey::new(&salt, &segment_id), tokens }
    }
}

/// Parses the response to a request for a page of events.
///
/// # Errors
///
/// [`ResponseError::Malformed`] if the body is not an event page.
pub fn parse_event_page(body: &[u8]) -> Result<EventPage, ResponseError> {
    let body: EventsBody = serde_json::from_slice(body).context(MalformedSnafu)?;
    let cursor = Cursor { boot: body.boot_no, next_token: body.next_token };
    let events = body.events.into_iter().map(CachedPrefix::from).collect();
    Ok(EventPage { cursor, gap: body.has_gap, events })
}

/// Parses the response to a request for a full listing.
///
/// # Errors
///
/// [`ResponseError::Malformed`] if the body is not a listing.
pub fn parse_listing(body: &[u8]) -> Result<CacheListing, ResponseError> {
    let body: ListingBody = serde_json::from_slice(body).context(MalformedSnafu)?;
    let cursor = Cursor { boot: body.boot_no, next_token: body.next_token };
    let prefixes = body.entries.into_iter().map(CachedPrefix::from).collect();
    Ok(CacheListing { cursor, prefixes })
}
