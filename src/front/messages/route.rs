//! Derives the routing key of a request from its body: prompt length, session and shared prompt prefix.
//!
//! The API orders a prompt as tools, system, messages. A cache breakpoint marks the end of a prefix worth caching. The
//! key of the hash ring is a hash of the prompt up to the last breakpoint. The hash covers the content, not the JSON
//! spelling, and is the same on every gateway.
//!
//! Exception: if a prompt ends at a breakpoint, the client caches its growing conversation, and the breakpoints move
//! with each turn. A key from them would route each turn to another replica, away from its cached prefix. In this case
//! only breakpoints before the first response count, except one directly before it.

use xxhash_rust::xxh3::Xxh3;

use super::super::object::Text;
use super::request::{Block, Content, Request, Turn};

/// Routing key and token counts of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Route {
    /// Hash of the shared prompt prefix, if the prompt has one.
    pub prefix: Option<u64>,
    /// Estimated tokens of the shared prefix; 0 if there is none.
    pub prefix_tokens: u32,
    /// Hash of the session: of the user id, or of the first turn if there is none.
    pub session: u64,
    /// Estimated tokens of the prompt.
    pub tokens: u32,
}

/// The estimate of [`Route::tokens`], as described to clients.
pub const TOKEN_COUNT_RULE: &str =
    "one token for four characters; 1600 for each image, and each document that is no text";
/// Estimated tokens of an image or a binary document.
const MEDIA_TOKENS: u64 = 1600;

/// A prefix of a prompt.
#[derive(Clone, Copy)]
struct PromptPrefix {
    hash: u64,
    tokens: u64,
}

/// Hashes a prompt and counts its tokens, part by part.
#[derive(Default)]
struct PromptHasher {
    hash: Xxh3,
    character_count: u64,
    media_count: u64,
    /// Prefix up to the last breakpoint.
    breakpoint: Option<PromptPrefix>,
    /// Prefix up to the breakpoint before the last one.
    previous_breakpoint: Option<PromptPrefix>,
    /// Whether no content follows the last breakpoint.
    ends_at_breakpoint: bool,
}

impl PromptHasher {
    fn tokens(&self) -> u64 {
        self.character_count.div_ceil(4) + self.media_count * MEDIA_TOKENS
    }

    /// Hashes a field by its tag, length and text, so that different sequences of fields have different input.
    fn add_field(&mut self, tag: u8, text: &str) {
        self.hash.update(&[tag]);
        self.hash.update(&(text.len() as u64).to_le_bytes());
        self.hash.update(text.as_bytes());
        self.ends_at_breakpoint = false;
    }

    fn add_counted_field(&mut self, tag: u8, text: &str) {
        self.add_field(tag, text);
        self.character_count += characters(text);
    }

    /// The prefix that consists of all parts so far.
    fn prefix(&self) -> PromptPrefix {
        PromptPrefix { hash: self.hash.digest(), tokens: self.tokens() }
    }

    fn end_part(&mut self, has_breakpoint: bool) {
        if has_breakpoint {
            self.previous_breakpoint = self.breakpoint;
            self.breakpoint = Some(self.prefix());
            self.ends_at_breakpoint = true;
        }
    }

    fn add_content(&mut self, content: &Content<'_>) {
        if let Some(text) = content.as_text() {
            self.add_counted_field(b'T', text);
        }
        for block in content.blocks() {
            self.add_block(block);
        }
    }

    fn add_block(&mut self, block: &Block<'_>) {
        let text = |text: &Option<Text<'_>>| text.as_deref().map(str::to_owned);
        match block.kind() {
            // A text has the same hash as a string and as a block.
            "text" => self.add_counted_field(b'T', block.text.as_deref().unwrap_or_default()),
            kind => {
                self.add_field(b'K', kind);
                for field in [&block.text, &block.title, &block.context, &block.thinking, &block.name] {
                    if let Some(text) = field.as_deref() {
                        self.add_counted_field(b'W', text);
                    }
                }
                for field in [&block.id, &block.tool_use_id, &block.data, &block.signature] {
                    if let Some(text) = field.as_deref() {
                        self.add_field(b'I', text);
                    }
                }
                if let Some(input) = block.input {
                    self.add_counted_field(b'J', input.get());
                }
                if let Some(source) = block.source_object() {
                    self.add_field(b'S', source.media_type.as_deref().unwrap_or_default());
                    let is_plain_text = source.kind.as_deref() == Some("text");
                    match (text(&source.data), is_plain_text) {
                        (Some(data), true) => self.add_counted_field(b'D', &data),
                        (data, _) => {
                            let reference = data.or(text(&source.url)).or(text(&source.file_id));
                            self.add_field(b'D', &reference.unwrap_or_default());
                            self.media_count += u64::from(source.content.is_none());
                        }
                    }
                    if let Some(content) = &source.content {
                        self.add_content(content);
                    }
                }
                if let Some(content) = &block.content {
                    self.add_content(content);
                }
                self.add_field(b'E', if block.is_error == Some(true) { "1" } else { "" });
            }
        }
        self.end_part(block.cache_control.is_some());
    }

    fn add_turn(&mut self, turn: &Turn<'_>) {
        self.add_field(b'R', turn.role.as_deref().unwrap_or_default());
        if let Some(content) = &turn.content {
            self.add_content(content);
        }
    }
}

impl Route {
    /// Derives the route of a request.
    #[must_use]
    pub fn of(request: &Request<'_>) -> Route {
        let mut prompt = PromptHasher::default();
        for tool in request.tools() {
            prompt.add_field(b'N', tool.kind.as_deref().unwrap_or_default());
            prompt.add_counted_field(b'W', tool.name.as_deref().unwrap_or_default());
            prompt.add_counted_field(b'W', tool.description.as_deref().unwrap_or_default());
            prompt.add_counted_field(b'J', tool.input_schema.map_or("", |s| s.get()));
            prompt.end_part(tool.cache_control.is_some());
        }
        if let Some(system) = &request.system {
            prompt.add_field(b'Y', "");
            prompt.add_content(system);
        }
        // The shared prefix if there are no breakpoints.
        let tools_and_system = (prompt.tokens() > 0).then(|| prompt.prefix());
        let turns = request.turns();
        let mut before_response = None;
        for (n, turn) in turns.iter().enumerate() {
            prompt.add_turn(turn);
            // The first response follows this turn, or the prompt ends.
            if before_response.is_none() && turns.get(n + 1).is_none_or(|next| !next.is_user()) {
                before_response = Some(if prompt.ends_at_breakpoint {
                    prompt.previous_breakpoint
                } else {
                    prompt.breakpoint
                });
            }
        }
        let is_growing = prompt.ends_at_breakpoint || request.cache_control.is_some();
        let at_breakpoint = if is_growing { before_response.flatten() } else { prompt.breakpoint };
        let shared = at_breakpoint.or(tools_and_system);
        let user = request.metadata.as_ref().and_then(|m| m.user_id.as_deref());
        Route {
            prefix: shared.map(|prefix| prefix.hash),
            prefix_tokens: shared.map_or(0, |prefix| saturate(prefix.tokens)),
            session: user.map_or_else(|| first_turn_hash(turns), |user| hash_of(b'U', user)),
            tokens: saturate(prompt.tokens()),
        }
    }
}

/// Identifies a session without a user id by its first turn.
fn first_turn_hash(turns: &[Turn<'_>]) -> u64 {
    let mut prompt = PromptHasher::default();
    turns.iter().take(1).for_each(|turn| prompt.add_turn(turn));
    prompt.hash.digest()
}

fn hash_of(tag: u8, text: &str) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(&[tag]);
    hash.update(text.as_bytes());
    hash.digest()
}

fn saturate(tokens: u64) -> u32 {
    tokens.min(u64::from(u32::MAX)) as u32
}

/// Number of characters in a text: all bytes except UTF-8 continuation bytes.
#[must_use]
pub fn characters(text: &str) -> u64 {
    text.bytes().filter(|b| (*b as i8) >= -0x40).count() as u64
}
