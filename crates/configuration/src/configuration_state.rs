//! The configuration in force and the recent requests that led to it; decides on the operator's next request.
//!
//! A decision changes nothing. The caller makes an accepted change durable and then applies it.

use std::borrow::Cow;

use musli::{Decode, Encode};
use snafu::{OptionExt, ResultExt, Snafu};

use crate::document::Document;
use crate::encoding::{self, EncodingError, Format};
use crate::entry::{self, ApplyError, ChangeContent, ChangeEntry};
use crate::fields::REVISION;
use crate::number::Revision;
use crate::recent_requests::RecentRequests;
use crate::request_digest::{RequestDigest, RequestKind};
use crate::validation_error::{ValidationErrorKind, ValidationErrors};

/// The base revision of the first configuration.
pub const NO_REVISION: Revision = Revision(0);

/// The format of a snapshot.
const SNAPSHOT_FORMAT: Format = Format(*b"CFS2");

/// The response to an operator's request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The same request was accepted before: it is acknowledged again (200).
    AlreadyAccepted,
    /// The request builds on another revision than the current one (412).
    Stale {
        /// The current revision; [`NO_REVISION`] if there is none.
        current: Revision,
    },
    /// The configuration or the patch is invalid (400).
    Invalid(ValidationErrors),
    /// The change is to be made durable and applied, and acknowledged after that (200).
    Accept(Box<AcceptedChange>),
}

/// An accepted change.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedChange {
    /// The new configuration.
    pub document: Document,
    /// Its entry in the replicated log.
    pub entry: ChangeEntry,
}

/// The effect of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryOutcome {
    /// Its document is in force now.
    Applied,
    /// None: an earlier entry of the same request has taken effect.
    Repeated,
    /// None: the configuration on which it builds was replaced by another request.
    Superseded,
}

/// The configuration in force, and the requests that were accepted lately.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigurationState {
    document: Option<Document>,
    recent_requests: RecentRequests,
}

/// Why a snapshot can't be restored.
#[derive(Debug, Snafu)]
pub enum SnapshotError {
    /// The bytes are not a snapshot of this format.
    #[snafu(display("cannot decode a configuration's state: {source}"))]
    Encoding {
        /// What is wrong with them.
        source: EncodingError,
    },
    /// The configuration in them is invalid.
    #[snafu(display("the decoded configuration is invalid: {source}"))]
    InvalidDocument {
        /// What is wrong with it.
        source: ValidationErrors,
    },
    /// The recent requests in them are not complete digests.
    #[snafu(display("the digests of recent requests are truncated"))]
    TruncatedRequests,
}

impl ConfigurationState {
    /// The configuration in force, if there is one.
    #[must_use]
    pub fn document(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    /// The revision in force; [`NO_REVISION`] if there is none.
    pub fn revision(&self) -> Revision {
        self.document.as_ref().map_or(NO_REVISION, Document::revision)
    }

    /// Decides on a complete configuration. Without `If-Match`, only a first configuration is accepted.
    #[must_use]
    pub fn decide_put(&self, if_match: Option<Revision>, body: &[u8]) -> Decision {
        self.decide(RequestKind::Put, if_match, body)
    }

    /// Decides on a patch.
    #[must_use]
    pub fn decide_patch(&self, if_match: Option<Revision>, body: &[u8]) -> Decision {
        self.decide(RequestKind::Patch, if_match, body)
    }

    /// Applies an entry of the replicated log.
    ///
    /// # Errors
    ///
    /// [`ApplyError`] if this state has diverged from the members' agreed one; it is left as it was, but must not be used
    /// any further.
    pub fn apply_entry(&mut self, entry: &ChangeEntry) -> Result<EntryOutcome, ApplyError> {
        let outcome = self.outcome(entry);
        if outcome == EntryOutcome::Applied {
            let document = entry.apply(self.document())?;
            self.replace(document, entry);
        }
        Ok(outcome)
    }

    /// Applies a change that this state itself has accepted: its document needn't be computed again.
    ///
    /// # Errors
    ///
    /// [`ApplyError::OtherBase`] if the document in force has the base's revision, but another content.
    pub fn apply_accepted(&mut self, change: AcceptedChange) -> Result<EntryOutcome, ApplyError> {
        let outcome = self.outcome(&change.entry);
        if outcome == EntryOutcome::Applied {
            change.entry.check_base(self.document())?;
            self.replace(change.document, &change.entry);
        }
        Ok(outcome)
    }

    /// The encoded state.
    pub fn to_snapshot(&self) -> Vec<u8> {
        let document = Cow::Borrowed(self.document.as_ref().map_or(&[][..], Document::text));
        encoding::encode(
            SNAPSHOT_FORMAT,
            &Snapshot { document, recent_requests: self.recent_requests.to_bytes() },
        )
    }

    /// Restores a state from the bytes of [`ConfigurationState::to_snapshot`].
    ///
    /// # Errors
    ///
    /// [`SnapshotError`] if the bytes are of another format or damaged, or if their configuration is invalid.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let snapshot: Snapshot<'_> = encoding::decode(SNAPSHOT_FORMAT, bytes).context(EncodingSnafu)?;
        let document = match snapshot.document.as_ref() {
            [] => None,
            text => Some(Document::parse(text).context(InvalidDocumentSnafu)?),
        };
        let recent_requests =
            RecentRequests::from_bytes(&snapshot.recent_requests).context(TruncatedRequestsSnafu)?;
        Ok(ConfigurationState { document, recent_requests })
    }

    fn decide(&self, kind: RequestKind, if_match: Option<Revision>, body: &[u8]) -> Decision {
        let base = if_match.unwrap_or(NO_REVISION);
        let request = match RequestDigest::of_configuration(kind, base, body) {
            Ok(digest) => digest,
            Err(error) => return Decision::Invalid(ValidationErrors::unreadable(&error)),
        };
        if self.recent_requests.contains(&request) {
            return Decision::AlreadyAccepted;
        }
        let current = self.revision();
        if base != current {
            return Decision::Stale { current };
        }
        match self.next_document(kind, body) {
            Ok(document) => Decision::Accept(Box::new(self.accepted(kind, request, body, document))),
            Err(errors) => Decision::Invalid(errors),
        }
    }

    fn next_document(&self, kind: RequestKind, body: &[u8]) -> Result<Document, ValidationErrors> {
        let document = match kind {
            RequestKind::Put => Document::parse(body)?,
            RequestKind::Patch => entry::patched_document(self.document(), body)?,
        };
        let current = self.revision();
        if document.revision() <= current {
            return Err(ValidationErrors::one(REVISION, ValidationErrorKind::RevisionNotAbove { current }));
        }
        Ok(document)
    }

    fn accepted(
        &self,
        kind: RequestKind,
        request: RequestDigest,
        body: &[u8],
        document: Document,
    ) -> AcceptedChange {
        let content = match kind {
            RequestKind::Put => ChangeContent::of_document(self.document(), &document),
            RequestKind::Patch => ChangeContent::Patch(body.to_vec()),
        };
        let entry = ChangeEntry::new(self.document(), &document, request, content);
        AcceptedChange { document, entry }
    }

    /// The effect that an entry has here, if its result is the accepted one.
    fn outcome(&self, entry: &ChangeEntry) -> EntryOutcome {
        if self.recent_requests.contains(&entry.request()) {
            return EntryOutcome::Repeated;
        }
        match entry.base().revision == self.revision() {
            true => EntryOutcome::Applied,
            false => EntryOutcome::Superseded,
        }
    }

    fn replace(&mut self, document: Document, entry: &ChangeEntry) {
        self.recent_requests.record(entry.request());
        self.document = Some(document);
    }
}

/// The encoded form of a state.
#[derive(Encode, Decode)]
struct Snapshot<'a> {
    /// The document in force; empty if there is none.
    #[musli(bytes)]
    document: Cow<'a, [u8]>,
    /// Digests of the recent requests, oldest first.
    #[musli(bytes)]
    recent_requests: Vec<u8>,
}
