//! The configuration in force and the calls that led to it: decides on the operator's next call.
//!
//! Decisions change nothing. What is accepted is made durable by the caller, and then applied.

use std::borrow::Cow;

use musli::{Decode, Encode};
use snafu::{OptionExt, ResultExt, Snafu};

use crate::digest::{CallKind, RequestDigest};
use crate::document::Document;
use crate::encoding::{self, EncodingError, Format};
use crate::entry::{self, ApplyError, ChangeContent, ChangeEntry};
use crate::fields::REVISION;
use crate::findings::{Fault, Findings};
use crate::remembered::RememberedCalls;
use crate::wire;

/// The revision on which the first configuration builds.
pub const NO_REVISION: u64 = 0;

/// The form of a snapshot.
const SNAPSHOT_FORMAT: Format = Format(*b"CFS2");

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

/// A call that was accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedChange {
    /// The new configuration.
    pub document: Document,
    /// What the log keeps of it.
    pub entry: ChangeEntry,
}

/// What an entry has done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryOutcome {
    /// Its document is in force now.
    Applied,
    /// Nothing: an earlier entry of the same call has taken effect.
    Repeated,
    /// Nothing: it builds on a configuration that was replaced by another call.
    Superseded,
}

/// The newest configuration, and which calls were taken.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigurationState {
    document: Option<Document>,
    taken: RememberedCalls,
}

/// Why bytes give no state.
#[derive(Debug, Snafu)]
pub enum SnapshotError {
    /// The bytes aren't of this form.
    #[snafu(display("cannot decode a configuration's state: {source}"))]
    Encoding {
        /// What is wrong with them.
        source: EncodingError,
    },
    /// The configuration in them is invalid.
    #[snafu(display("the decoded configuration is invalid: {source}"))]
    InvalidDocument {
        /// What is wrong with it.
        source: Findings,
    },
    /// The remembered calls in them are no whole digests.
    #[snafu(display("the remembered calls are cut"))]
    CutCalls,
}

impl ConfigurationState {
    /// The newest configuration, if there is one.
    #[must_use]
    pub fn document(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    /// The newest revision; [`NO_REVISION`] if there is none.
    pub fn revision(&self) -> u64 {
        self.document.as_ref().map_or(NO_REVISION, Document::revision)
    }

    /// Decides on a whole configuration. Without `If-Match`, only a first configuration is taken.
    #[must_use]
    pub fn decide_put(&self, if_match: Option<u64>, body: &[u8]) -> Decision {
        self.decide(CallKind::Put, if_match, body)
    }

    /// Decides on a change of named items.
    #[must_use]
    pub fn decide_patch(&self, if_match: Option<u64>, body: &[u8]) -> Decision {
        self.decide(CallKind::Patch, if_match, body)
    }

    /// Applies an entry of the log.
    ///
    /// After an error the state is as before, but it isn't the one that the members agreed on.
    pub fn apply_entry(&mut self, entry: &ChangeEntry) -> Result<EntryOutcome, ApplyError> {
        let outcome = self.outcome(entry);
        if outcome == EntryOutcome::Applied {
            let document = entry.apply(self.document())?;
            self.replace(document, entry);
        }
        Ok(outcome)
    }

    /// Applies a change that this state itself has decided on: its document needn't be made again.
    pub fn apply_accepted(&mut self, change: AcceptedChange) -> Result<EntryOutcome, ApplyError> {
        let outcome = self.outcome(&change.entry);
        if outcome == EntryOutcome::Applied {
            change.entry.check_base(self.document())?;
            self.replace(change.document, &change.entry);
        }
        Ok(outcome)
    }

    /// The state as bytes.
    pub fn to_snapshot(&self) -> Vec<u8> {
        let document = Cow::Borrowed(self.document.as_ref().map_or(&[][..], Document::text));
        encoding::encode(SNAPSHOT_FORMAT, &Snapshot { document, taken: self.taken.to_bytes() })
    }

    /// The state from the bytes of [`ConfigurationState::to_snapshot`].
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let snapshot: Snapshot = encoding::decode(SNAPSHOT_FORMAT, bytes).context(EncodingSnafu)?;
        let document = match snapshot.document.as_ref() {
            [] => None,
            text => Some(Document::parse(text).context(InvalidDocumentSnafu)?),
        };
        let taken = RememberedCalls::from_bytes(&snapshot.taken).context(CutCallsSnafu)?;
        Ok(ConfigurationState { document, taken })
    }

    fn decide(&self, kind: CallKind, if_match: Option<u64>, body: &[u8]) -> Decision {
        let base = if_match.unwrap_or(NO_REVISION);
        let call = match RequestDigest::of_configuration(kind, base, body) {
            Ok(digest) => digest,
            Err(error) => return Decision::Invalid(wire::unreadable(&error)),
        };
        if self.taken.contains(&call) {
            return Decision::AlreadyTaken;
        }
        let current = self.revision();
        if base != current {
            return Decision::Stale { current };
        }
        match self.next_document(kind, body) {
            Ok(document) => Decision::Accept(Box::new(self.accepted(kind, call, body, document))),
            Err(findings) => Decision::Invalid(findings),
        }
    }

    fn next_document(&self, kind: CallKind, body: &[u8]) -> Result<Document, Findings> {
        let document = match kind {
            CallKind::Put => Document::parse(body)?,
            CallKind::Patch => entry::patched(self.document(), body)?,
        };
        let current = self.revision();
        if document.revision() <= current {
            return Err(Findings::one(REVISION, Fault::NotAbove { current }));
        }
        Ok(document)
    }

    fn accepted(
        &self,
        kind: CallKind,
        call: RequestDigest,
        body: &[u8],
        document: Document,
    ) -> AcceptedChange {
        let content = match kind {
            CallKind::Put => ChangeContent::of_document(self.document(), &document),
            CallKind::Patch => ChangeContent::Patch(body.to_vec()),
        };
        let entry = ChangeEntry::new(self.document(), &document, call, content);
        AcceptedChange { document, entry }
    }

    /// What an entry does here, if it leads where it should.
    fn outcome(&self, entry: &ChangeEntry) -> EntryOutcome {
        if self.taken.contains(&entry.call()) {
            return EntryOutcome::Repeated;
        }
        match entry.base().revision == self.revision() {
            true => EntryOutcome::Applied,
            false => EntryOutcome::Superseded,
        }
    }

    fn replace(&mut self, document: Document, entry: &ChangeEntry) {
        self.taken.remember(entry.call());
        self.document = Some(document);
    }
}

/// A state's form in a snapshot.
#[derive(Encode, Decode)]
struct Snapshot<'a> {
    /// The newest document; empty if there is none.
    #[musli(bytes)]
    document: Cow<'a, [u8]>,
    #[musli(bytes)]
    taken: Vec<u8>,
}
