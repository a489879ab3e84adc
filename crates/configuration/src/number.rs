//! Types for numbers of one kind each, so that a revision can't be taken for a rank, or an epoch for a sequence number.
//!
//! [`numbers`](crate::numbers) defines them, here and in the packages above. They are encoded as the plain number, and print as it.

/// Defines types of numbers that are encoded, and printed by `Display` and `Debug`, like the number in them.
///
/// The package that uses it needs `musli` among its dependencies.
#[macro_export]
macro_rules! numbers {
    ($($(#[$attribute:meta])* $name:ident($representation:ty);)+) => {$(
        $(#[$attribute])*
        #[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, ::musli::Encode, ::musli::Decode)]
        #[musli(transparent)]
        pub struct $name(pub $representation);

        impl ::std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                ::std::fmt::Display::fmt(&self.0, formatter)
            }
        }

        impl ::std::fmt::Debug for $name {
            fn fmt(&self, formatter: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                ::std::fmt::Debug::fmt(&self.0, formatter)
            }
        }
    )+};
}

/// Gives types of numbers that count without gaps the number after one.
#[macro_export]
macro_rules! counted {
    ($($name:ident),+) => {$(
        impl $name {
            /// The number after this one; `None` after the largest.
            #[must_use]
            pub fn checked_next(self) -> Option<$name> {
                self.0.checked_add(1).map($name)
            }

            /// The number after this one.
            ///
            /// # Panics
            ///
            /// After the largest number.
            #[must_use]
            pub fn next(self) -> $name {
                self.checked_next().expect("numbers are counted up one by one and don't run out")
            }
        }
    )+};
}

numbers! {
    /// The revision of a configuration, which the operator chooses. Revisions rise in uneven steps; 0 stands for no
    /// configuration.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(transparent)]
    Revision(u64);
    /// The revision of a model's weights, from 1 and rising. 0 is below all.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(transparent)]
    WeightsRevision(u64);
    /// The rank of a tenant's or a route's requests; 0 is the highest.
    Rank(u8);
}
