//! What a request says of its prompt, and the key of the ring that follows from it.

use jetway::http::Head;

/// The prompt as the headers describe it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Hash of the last part that is shared with other requests.
    pub shared: Option<u64>,
    /// Hash of the last part, which belongs to the request or to its session.
    pub session: Option<u64>,
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Tokens of all parts but the last.
    pub shared_tokens: u32,
    /// Tokens of the answer at the most.
    pub answer_tokens: u32,
}

impl Prompt {
    /// Reads `Prompt-Start` and `Token-Count`. What can't be read is taken as absent.
    pub fn read(head: &Head) -> Prompt {
        let mut prompt = head.get("prompt-start").map(parts).unwrap_or_default();
        if let Some((tokens, answer_tokens)) = head.get("token-count").and_then(token_count) {
            (prompt.tokens, prompt.answer_tokens) = (tokens, answer_tokens);
        }
        prompt
    }
}

/// The parts that are shared with other requests, in their order, each with its id and its tokens: all but the last.
pub fn shared_parts(head: &Head) -> Vec<(&str, u32)> {
    let mut parts: Vec<_> = head.get("prompt-start").map(|list| split(list).collect()).unwrap_or_default();
    parts.pop();
    parts
}

fn split(list: &str) -> impl Iterator<Item = (&str, u32)> {
    let parts = list.split(',').map(str::trim).filter(|part| !part.is_empty());
    parts.map(|part| {
        let (id, tokens) = part.split_once(':').unwrap_or((part, "0"));
        (id, tokens.trim().parse().unwrap_or(0))
    })
}

fn parts(list: &str) -> Prompt {
    let mut prompt = Prompt::default();
    for (id, tokens) in split(list) {
        prompt.shared = prompt.session;
        prompt.session = Some(hash(id));
        prompt.shared_tokens = prompt.tokens;
        prompt.tokens = prompt.tokens.saturating_add(tokens);
    }
    prompt
}

fn token_count(value: &str) -> Option<(u32, u32)> {
    let (tokens, answer) = value.split_once(',')?;
    Some((tokens.trim().parse().ok()?, answer.trim().parse().ok()?))
}

/// FNV-1a: all gateways come to the same hash of a part, which the ring hashes again.
pub fn hash(id: &str) -> u64 {
    const OFFSET: u64 = 0xCBF2_9CE4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01B3;
    id.bytes().fold(OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}
