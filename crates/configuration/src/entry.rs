//! A change of the configuration as the replicated log stores it. A small change gives a small entry.

use musli::{Decode, Encode};
use snafu::{ResultExt, Snafu, ensure};

use crate::delta::{Delta, DeltaError};
use crate::document::{Document, DocumentVersion};
use crate::patch::Patch;
use crate::request_digest::RequestDigest;
use crate::validation_error::{ValidationErrorKind, ValidationErrors};

/// An accepted change. It identifies the documents before and after the change, so that a member detects divergence.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ChangeEntry {
    base: DocumentVersion,
    result: DocumentVersion,
    request: RequestDigest,
    content: ChangeContent,
}

/// The data from which the resulting document is computed.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) enum ChangeContent {
    /// The JSON of the resulting document.
    Document(#[musli(bytes)] Vec<u8>),
    /// The difference between the texts of the base and the resulting document.
    Delta(Delta),
    /// The JSON of the operator's patch, as it was sent.
    Patch(#[musli(bytes)] Vec<u8>),
}

/// Reason why an entry can't be applied. In each case this member's state has diverged from that of the member which
/// accepted the change, and must no longer be used.
#[derive(Debug, Snafu)]
pub enum ApplyError {
    /// The document in force has the revision of the base, but different content.
    #[snafu(display("the entry builds on {expected}, but {found} is in force"))]
    BaseMismatch {
        /// The document on which the entry builds.
        expected: DocumentVersion,
        /// The document in force.
        found: DocumentVersion,
    },
    /// The resulting document differs from that of the member which accepted the change.
    #[snafu(display("the entry resulted in {found} instead of {expected}"))]
    ResultMismatch {
        /// The document that was accepted.
        expected: DocumentVersion,
        /// The document that results here.
        found: DocumentVersion,
    },
    /// The resulting document can't be parsed.
    #[snafu(display("the entry resulted in an invalid configuration: {source}"))]
    InvalidResult {
        /// Errors of the document.
        source: ValidationErrors,
    },
    /// The delta of the entry copies text from beyond the end of the base.
    #[snafu(display("the entry's delta does not match its base: {source}"))]
    DeltaMismatch {
        /// The range that the base lacks.
        source: DeltaError,
    },
}

impl ChangeEntry {
    pub(crate) fn new(
        base: Option<&Document>,
        result: &Document,
        request: RequestDigest,
        content: ChangeContent,
    ) -> Self {
        ChangeEntry { base: version_of(base), result: result.version(), request, content }
    }

    /// The document on which the change builds.
    #[must_use]
    pub fn base(&self) -> DocumentVersion {
        self.base
    }

    /// The resulting document.
    #[must_use]
    pub fn result(&self) -> DocumentVersion {
        self.result
    }

    /// The digest of the operator's request, by which a retry is recognised.
    #[must_use]
    pub fn request(&self) -> RequestDigest {
        self.request
    }

    /// Checks that `base` is the document on which the change builds.
    ///
    /// # Errors
    ///
    /// [`ApplyError::BaseMismatch`] if `base` is a different document.
    pub(crate) fn check_base(&self, base: Option<&Document>) -> Result<(), ApplyError> {
        let found = version_of(base);
        ensure!(found == self.base, BaseMismatchSnafu { expected: self.base, found });
        Ok(())
    }

    /// Computes the resulting document and checks that it is the one that was accepted.
    ///
    /// # Errors
    ///
    /// [`ApplyError`] if `base` is not the change's base, or if a different document results.
    pub(crate) fn apply(&self, base: Option<&Document>) -> Result<Document, ApplyError> {
        self.check_base(base)?;
        let document = self.content.apply(base)?;
        let found = document.version();
        ensure!(found == self.result, ResultMismatchSnafu { expected: self.result, found });
        Ok(document)
    }
}

impl ChangeContent {
    /// The smaller form of a complete document: the delta from the base, or the document.
    pub(crate) fn of_document(base: Option<&Document>, document: &Document) -> Self {
        let text = document.text();
        let delta = base.map(|base| Delta::between(base.text(), text));
        match delta.filter(|delta| delta.max_encoded_length() < text.len()) {
            Some(delta) => ChangeContent::Delta(delta),
            None => ChangeContent::Document(text.to_vec()),
        }
    }

    fn apply(&self, base: Option<&Document>) -> Result<Document, ApplyError> {
        match self {
            ChangeContent::Document(text) => Document::restore(text).context(InvalidResultSnafu),
            ChangeContent::Delta(delta) => {
                let text = delta.apply(base.map_or(&[], Document::text)).context(DeltaMismatchSnafu)?;
                Document::restore(&text).context(InvalidResultSnafu)
            }
            ChangeContent::Patch(body) => restore_patched_document(base, body).context(InvalidResultSnafu),
        }
    }
}

/// Applies an operator's patch to `base`.
///
/// # Errors
///
/// The errors of the patch or of the resulting document, or [`ValidationErrorKind::NothingToPatch`] without a base.
pub(crate) fn patched_document(base: Option<&Document>, body: &[u8]) -> Result<Document, ValidationErrors> {
    require_base(base)?.apply(&Patch::parse(body)?)
}

/// Applies a patch that was accepted earlier to `base`.
///
/// # Errors
///
/// If the patch or the resulting document can't be parsed, or [`ValidationErrorKind::NothingToPatch`] without a base.
fn restore_patched_document(base: Option<&Document>, body: &[u8]) -> Result<Document, ValidationErrors> {
    require_base(base)?.apply_accepted(&Patch::restore(body)?)
}

fn require_base(base: Option<&Document>) -> Result<&Document, ValidationErrors> {
    base.ok_or_else(|| ValidationErrors::single("", ValidationErrorKind::NothingToPatch))
}

fn version_of(document: Option<&Document>) -> DocumentVersion {
    document.map(Document::version).unwrap_or_default()
}
