//! Reading what sources answer.

use serde::Deserialize;
use snafu::{ResultExt, Snafu};
use tulipridge_prefix_cache_index::{CacheListing, EventPage, PrefixKey};

/// Why an answer of a source can't be used.
#[derive(Debug, Snafu)]
pub enum AnswerError {
    /// It is not what the interface promises.
    #[snafu(display("an answer can't be read: {source}"))]
    Unreadable {
        /// What the parser says.
        source: serde_json::Error,
    },
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct EventsBody {
    boot_no: u64,
    next_token: u64,
    gone: bool,
    happenings: Vec<Happening>,
}

/// Number, sign, salt, part, tokens that are kept now, model.
#[derive(Deserialize)]
struct Happening(#[allow(dead_code)] u64, Sign, String, String, u32, #[allow(dead_code)] String);

/// Both signs come with the tokens that are kept after the event.
#[derive(Deserialize)]
enum Sign {
    #[serde(rename = "+")]
    Added,
    #[serde(rename = "-")]
    Removed,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ListBody {
    boot_no: u64,
    next_token: u64,
    holding: Vec<Held>,
}

/// Salt, part, tokens, model.
#[derive(Deserialize)]
struct Held(String, String, u32, #[allow(dead_code)] String);

/// Reads the answer to a call for events.
pub fn read_events(body: &[u8]) -> Result<EventPage, AnswerError> {
    let body: EventsBody = serde_json::from_slice(body).context(UnreadableSnafu)?;
    let events = body.happenings.into_iter().map(event).collect();
    Ok(EventPage { boot: body.boot_no, next_token: body.next_token, gap: body.gone, events })
}

/// Reads the answer to a call for the list of all that is kept.
pub fn read_list(body: &[u8]) -> Result<CacheListing, AnswerError> {
    let body: ListBody = serde_json::from_slice(body).context(UnreadableSnafu)?;
    let parts = body
        .holding
        .iter()
        .map(|Held(salt, part, tokens, _)| (PrefixKey::new(salt, part), *tokens))
        .collect();
    Ok(CacheListing { boot: body.boot_no, next_token: body.next_token, parts })
}

fn event(Happening(_, sign, salt, part, tokens, _): Happening) -> (PrefixKey, u32) {
    match sign {
        Sign::Added | Sign::Removed => (PrefixKey::new(&salt, &part), tokens),
    }
}
