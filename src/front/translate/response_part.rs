//! The content of a stream's events, independent of the dialect.

use super::text_fragment::TextFragment;

/// A part of a response.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponsePart {
    /// The stream begins.
    Start,
    /// Text.
    Text(TextFragment),
    /// A tool call begins; calls are numbered from 0.
    Call {
        /// Its number.
        number: u32,
        /// Its id, assigned by the replica.
        id: String,
        /// The tool's name.
        name: String,
    },
    /// A fragment of the tool's JSON input.
    Arguments(u32, TextFragment),
    /// Generation has stopped.
    Stop(Stop),
    /// Token usage.
    Usage(Usage),
    /// Keep-alive without content.
    Ping,
    /// The stream failed: type and message of the error.
    Error(String, String),
    /// The stream's last event.
    End,
    /// Something without a counterpart in other dialects.
    Unknown(String),
}

/// Why generation stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stop {
    /// The response is complete.
    Done,
    /// A stop sequence was generated; which one, if known.
    Sequence(Option<String>),
    /// The maximum number of tokens was reached.
    Length,
    /// Tools are to be called.
    Tools,
    /// The model refused, or a filter stopped it.
    Refused,
    /// Some other reason.
    Other,
}

/// Token usage.
#[derive(serde::Deserialize, serde::Serialize, Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Prompt tokens, cached ones included.
    pub prompt: u64,
    /// Cached prompt tokens, if stated.
    #[serde(rename = "kept")]
    pub cached: Option<u64>,
    /// Output tokens.
    #[serde(rename = "answer")]
    pub output: u64,
}

impl Usage {
    /// Prompt tokens that were not cached.
    #[must_use]
    pub fn uncached_prompt(self) -> u64 {
        self.prompt.saturating_sub(self.cached.unwrap_or(0))
    }

    /// The larger of each count: dialects state them at different points, and some state none at first.
    #[must_use]
    pub fn max(self, other: Usage) -> Usage {
        Usage {
            prompt: self.prompt.max(other.prompt),
            cached: self.cached.max(other.cached),
            output: self.output.max(other.output),
        }
    }
}
