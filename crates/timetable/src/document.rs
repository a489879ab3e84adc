//! The operator's whole configuration as it was sent, beside its typed form.

use std::sync::Arc;

use crate::check;
use crate::findings::Findings;
use crate::model::Configuration;

/// A configuration that was read and checked. Its bytes are kept as they were sent, fields that the system
/// doesn't know included.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    bytes: Arc<[u8]>,
    configuration: Arc<Configuration>,
}

impl Document {
    /// Reads and checks a whole configuration.
    pub fn parse(bytes: &[u8]) -> Result<Document, Findings> {
        let configuration = Arc::new(check::configuration(bytes)?);
        Ok(Document { bytes: Arc::from(bytes), configuration })
    }

    /// The document as JSON: the bytes that the operator sent, or those that a change made.
    pub fn to_bytes(&self) -> Arc<[u8]> {
        Arc::clone(&self.bytes)
    }

    /// The operator's version number.
    pub fn revision(&self) -> u64 {
        self.configuration.revision
    }

    /// The typed form.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }
}
