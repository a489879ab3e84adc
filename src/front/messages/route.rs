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

    fn content(&mut self, content: &Content) {
        if let Some(text) = content.plain() {
            self.words(b'T', text);
        }
        for block in content.blocks() {
            self.block(block);
        }
    }

    fn block(&mut self, block: &Block) {
        let text = |text: &Option<super::super::object::Text>| text.as_deref().map(str::to_owned);
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

    fn turn(&mut self, turn: &Turn) {
        self.field(b'R', turn.role.as_deref().unwrap_or_default());
        if let Some(content) = &turn.content {
            self.content(content);
        }
    }
}

impl Route {
    /// Looks through a request.
    pub fn of(request: &Request) -> Route {
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
fn opening(turns: &[Turn]) -> u64 {
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

/// Characters, as fast as bytes can be looked at: those that go on with one are not counted.
fn characters(text: &str) -> u64 {
    text.bytes().filter(|b| (*b as i8) >= -0x40).count() as u64
}

#[cfg(test)]
mod tests {
    use super::super::request::Purpose;
    use super::*;
    use crate::limits::MessagesLimits;
    use serde_json::{Value, json};

    fn route(body: &Value) -> Route {
        let text = body.to_string();
        Route::of(
            &Request::read(text.as_bytes(), Purpose::Answer, &MessagesLimits::default()).expect("good"),
        )
    }

    fn marked(text: &str) -> Value {
        json!({"type": "text", "text": text, "cache_control": {"type": "ephemeral"}})
    }

    fn asked(system: Value, turns: Value) -> Route {
        route(&json!({"model": "m", "max_tokens": 9, "system": system, "messages": turns}))
    }

    #[test]
    fn the_prompt_up_to_the_last_mark_is_the_key() {
        let user = |content: Value| json!({"role": "user", "content": content});
        let ask = |shared: &str, own: &str| {
            asked(json!("s"), json!([user(json!([marked(shared), {"type": "text", "text": own}]))]))
        };
        assert_eq!(ask("plan", "one").prefix, ask("plan", "two").prefix);
        assert_ne!(ask("plan", "one").prefix, ask("map", "one").prefix);
        assert_eq!(ask("plan", "one").prefix_tokens, 2, "five characters");
        assert_ne!(ask("plan", "one").session, ask("plan", "two").session);
        // An earlier mark makes no difference to a later one, but the tools and the system before it do.
        let both = asked(
            json!([marked("s")]),
            json!([user(json!([marked("plan"), {"type": "text", "text": "x"}]))]),
        );
        assert_eq!(both.prefix, ask("plan", "x").prefix);
        let other =
            asked(json!("t"), json!([user(json!([marked("plan"), {"type": "text", "text": "x"}]))]));
        assert_ne!(other.prefix, both.prefix);
    }

    #[test]
    fn how_json_spells_a_prompt_makes_no_difference() {
        let one = br#"{"model":"m","max_tokens":9,"system":"pl\u0061n \u00e9","messages":[{"role":"user","content":"x"}]}"#;
        let two = "{ \"messages\": [{\"content\": [{\"text\": \"x\", \"type\": \"text\"}], \"role\": \"user\"}],\
            \"system\": [{\"type\": \"text\", \"text\": \"plan \u{e9}\"}], \"max_tokens\": 9, \"model\": \"m\"}";
        let read = |body: &[u8]| {
            Route::of(&Request::read(body, Purpose::Answer, &MessagesLimits::default()).expect("good"))
        };
        assert_eq!(read(one), read(two.as_bytes()));
        // The same at every gateway and in every version: other gateways may run another one.
        assert_eq!(read(one).prefix, Some(13353248388496887024));
    }

    #[test]
    fn a_conversation_whose_marks_move_along_keeps_its_key() {
        let user = |content: Value| json!({"role": "user", "content": content});
        let answer = json!({"role": "assistant", "content": "a"});
        let first = asked(json!([marked("s")]), json!([user(json!([marked("q")]))]));
        let second =
            asked(json!([marked("s")]), json!([user(json!("q")), answer, user(json!([marked("r")]))]));
        let third = asked(
            json!([marked("s")]),
            json!([
                user(json!("q")),
                answer,
                user(json!([marked("r")])),
                answer,
                user(json!([marked("t")]))
            ]),
        );
        assert_eq!(first.prefix, second.prefix);
        assert_eq!(second.prefix, third.prefix);
        assert_eq!(first.session, third.session);
        // Examples that are marked before a question that is not are shared, answers and all.
        let shot = |question: &str| {
            asked(
                json!("s"),
                json!([
                    user(json!("q")),
                    answer,
                    user(json!([marked("r")])),
                    answer,
                    user(json!(question))
                ]),
            )
        };
        assert_eq!(shot("x").prefix, shot("y").prefix);
        assert_ne!(shot("x").prefix, third.prefix);
        // Without any mark the system is what is shared, and without a system nothing.
        let plain = asked(json!("s"), json!([user(json!("q"))]));
        assert_eq!((plain.prefix.is_some(), plain.prefix_tokens), (true, 1));
        assert_eq!(asked(json!(null), json!([user(json!("q"))])).prefix, None);
    }

    #[test]
    fn lengths_follow_the_rule_that_is_told() {
        let image = json!({"type": "image", "source": {"type": "url", "url": "u"}});
        let text = json!({"type": "text", "text": "\u{1f6eb}".repeat(8)});
        let told = asked(json!("abcd"), json!([{"role": "user", "content": [image, text]}]));
        assert_eq!(told.tokens, 1 + 2 + 1600);
        assert_eq!(characters("a\u{e9}\u{1f6eb}\u{20ac}"), 4);
    }
}
