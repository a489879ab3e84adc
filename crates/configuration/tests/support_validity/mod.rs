//! Random configurations and patches, and a second implementation of the rules on what is invalid.

pub(crate) mod generator;
pub(crate) mod patch_model;
pub(crate) mod rules;
