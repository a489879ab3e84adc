//! The configuration in force and the calls that led to it: decides on the operator's next call.
//!
//! Decisions change nothing. What is accepted is made durable by the caller, and then applied.

use std::borrow::Cow;
use std::collections::VecDeque;

use musli::{Decode, Encode};
use snafu::{ResultExt, Snafu};

use crate::change::Patch;
use crate::digest::{CallKind, RequestDigest};
use crate::document::Document;
use crate::findings::{Fault, Findings};
use crate::wire;

/// Calls that are remembered, so that one that is sent again is known.
pub const REMEMBERED_CALLS: usize = 256;

/// The revision on which the first configuration builds.
pub const NO_REVISION: u64 = 0;

const REVISION: &str = "revision";

/// The answer to an operator's call.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The same call was taken before: it is acknowledged again (200).
    AlreadyTaken,
    /// The call builds on another revision than the current one (412).
    Stale {
        /// The current revision; [`NO_REVISION`] if there is none.
        current: u64,
    },
    /// The configuration or the change is invalid (400).
    Invalid(Findings),
    /// The call is to be made durable and applied, and acknowledged after that (200).
    Accept(Box<AcceptedChange>),
}

/// A call that was accepted: what it leads to, and what it is known by.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedChange {
    /// The new configuration.
    pub document: Document,
    /// The call's digest.
    pub digest: RequestDigest,
}

/// The newest configuration, and which calls were taken.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigurationState {
    document: Option<Document>,
    taken: VecDeque<RequestDigest>,
}

/// Why bytes give no state or change.
#[derive(Debug, Snafu)]
pub enum DecodeError {
    /// The bytes aren't of this form.
    #[snafu(display("cannot decode a configuration's state"))]
    Malformed {
        /// What the decoder says.
        source: musli::wire::Error,
    },
    /// The configuration in them is invalid.
    #[snafu(display("the decoded configuration is invalid: {source}"))]
    InvalidDocument {
        /// What is wrong with it.
        source: Findings,
    },
}

impl ConfigurationState {
    /// The newest configuration, if there is one.
    pub fn document(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    /// The newest revision; [`NO_REVISION`] if there is none.
    pub fn revision(&self) -> u64 {
        self.document.as_ref().map_or(NO_REVISION, Document::revision)
    }

    /// Decides on a whole configuration. Without `If-Match`, only a first configuration is taken.
    pub fn decide_put(&self, if_match: Option<u64>, body: &[u8]) -> Decision {
        self.decide(CallKind::Put, if_match, body)
    }

    /// Decides on a change of named items.
    pub fn decide_patch(&self, if_match: Option<u64>, body: &[u8]) -> Decision {
        self.decide(CallKind::Patch, if_match, body)
    }

    /// Puts an accepted change in force.
    pub fn apply(&mut self, change: AcceptedChange) {
        self.taken.push_back(change.digest);
        if self.taken.len() > REMEMBERED_CALLS {
            self.taken.pop_front();
        }
        self.document = Some(change.document);
    }

    /// The state as bytes.
    pub fn to_snapshot(&self) -> Vec<u8> {
        let document = self.document.as_ref().map(Document::to_bytes);
        let document = Cow::Borrowed(document.as_deref().unwrap_or_default());
        encode(&Snapshot { document, taken: self.taken.iter().copied().collect() })
    }

    /// The state from the bytes of [`ConfigurationState::to_snapshot`].
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, DecodeError> {
        let snapshot: Snapshot = musli::wire::from_slice(bytes).context(MalformedSnafu)?;
        let document = match snapshot.document.as_ref() {
            [] => None,
            bytes => Some(Document::parse(bytes).context(InvalidDocumentSnafu)?),
        };
        Ok(ConfigurationState { document, taken: snapshot.taken.into() })
    }

    fn decide(&self, kind: CallKind, if_match: Option<u64>, body: &[u8]) -> Decision {
        let base = if_match.unwrap_or(NO_REVISION);
        let digest = match RequestDigest::new(kind, base, body) {
            Ok(digest) => digest,
            Err(error) => return Decision::Invalid(wire::unreadable(&error)),
        };
        if self.taken.contains(&digest) {
            return Decision::AlreadyTaken;
        }
        let current = self.revision();
        if base != current {
            return Decision::Stale { current };
        }
        match self.next_document(kind, body) {
            Ok(document) => Decision::Accept(Box::new(AcceptedChange { document, digest })),
            Err(findings) => Decision::Invalid(findings),
        }
    }

    fn next_document(&self, kind: CallKind, body: &[u8]) -> Result<Document, Findings> {
        let document = match kind {
            CallKind::Put => Document::parse(body)?,
            CallKind::Patch => self.patched(body)?,
        };
        let current = self.revision();
        if document.revision() <= current {
            return Err(Findings::one(REVISION, Fault::NotAbove { current }));
        }
        Ok(document)
    }

    fn patched(&self, body: &[u8]) -> Result<Document, Findings> {
        let Some(document) = &self.document else {
            return Err(Findings::one("", Fault::NothingToChange));
        };
        document.apply(&Patch::parse(body)?)
    }
}

impl AcceptedChange {
    /// The change as bytes, for the log and the backups.
    pub fn to_bytes(&self) -> Vec<u8> {
        let document = self.document.to_bytes();
        encode(&EncodedChange { document: Cow::Borrowed(&document), digest: self.digest })
    }

    /// The change from the bytes of [`AcceptedChange::to_bytes`].
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, DecodeError> {
        let change: EncodedChange = musli::wire::from_slice(bytes).context(MalformedSnafu)?;
        let document = Document::parse(&change.document).context(InvalidDocumentSnafu)?;
        Ok(AcceptedChange { document, digest: change.digest })
    }
}

/// A state's form in a snapshot.
#[derive(Encode, Decode)]
struct Snapshot<'a> {
    /// The newest document; empty if there is none.
    #[musli(bytes)]
    document: Cow<'a, [u8]>,
    taken: Vec<RequestDigest>,
}

/// An accepted change's form in the log.
#[derive(Encode, Decode)]
struct EncodedChange<'a> {
    #[musli(bytes)]
    document: Cow<'a, [u8]>,
    digest: RequestDigest,
}

/// Encoding into memory has no way to fail for these types.
fn encode<T: Encode<musli::mode::Binary>>(value: &T) -> Vec<u8> {
    musli::wire::to_vec(value).expect("a value of plain fields can be encoded")
}
