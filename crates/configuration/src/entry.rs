//! A change of the configuration as it is kept in the log: small where the change is small.

use musli::{Decode, Encode};
use snafu::{ResultExt, Snafu, ensure};

use crate::change::Patch;
use crate::delta::{Delta, DeltaError};
use crate::digest::RequestDigest;
use crate::document::{Document, DocumentVersion};
use crate::findings::{Fault, Findings};

/// A change that was decided on, and the documents between which it leads.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ChangeEntry {
    base: DocumentVersion,
    result: DocumentVersion,
    call: RequestDigest,
    content: ChangeContent,
}

/// What leads from the base to the resulting document.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) enum ChangeContent {
    /// The resulting document itself.
    Document(#[musli(bytes)] Vec<u8>),
    /// How its text differs from that of the base.
    Delta(Delta),
    /// The operator's change of named items, as it was sent.
    Patch(#[musli(bytes)] Vec<u8>),
}

/// Why an entry can't be applied: this member's state isn't that of the member which decided. It must not be
/// used any further.
#[derive(Debug, Snafu)]
pub enum ApplyError {
    /// The newest document has the revision on which the entry builds, but another content.
    #[snafu(display("the entry builds on {expected}, but {found} is in force"))]
    OtherBase {
        /// The document on which the entry builds.
        expected: DocumentVersion,
        /// The document in force.
        found: DocumentVersion,
    },
    /// The entry has led to another document than at the member which decided.
    #[snafu(display("the entry has led to {found} instead of {expected}"))]
    OtherResult {
        /// The document to which the entry leads.
        expected: DocumentVersion,
        /// The document to which it led here.
        found: DocumentVersion,
    },
    /// The document to which the entry led is invalid here.
    #[snafu(display("the entry has led to an invalid configuration: {source}"))]
    InvalidResult {
        /// What is wrong with it.
        source: Findings,
    },
    /// The entry uses text that the base doesn't have.
    #[snafu(display("the entry doesn't fit its base: {source}"))]
    UnfitDelta {
        /// What is missing.
        source: DeltaError,
    },
}

impl ChangeEntry {
    pub(crate) fn new(
        base: Option<&Document>,
        result: &Document,
        call: RequestDigest,
        content: ChangeContent,
    ) -> Self {
        ChangeEntry { base: version_of(base), result: result.version(), call, content }
    }

    /// The document on which the change builds.
    #[must_use]
    pub fn base(&self) -> DocumentVersion {
        self.base
    }

    /// The document to which the change leads.
    #[must_use]
    pub fn result(&self) -> DocumentVersion {
        self.result
    }

    /// The call that led to it.
    #[must_use]
    pub fn call(&self) -> RequestDigest {
        self.call
    }

    /// Checks that `base` is the document on which the change builds.
    pub(crate) fn check_base(&self, base: Option<&Document>) -> Result<(), ApplyError> {
        let found = version_of(base);
        ensure!(found == self.base, OtherBaseSnafu { expected: self.base, found });
        Ok(())
    }

    /// The document to which the change leads from its base, checked to be the one that was decided on.
    pub(crate) fn apply(&self, base: Option<&Document>) -> Result<Document, ApplyError> {
        self.check_base(base)?;
        let document = self.content.apply(base)?;
        let found = document.version();
        ensure!(found == self.result, OtherResultSnafu { expected: self.result, found });
        Ok(document)
    }
}

impl ChangeContent {
    /// The smaller form of a whole document: its difference to the base, or itself.
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
            ChangeContent::Patch(body) => patched(base, body).context(InvalidResultSnafu),
        }
    }
}

/// The document to which an operator's change of named items leads.
pub(crate) fn patched(base: Option<&Document>, body: &[u8]) -> Result<Document, Findings> {
    let Some(base) = base else { return Err(Findings::one("", Fault::NothingToChange)) };
    base.apply(&Patch::parse(body)?)
}

fn version_of(document: Option<&Document>) -> DocumentVersion {
    document.map(Document::version).unwrap_or_default()
}
