//! The prefix cache of a demo replica: the cached segments of prompts, and the events that publish them.

use std::collections::HashMap;

/// A segment of a prompt, as in the header `Prompt-Start`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// The segment's id, in hexadecimal digits.
    pub id: String,
    /// The segment's length in tokens.
    pub tokens: u32,
}

/// The segments in a `Prompt-Start` header, ID:TOKENS separated by commas; invalid entries are skipped.
#[must_use]
pub fn parse_prompt(header: &str) -> Vec<PromptSegment> {
    let segment = |text: &str| {
        let (id, tokens) = text.trim().split_once(':')?;
        Some(PromptSegment { id: id.to_owned(), tokens: tokens.parse().ok()? })
    };
    header.split(',').filter_map(segment).collect()
}

/// The key of a cached segment, which includes the salt and the model of the request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SegmentKey {
    salt: String,
    model: String,
    id: String,
}

/// The addition of a segment to the cache. Segments are never evicted, as a demo is short.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct CacheEvent {
    pub(super) salt: String,
    pub(super) model: String,
    pub(super) segment: PromptSegment,
}

/// A prefix cache without a size limit.
#[derive(Debug, Default)]
pub struct PrefixCache {
    segments: HashMap<SegmentKey, u32>,
    events: Vec<CacheEvent>,
}

impl PrefixCache {
    /// Caches all segments of a prompt, and returns the number of its tokens that were cached before. A segment
    /// counts only if all segments before it were cached too.
    pub fn insert(&mut self, salt: &str, model: &str, prompt: &[PromptSegment]) -> u32 {
        let key = |segment: &PromptSegment| SegmentKey {
            salt: salt.to_owned(),
            model: model.to_owned(),
            id: segment.id.clone(),
        };
        let cached = prompt.iter().take_while(|segment| self.segments.contains_key(&key(segment)));
        let cached_tokens = cached.map(|segment| segment.tokens).sum();
        for segment in prompt {
            if self.segments.insert(key(segment), segment.tokens).is_none() {
                let (salt, model) = (salt.to_owned(), model.to_owned());
                self.events.push(CacheEvent { salt, model, segment: segment.clone() });
            }
        }
        cached_tokens
    }

    /// Total number of cached tokens.
    #[must_use]
    pub fn cached_tokens(&self) -> u32 {
        self.segments.values().sum()
    }

    /// The events from number `first` on; empty if `first` is not reached yet.
    pub(super) fn events_since(&self, first: usize) -> &[CacheEvent] {
        self.events.get(first..).unwrap_or_default()
    }

    /// The number of the next event.
    pub(super) fn next_event(&self) -> usize {
        self.events.len()
    }
}
