//! Derives the routing key of a request from its body: prompt length, session and shared prompt prefix.
//!
//! The API orders a prompt as tools, system, messages; cache breakpoints say up to where it is worth caching. The prompt
//! up to the last breakpoint is the ring's key. Its hash covers the content, not the spelling of the JSON, and is the same
//! on every gateway.
//!
//! There is one exception. If a prompt ends at a breakpoint, the client caches its growing conversation and the
//! breakpoints move from turn to turn; a key from them would send each turn to another replica, away from what is cached.
//! Then only breakpoints before the first response count, and the end itself does not.

use xxhash_rust::xxh3::Xxh3;

use super::super::object::Text;
use super::request::{Block, Content, Request, Turn};

/// The routing key of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Route {
    /// Hash of the shared prompt prefix, if there is one.
    pub prefix: Option<u64>,
    /// Tokens of that prefix.
    pub prefix_tokens: u32,
    /// Hash of the session.
    pub session: u64,
    /// Tokens of the whole prompt.
    pub tokens: u32,
}

/// How [`Route::tokens`] counts.
pub const RULE: &str =
    "one token for four characters; 1600 for each image, and each document that is no text";
/// Tokens that an image or a binary document counts as.
const MEDIA_TOKENS: u64 = 1600;

/// A prefix of a prompt.
#[derive(Clone, Copy)]
struct PromptPrefix {
    hash: u64,
    tokens: u64,
}

/// Hashes and counts a prompt, part by part.
#[derive(Default)]
struct Prompt {
    hash: Xxh3,
    characters: u64,
    media: u64,
    /// The prefixes up to the last breakpoint and to the one before it.
    breakpoint: Option<PromptPrefix>,
    previous_breakpoint: Option<PromptPrefix>,
    /// Nothing follows the last breakpoint.
    ends_at_breakpoint: bool,
}

impl Prompt {
    fn tokens(&self) -> u64 {
        self.characters.div_ceil(4) + self.media * MEDIA_TOKENS
    }

    /// Hashes a field by name, length and text, so that no two sequences of fields collide.
    fn field(&mut self, name: u8, text: &str) {
        self.hash.update(&[name]);
        self.hash.update(&(text.len() as u64).to_le_bytes());
        self.hash.update(text.as_bytes());
        self.ends_at_breakpoint = false;
    }

    fn counted_field(&mut self, name: u8, text: &str) {
        self.field(name, text);
        self.characters += characters(text);
    }

    /// The prompt so far.
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

    fn content(&mut self, content: &Content<'_>) {
        if let Some(text) = content.plain() {
            self.counted_field(b'T', text);
        }
        for block in content.blocks() {
            self.block(block);
        }
    }

    fn block(&mut self, block: &Block<'_>) {
        let text = |text: &Option<Text<'_>>| text.as_deref().map(str::to_owned);
        match block.kind() {
            // A text is the same prompt as a string and as a block.
            "text" => self.counted_field(b'T', block.text.as_deref().unwrap_or_default()),
            kind => {
                self.field(b'K', kind);
                for part in [&block.text, &block.title, &block.context, &block.thinking, &block.name] {
                    if let Some(part) = part.as_deref() {
                        self.counted_field(b'W', part);
                    }
                }
                for part in [&block.id, &block.tool_use_id, &block.data, &block.signature] {
                    if let Some(part) = part.as_deref() {
                        self.field(b'I', part);
                    }
                }
                if let Some(input) = block.input {
                    self.counted_field(b'J', input.get());
                }
                if let Some(source) = block.source_object() {
                    self.field(b'S', source.media_type.as_deref().unwrap_or_default());
                    let plain = source.kind.as_deref() == Some("text");
                    match (text(&source.data), plain) {
                        (Some(data), true) => self.counted_field(b'D', &data),
                        (data, _) => {
                            let named = data.or(text(&source.url)).or(text(&source.file_id));
                            self.field(b'D', &named.unwrap_or_default());
                            self.media += u64::from(source.content.is_none());
                        }
                    }
                    if let Some(content) = &source.content {
                        self.content(content);
                    }
                }
                if let Some(content) = &block.content {
                    self.content(content);
                }
                self.field(b'E', if block.is_error == Some(true) { "1" } else { "" });
            }
        }
        self.end_part(block.cache_control.is_some());
    }

    fn turn(&mut self, turn: &Turn<'_>) {
        self.field(b'R', turn.role.as_deref().unwrap_or_default());
        if let Some(content) = &turn.content {
            self.content(content);
        }
    }
}

impl Route {
    /// Derives the route of a request.
    #[must_use]
    pub fn of(request: &Request<'_>) -> Route {
        let mut prompt = Prompt::default();
        for tool in request.tools() {
            prompt.field(b'N', tool.kind.as_deref().unwrap_or_default());
            prompt.counted_field(b'W', tool.name.as_deref().unwrap_or_default());
            prompt.counted_field(b'W', tool.description.as_deref().unwrap_or_default());
            prompt.counted_field(b'J', tool.input_schema.map_or("", |s| s.get()));
            prompt.end_part(tool.cache_control.is_some());
        }
        if let Some(system) = &request.system {
            prompt.field(b'Y', "");
            prompt.content(system);
        }
        // Without breakpoints, tools and system prompt are the shared prefix.
        let before = (prompt.tokens() > 0).then(|| prompt.prefix());
        let turns = request.turns();
        let mut early = None;
        for (n, turn) in turns.iter().enumerate() {
            prompt.turn(turn);
            // The first response follows here.
            if early.is_none() && turns.get(n + 1).is_none_or(|next| !next.is_user()) {
                early = Some(if prompt.ends_at_breakpoint {
                    prompt.previous_breakpoint
                } else {
                    prompt.breakpoint
                });
            }
        }
        let moving = prompt.ends_at_breakpoint || request.cache_control.is_some();
        let marked = if moving { early.flatten() } else { prompt.breakpoint };
        let shared = marked.or(before);
        let user = request.metadata.as_ref().and_then(|m| m.user_id.as_deref());
        Route {
            prefix: shared.map(|part| part.hash),
            prefix_tokens: shared.map_or(0, |part| clamp(part.tokens)),
            session: user.map_or_else(|| first_turn_hash(turns), |user| hash_of(b'U', user)),
            tokens: clamp(prompt.tokens()),
        }
    }
}

/// Without a user id, a session is identified by its first turn.
fn first_turn_hash(turns: &[Turn<'_>]) -> u64 {
    let mut prompt = Prompt::default();
    turns.iter().take(1).for_each(|turn| prompt.turn(turn));
    prompt.hash.digest()
}

fn hash_of(name: u8, text: &str) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(&[name]);
    hash.update(text.as_bytes());
    hash.digest()
}

fn clamp(tokens: u64) -> u32 {
    tokens.min(u64::from(u32::MAX)) as u32
}

/// How many characters a text has: its bytes without UTF-8 continuation bytes.
#[must_use]
pub fn characters(text: &str) -> u64 {
    text.bytes().filter(|b| (*b as i8) >= -0x40).count() as u64
}
