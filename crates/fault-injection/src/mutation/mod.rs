//! Mutation testing: removes one mechanism at a time from the sources and checks that the test of the mechanism fails.
//!
//! `mutations.toml` of this package lists the mutations: a text of a source file, its replacement, and the test that
//! must fail with the replacement. [`run`] applies each mutation to a clone of the repository. `docs/design/rules.md`
//! lists the rules of the platform and the mechanisms that implement them.

mod list;
mod run;

pub use list::{Mutation, MutationListError, TestId, read_list};
pub use run::{MutationOutcome, MutationResult, run};
