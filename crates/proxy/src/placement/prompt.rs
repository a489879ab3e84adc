//! Parses the prompt headers of a request, from which the load balancer derives the ring key.

use tulipridge_http1::codec::Head;
use tulipridge_prefix_cache_index::prefix_hash;

/// A segment of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// The hash of the id of the segment.
    pub hash: u64,
    /// The number of tokens in the segment.
    pub tokens: u32,
}

impl PromptSegment {
    /// A segment with this id.
    #[must_use]
    pub fn new(id: &str, tokens: u32) -> PromptSegment {
        PromptSegment { hash: prefix_hash(id), tokens }
    }
}

/// The properties of a prompt that the load balancer uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Hash of the last segment that is shared with other requests.
    pub shared: Option<u64>,
    /// Hash of the last segment, which belongs to the request or to its session.
    pub session: Option<u64>,
    /// The number of tokens in the prompt.
    pub tokens: u32,
    /// The number of tokens in all segments except the last.
    pub shared_tokens: u32,
    /// The maximum number of tokens in the response.
    pub max_output_tokens: u32,
}

impl Prompt {
    /// The number of tokens that are not shared with other requests.
    #[must_use]
    pub fn unshared_tokens(&self) -> u32 {
        self.tokens.saturating_sub(self.shared_tokens)
    }
}

/// The prompt headers of a request, parsed once for all its attempts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptHeaders {
    /// The prompt as a whole.
    pub prompt: Prompt,
    /// The segments that are shared with other requests, in order: all except the last.
    pub prefix_segments: Vec<PromptSegment>,
}

impl PromptHeaders {
    /// Parses the headers `Prompt-Start` and `Token-Count`. Values that cannot be parsed count as absent.
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
    let (tokens, max_output_tokens) = value.split_once(',')?;
    Some((tokens.trim().parse().ok()?, max_output_tokens.trim().parse().ok()?))
}
