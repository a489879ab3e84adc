//! Mutation testing: takes one mechanism at a time out of the sources and shows that the test that guards it fails.
//!
//! `mutations.toml` of this package lists the mutations: a text of a source file, what replaces it, and the test that
//! must fail then. [`run`] applies each to a clone of the repository. `docs/design/rules.md` says which rule of the
//! platform each mechanism keeps.

mod list;
mod run;

pub use list::{Mutation, MutationListError, TestId, read_list};
pub use run::{MutationOutcome, MutationResult, run};
