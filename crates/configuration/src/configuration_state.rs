//! State machine of the configuration: decides on the operator's requests and applies entries of the replicated log.
//!
//! A decision leaves the state unchanged: the caller makes an accepted change durable and then applies it.

use std::borrow::Cow;

use musli::{Decode, Encode};
use snafu::{OptionExt, ResultExt, Snafu};

use crate::document::Document;
use crate::encoding::{self, DecodeError, Format};
use crate::entry::{self, ApplyError, ChangeContent, ChangeEntry};
use crate::fields::REVISION;
use crate::number::Revision;
use crate::recent_requests::RecentRequests;
use crate::request_digest::{RequestDigest, RequestKind};
use crate::validation_error::{ValidationErrorKind, ValidationErrors};

/// The revision on which the first configuration builds.
pub const NO_REVISION: Revision = Revision(0);

/// Identifier at the start of each snapshot.
const SNAPSHOT_FORMAT: Format = Format(*b"CFS2");

/// Decision on an operator's request. The numbers of the variants are HTTP statuses of the response.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The same request was accepted earlier and is acknowledged again (200).
    AlreadyAccepted,
    /// The request builds on another revision than the current one (412).
    Stale {
        /// The current revision; [`NO_REVISION`] before the first configuration.
        current: Revision,
    },
    /// The configuration or the patch is invalid (400).
    Invalid(ValidationErrors),
    /// The change is acknowledged after it has been made durable and applied (200).
    Accept(Box<AcceptedChange>),
}

/// A change that was accepted but not yet applied.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedChange {
    /// The resulting configuration.
    pub document: Document,
    /// The change as it is stored in the replicated log.
    pub entry: ChangeEntry,
}

/// Effect of a log entry on the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryOutcome {
    /// The document of the entry is in force.
    Applied,
    /// No effect: an earlier entry of the same request was applied.
    Duplicate,
    /// No effect: another request replaced the configuration on which the entry builds.
    Superseded,
}

/// The configuration in force, and the digests of recently accepted requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigurationState {
    document: Option<Document>,
    recent_requests: RecentRequests,
}

/// Reason why a snapshot can't be restored.
#[derive(Debug, Snafu)]
pub enum SnapshotError {
    /// The bytes are not an intact snapshot of this format.
    #[snafu(display("cannot decode the configuration snapshot: {source}"))]
    Encoding {
        /// Error of the decoder.
        source: DecodeError,
    },
    /// The configuration in the snapshot can't be parsed.
    #[snafu(display("the configuration in the snapshot cannot be parsed: {source}"))]
    InvalidDocument {
        /// Errors of the configuration.
        source: ValidationErrors,
    },
    /// The last digest of a recent request is incomplete.
    #[snafu(display("the digests of recent requests are truncated"))]
    TruncatedRequests,
}

impl ConfigurationState {
    /// The configuration in force; `None` before the first one.
    #[must_use]
    pub fn document(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    /// The revision in force; [`NO_REVISION`] before the first configuration.
    pub fn revision(&self) -> Revision {
        self.document.as_ref().map_or(NO_REVISION, Document::revision)
    }

    /// Decides on a complete configuration. Without `If-Match`, only the first configuration is accepted.
    #[must_use]
    pub fn decide_put(&self, if_match: Option<Revision>, body: &[u8]) -> Decision {
        self.decide(RequestKind::Put, if_match, body)
    }

    /// Decides on a patch, which needs a configuration to apply to.
    #[must_use]
    pub fn decide_patch(&self, if_match: Option<Revision>, body: &[u8]) -> Decision {
        self.decide(RequestKind::Patch, if_match, body)
    }

    /// Applies an entry of the replicated log.
    ///
    /// # Errors
    ///
    /// [`ApplyError`] if this state has diverged from that of the member which accepted the change. The state is
    /// unchanged then, but must no longer be used.
    pub fn apply_entry(&mut self, entry: &ChangeEntry) -> Result<EntryOutcome, ApplyError> {
        let outcome = self.outcome_of(entry);
        if outcome == EntryOutcome::Applied {
            let document = entry.apply(self.document())?;
            self.set_document(document, entry);
        }
        Ok(outcome)
    }

    /// Applies a change that this state accepted, without computing its document a second time.
    ///
    /// # Errors
    ///
    /// [`ApplyError::BaseMismatch`] if the document in force has the revision of the base, but different content.
    pub fn apply_accepted(&mut self, change: AcceptedChange) -> Result<EntryOutcome, ApplyError> {
        let outcome = self.outcome_of(&change.entry);
        if outcome == EntryOutcome::Applied {
            change.entry.check_base(self.document())?;
            self.set_document(change.document, &change.entry);
        }
        Ok(outcome)
    }

    /// Encodes the state; [`ConfigurationState::from_snapshot`] restores it.
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
    /// [`SnapshotError`] if the bytes have another format or are damaged, or if the configuration in them can't be
    /// parsed.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let snapshot: Snapshot<'_> = encoding::decode(SNAPSHOT_FORMAT, bytes).context(EncodingSnafu)?;
        let document = match snapshot.document.as_ref() {
            [] => None,
            text => Some(Document::restore(text).context(InvalidDocumentSnafu)?),
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
            Ok(document) => Decision::Accept(Box::new(self.accepted_change(kind, request, body, document))),
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
            return Err(ValidationErrors::single(
                REVISION,
                ValidationErrorKind::RevisionNotAbove { current },
            ));
        }
        Ok(document)
    }

    fn accepted_change(
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

    /// The effect of an entry on this state, provided that applying it gives the accepted result.
    fn outcome_of(&self, entry: &ChangeEntry) -> EntryOutcome {
        if self.recent_requests.contains(&entry.request()) {
            return EntryOutcome::Duplicate;
        }
        match entry.base().revision == self.revision() {
            true => EntryOutcome::Applied,
            false => EntryOutcome::Superseded,
        }
    }

    fn set_document(&mut self, document: Document, entry: &ChangeEntry) {
        self.recent_requests.record(entry.request());
        self.document = Some(document);
    }
}

/// Layout of an encoded state.
#[derive(Encode, Decode)]
struct Snapshot<'a> {
    /// JSON of the document in force; empty before the first configuration.
    #[musli(bytes)]
    document: Cow<'a, [u8]>,
    /// Digests of the recent requests, oldest first.
    #[musli(bytes)]
    recent_requests: Vec<u8>,
}
