//! What a request's body says of where it belongs: its length, its session, and the beginning that it shares.
//!
//! The API puts a prompt together as tools, system, messages; marks in it say up to where it is worth keeping. The
//! prompt up to the last mark is the ring's key: its hash is made from what is said, not from how the JSON spells
//! it, and is the same on every gateway.
//!
//! One case is set apart. Where the very end of a prompt is marked, the client keeps its conversation as it grows,
//! and its marks move from turn to turn; a key from them would send each turn to another real server, away from all
//! that was kept. Then only marks before the first answer count, and the end itself does not.

use xxhash_rust::xxh3::Xxh3;

use super::super::object::Text;
use super::request::{Block, Content, Request, Turn};

/// What a body says of its request's place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Route {
    /// The beginning that it shares with others.
    pub prefix: Option<u64>,
    /// Tokens of it.
    pub prefix_tokens: u32,
    /// Its conversation.
    pub session: u64,
    /// Tokens of the whole prompt.
    pub tokens: u32,
}

/// How [`Route::tokens`] counts.
pub const RULE: &str =
    "one token for four characters; 1600 for each image, and each document that is no text";
const MEDIA_TOKENS: u64 = 1600;

/// Takes a prompt in, piece by piece.
#[derive(Default)]
struct Prompt {
    hash: Xxh3,
    characters: u64,
    media: u64,
    /// The hash and the tokens up to the last mark, and to the one before it.
    mark: Option<(u64, u64)>,
    mark_before: Option<(u64, u64)>,
    /// Nothing came after the last mark.
    ends_marked: bool,
}

impl Prompt {
    fn tokens(&self) -> u64 {
        self.characters.div_ceil(4) + self.media * MEDIA_TOKENS
    }

    /// Adds a field: its name, then what it says with its length, so that no two sequences look the same.
    fn field(&mut self, name: u8, text: &str) {
        self.hash.update(&[name]);
        self.hash.update(&(text.len() as u64).to_le_bytes());
        self.hash.update(text.as_bytes());
        self.ends_marked = false;
    }

    fn words(&mut self, name: u8, text: &str) {
        self.field(name, text);
        self.characters += characters(text);
    }

    fn mark(&mut self, marked: bool) {
        if marked {
            self.mark_before = self.mark;
            self.mark = Some((self.hash.digest(), self.tokens()));
            self.ends_marked = true;
        }
    }

    fn content(&mut self, content: &Content<'_>) {
        if let Some(text) = content.plain() {
            self.words(b'T', text);
        }
        for block in content.blocks() {
            self.block(block);
        }
    }

    fn block(&mut self, block: &Block<'_>) {
        let text = |text: &Option<Text<'_>>| text.as_deref().map(str::to_owned);
        match block.kind() {
            // The same words are the same prompt, as a string or as a block.
            "text" => self.words(b'T', block.text.as_deref().unwrap_or_default()),
            kind => {
                self.field(b'K', kind);
                for part in [&block.text, &block.title, &block.context, &block.thinking, &block.name] {
                    if let Some(part) = part.as_deref() {
                        self.words(b'W', part);
                    }
                }
                for part in [&block.id, &block.tool_use_id, &block.data, &block.signature] {
                    if let Some(part) = part.as_deref() {
                        self.field(b'I', part);
                    }
                }
                if let Some(input) = block.input {
                    self.words(b'J', input.get());
                }
                if let Some(source) = block.origin() {
                    self.field(b'S', source.media_type.as_deref().unwrap_or_default());
                    let plain = source.kind.as_deref() == Some("text");
                    match (text(&source.data), plain) {
                        (Some(data), true) => self.words(b'D', &data),
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
        self.mark(block.cache_control.is_some());
    }

    fn turn(&mut self, turn: &Turn<'_>) {
        self.field(b'R', turn.role.as_deref().unwrap_or_default());
        if let Some(content) = &turn.content {
            self.content(content);
        }
    }
}

impl Route {
    /// Looks through a request.
    #[must_use]
    pub fn of(request: &Request<'_>) -> Route {
        let mut prompt = Prompt::default();
        for tool in request.tools() {
            prompt.field(b'N', tool.kind.as_deref().unwrap_or_default());
            prompt.words(b'W', tool.name.as_deref().unwrap_or_default());
            prompt.words(b'W', tool.description.as_deref().unwrap_or_default());
            prompt.words(b'J', tool.input_schema.map_or("", |s| s.get()));
            prompt.mark(tool.cache_control.is_some());
        }
        if let Some(system) = &request.system {
            prompt.field(b'Y', "");
            prompt.content(system);
        }
        // Without marks it is what comes before the conversation that others share.
        let before = (prompt.tokens() > 0).then(|| (prompt.hash.digest(), prompt.tokens()));
        let turns = request.turns();
        let mut early = None;
        for (n, turn) in turns.iter().enumerate() {
            prompt.turn(turn);
            // The first answer comes next, or would.
            if early.is_none() && turns.get(n + 1).is_none_or(|next| !next.is_user()) {
                early = Some(if prompt.ends_marked { prompt.mark_before } else { prompt.mark });
            }
        }
        let moving = prompt.ends_marked || request.cache_control.is_some();
        let marked = if moving { early.flatten() } else { prompt.mark };
        let shared = marked.or(before);
        let user = request.metadata.as_ref().and_then(|m| m.user_id.as_deref());
        Route {
            prefix: shared.map(|(hash, _)| hash),
            prefix_tokens: shared.map_or(0, |(_, tokens)| clamp(tokens)),
            session: user.map_or_else(|| opening(turns), |user| hash_of(b'U', user)),
            tokens: clamp(prompt.tokens()),
        }
    }
}

/// A conversation is known by how it began, where nobody says whose it is.
fn opening(turns: &[Turn<'_>]) -> u64 {
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
