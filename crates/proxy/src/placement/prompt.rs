//! What a request says of its prompt, and the key of the ring that follows from it.

use tulipridge_http1::codec::Head;
use tulipridge_prefix_cache_index::prefix_hash;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Hash of its id.
    pub hash: u64,
    /// Its tokens.
    pub tokens: u32,
}

impl PromptSegment {
    /// The part with this id.
    #[must_use]
    pub fn new(id: &str, tokens: u32) -> PromptSegment {
        PromptSegment { hash: prefix_hash(id), tokens }
    }
}

/// The prompt as the decision module takes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Hash of the last part that is shared with other requests.
    pub shared: Option<u64>,
    /// Hash of the last part, which belongs to the request or to its session.
    pub session: Option<u64>,
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Tokens of all segments but the last.
    pub shared_tokens: u32,
    /// Tokens of the answer at the most.
    pub max_output_tokens: u32,
}

impl Prompt {
    /// Tokens that no other request shares.
    #[must_use]
    pub fn unshared_tokens(&self) -> u32 {
        self.tokens.saturating_sub(self.shared_tokens)
    }
}

/// What the headers of a request say of its prompt, read once for all its attempts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptHeaders {
    /// The prompt as a whole.
    pub prompt: Prompt,
    /// The segments that are shared with other requests, in their order: all but the last.
    pub prefix_segments: Vec<PromptSegment>,
}

impl PromptHeaders {
    /// Reads `Prompt-Start` and `Token-Count`. What can't be read is taken as absent.
    pub fn read(head: &Head) -> PromptHeaders {
        let mut segments: Vec<_> =
            head.get("prompt-start").map(|list| segments(list).collect()).unwrap_or_default();
        let session = segments.pop();
        let shared_tokens = sum(&segments);
        let mut prompt = Prompt {
            shared: segments.last().map(|segment| segment.hash),
            session: session.map(|segment| segment.hash),
            tokens: session.map_or(0, |segment| shared_tokens.saturating_add(segment.tokens)),
            shared_tokens,
            max_output_tokens: 0,
        };
        if let Some((tokens, max_output_tokens)) = head.get("token-count").and_then(token_count) {
            (prompt.tokens, prompt.max_output_tokens) = (tokens, max_output_tokens);
        }
        PromptHeaders { prompt, prefix_segments: segments }
    }
}

fn segments(list: &str) -> impl Iterator<Item = PromptSegment> {
    let segments = list.split(',').map(str::trim).filter(|segment| !segment.is_empty());
    segments.map(|segment| {
        let (id, tokens) = segment.split_once(':').unwrap_or((segment, "0"));
        PromptSegment::new(id, tokens.trim().parse().unwrap_or(0))
    })
}

fn sum(segments: &[PromptSegment]) -> u32 {
    segments.iter().fold(0, |sum, segment| sum.saturating_add(segment.tokens))
}

fn token_count(value: &str) -> Option<(u32, u32)> {
    let (tokens, answer) = value.split_once(',')?;
    Some((tokens.trim().parse().ok()?, answer.trim().parse().ok()?))
}
