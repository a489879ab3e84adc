//! What the events of a stream say, in no dialect.

use super::text_fragment::TextFragment;

/// What an event says.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerPart {
    /// The stream begins.
    Start,
    /// Text of the answer.
    Text(TextFragment),
    /// The model begins to use a tool; uses are numbered from 0.
    Call {
        /// Its number.
        number: u32,
        /// Its id, made by the server.
        id: String,
        /// The tool's name.
        name: String,
    },
    /// More of the JSON that the tool is given.
    Arguments(u32, TextFragment),
    /// The answer is complete; why.
    Stop(Stop),
    /// Tokens.
    Usage(Usage),
    /// Nothing, to keep the connection.
    Ping,
    /// The stream failed: the kind of error and its words.
    Error(String, String),
    /// The stream's last event.
    End,
    /// Something that only its own dialect knows.
    Unknown(String),
}

/// Why an answer stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stop {
    /// It was complete.
    Done,
    /// One of the request's texts that end it came, which is told where it is known.
    Sequence(Option<String>),
    /// It reached its greatest length.
    Length,
    /// Tools are to be used.
    Tools,
    /// It was refused or cut by a filter.
    Refused,
    /// Some other reason.
    Other,
}

/// Tokens.
#[derive(serde::Deserialize, serde::Serialize, Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Of the prompt, those found kept included.
    pub prompt: u64,
    /// Of the prompt, those found kept, where that was told.
    pub kept: Option<u64>,
    /// Of the answer.
    pub answer: u64,
}

impl Usage {
    /// Of the prompt, those that were read anew.
    #[must_use]
    pub fn unkept(self) -> u64 {
        self.prompt.saturating_sub(self.kept.unwrap_or(0))
    }

    /// The greater of each: dialects tell them at different points, and some tell none at first.
    #[must_use]
    pub fn most(self, other: Usage) -> Usage {
        Usage {
            prompt: self.prompt.max(other.prompt),
            kept: self.kept.max(other.kept),
            answer: self.answer.max(other.answer),
        }
    }
}
