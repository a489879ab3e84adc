//! The operator's whole configuration as it was sent, beside its typed form.

use std::fmt;
use std::sync::Arc;

use musli::{Decode, Encode};
use xxhash_rust::xxh3::xxh3_128;

use crate::check;
use crate::findings::Findings;
use crate::model::Configuration;

/// A configuration that was read and checked. Its bytes are kept as they were sent, fields that the system
/// doesn't know included.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    bytes: Arc<[u8]>,
    digest: [u8; 16],
    configuration: Arc<Configuration>,
}

/// Which document it is: its revision and a digest of its bytes. The default stands for no document.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct DocumentVersion {
    /// The operator's version number.
    pub revision: u64,
    #[musli(bytes)]
    digest: [u8; 16],
}

impl Document {
    /// Reads and checks a whole configuration.
    pub fn parse(bytes: &[u8]) -> Result<Document, Findings> {
        let configuration = Arc::new(check::configuration(bytes)?);
        let digest = xxh3_128(bytes).to_le_bytes();
        Ok(Document { bytes: Arc::from(bytes), digest, configuration })
    }

    /// The document as JSON: the bytes that the operator sent, or those that a change made.
    #[must_use]
    pub fn to_bytes(&self) -> Arc<[u8]> {
        Arc::clone(&self.bytes)
    }

    /// The same bytes as [`Document::to_bytes`], borrowed.
    #[must_use]
    pub fn text(&self) -> &[u8] {
        &self.bytes
    }

    /// The operator's version number.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.configuration.revision
    }

    /// Which document it is.
    #[must_use]
    pub fn version(&self) -> DocumentVersion {
        DocumentVersion { revision: self.revision(), digest: self.digest }
    }

    /// The typed form.
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
