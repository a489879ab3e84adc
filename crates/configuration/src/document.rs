//! The complete configuration as the operator sent it, together with its typed form.

use std::fmt;
use std::sync::Arc;

use musli::{Decode, Encode};
use xxhash_rust::xxh3::xxh3_128;

use crate::model::Configuration;
use crate::number::Revision;
use crate::parse::{ParsedConfiguration, parse_configuration};
use crate::validation_error::ValidationErrors;

/// Length of the digest of a document in bytes.
const DIGEST_BYTES: usize = 16;

/// An accepted configuration. Its JSON is preserved byte for byte, including fields that the system does not know.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    bytes: Arc<[u8]>,
    digest: [u8; DIGEST_BYTES],
    configuration: Arc<Configuration>,
    violations: ValidationErrors,
}

/// Identifies a document by its revision and a digest (XXH3, 128 bits) of its bytes. The default means no document.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct DocumentVersion {
    /// The revision that the operator gave the document.
    pub revision: Revision,
    #[musli(bytes)]
    digest: [u8; DIGEST_BYTES],
}

impl Document {
    /// Parses and validates a complete configuration.
    ///
    /// # Errors
    ///
    /// All errors of the document, each with its path.
    pub fn parse(bytes: &[u8]) -> Result<Document, ValidationErrors> {
        let mut document = Document::restore(bytes)?;
        std::mem::take(&mut document.violations).into_result(document)
    }

    /// Parses a configuration that was accepted earlier. The version that accepted it may have validated less, so
    /// values that violate a rule are no error: [`Document::violations`] has them. A new configuration is parsed with
    /// [`Document::parse`].
    ///
    /// # Errors
    ///
    /// If the bytes can't be parsed, or if values have wrong types.
    pub fn restore(bytes: &[u8]) -> Result<Document, ValidationErrors> {
        let ParsedConfiguration { configuration, violations } = parse_configuration(bytes)?;
        let digest = xxh3_128(bytes).to_le_bytes();
        Ok(Document { bytes: Arc::from(bytes), digest, configuration: Arc::new(configuration), violations })
    }

    /// The rules that the document violates; empty unless an earlier version accepted it without checking them.
    #[must_use]
    pub fn violations(&self) -> &ValidationErrors {
        &self.violations
    }

    /// The document as JSON: the bytes that the operator sent, or the result of a patch.
    #[must_use]
    pub fn to_bytes(&self) -> Arc<[u8]> {
        Arc::clone(&self.bytes)
    }

    /// The same bytes as [`Document::to_bytes`], borrowed.
    #[must_use]
    pub fn text(&self) -> &[u8] {
        &self.bytes
    }

    /// The revision that the operator gave the document.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.configuration.revision
    }

    /// The identifier of the document: its revision and digest.
    #[must_use]
    pub fn version(&self) -> DocumentVersion {
        DocumentVersion { revision: self.revision(), digest: self.digest }
    }

    /// The typed form of the document.
    #[must_use]
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }
}

impl fmt::Display for DocumentVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let digest = u128::from_le_bytes(self.digest);
        write!(formatter, "revision {} ({digest:032x})", self.revision)
    }
}
