//! A change of the configuration as the replicated log stores it: small where the change is small.

use musli::{Decode, Encode};
use snafu::{ResultExt, Snafu, ensure};

use crate::delta::{Delta, DeltaError};
use crate::document::{Document, DocumentVersion};
use crate::patch::Patch;
use crate::request_digest::RequestDigest;
use crate::validation_error::{ValidationErrorKind, ValidationErrors};

/// An accepted change, with the documents before and after it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ChangeEntry {
    base: DocumentVersion,
    result: DocumentVersion,
    request: RequestDigest,
    content: ChangeContent,
}

/// How the resulting document follows from the base.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) enum ChangeContent {
    /// The resulting document itself.
    Document(#[musli(bytes)] Vec<u8>),
    /// The difference between its text and that of the base.
    Delta(Delta),
    /// The operator's patch, as it was sent.
    Patch(#[musli(bytes)] Vec<u8>),
}

/// Why an entry can't be applied: this member's state has diverged from that of the member which accepted the change. The
/// state must not be used any further.
#[derive(Debug, Snafu)]
pub enum ApplyError {
    /// The document in force has the base's revision, but another content.
    #[snafu(display("the entry builds on {expected}, but {found} is in force"))]
    OtherBase {
        /// The document on which the entry builds.
        expected: DocumentVersion,
        /// The document in force.
        found: DocumentVersion,
    },
    /// The resulting document is another one than at the member which accepted the change.
    #[snafu(display("the entry has led to {found} instead of {expected}"))]
    OtherResult {
        /// The document that was accepted.
        expected: DocumentVersion,
        /// The document that results here.
        found: DocumentVersion,
    },
    /// The resulting document is invalid.
    #[snafu(display("the entry has led to an invalid configuration: {source}"))]
    InvalidResult {
        /// What is wrong with it.
        source: ValidationErrors,
    },
    /// The entry copies text that the base doesn't have.
    #[snafu(display("the entry doesn't fit its base: {source}"))]
    UnfitDelta {
        /// The range that is missing.
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

    /// The digest of the operator's request.
    #[must_use]
    pub fn request(&self) -> RequestDigest {
        self.request
    }

    /// Checks that `base` is the document on which the change builds.
    ///
    /// # Errors
    ///
    /// [`ApplyError::OtherBase`] if it is another one.
    pub(crate) fn check_base(&self, base: Option<&Document>) -> Result<(), ApplyError> {
        let found = version_of(base);
        ensure!(found == self.base, OtherBaseSnafu { expected: self.base, found });
        Ok(())
    }

    /// The resulting document, checked to be the one that was accepted.
    ///
    /// # Errors
    ///
    /// [`ApplyError`] if `base` is another document than the change's base, or if another document results.
    pub(crate) fn apply(&self, base: Option<&Document>) -> Result<Document, ApplyError> {
        self.check_base(base)?;
        let document = self.content.apply(base)?;
        let found = document.version();
        ensure!(found == self.result, OtherResultSnafu { expected: self.result, found });
        Ok(document)
    }
}

impl ChangeContent {
    /// The smaller form of a complete document: its difference to the base, or itself.
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
            ChangeContent::Document(text) => Document::parse(text).context(InvalidResultSnafu),
            ChangeContent::Delta(delta) => {
                let text = delta.apply(base.map_or(&[], Document::text)).context(UnfitDeltaSnafu)?;
                Document::parse(&text).context(InvalidResultSnafu)
            }
            ChangeContent::Patch(body) => patched_document(base, body).context(InvalidResultSnafu),
        }
    }
}

/// The document that results from an operator's patch.
///
/// # Errors
///
/// What is wrong with the patch or with the resulting document, or that there is no base.
pub(crate) fn patched_document(base: Option<&Document>, body: &[u8]) -> Result<Document, ValidationErrors> {
    let Some(base) = base else {
        return Err(ValidationErrors::one("", ValidationErrorKind::NothingToPatch));
    };
    base.apply(&Patch::parse(body)?)
}

fn version_of(document: Option<&Document>) -> DocumentVersion {
    document.map(Document::version).unwrap_or_default()
}
