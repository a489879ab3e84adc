//! Integer newtypes, so that a revision can't be mistaken for a priority, or an epoch for a sequence number.
//!
//! [`integer_newtypes`](crate::integer_newtypes) defines such types, here and in the packages that depend on this one.
//! Their binary encoding and text are those of the plain integer.

/// Defines integer newtypes whose binary encoding, `Display` and `Debug` text are those of the integer.
///
/// The calling package must depend on `musli`.
#[macro_export]
macro_rules! integer_newtypes {
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

/// Implements `next` and `checked_next` for integer newtypes whose values increase in steps of one.
#[macro_export]
macro_rules! sequential_newtypes {
    ($($name:ident),+) => {$(
        impl $name {
            /// The next number; `None` after the largest.
            #[must_use]
            pub fn checked_next(self) -> Option<$name> {
                self.0.checked_add(1).map($name)
            }

            /// The next number.
            ///
            /// # Panics
            ///
            /// If this is the largest number.
            #[must_use]
            pub fn next(self) -> $name {
                self.checked_next().expect("the next number must not exceed the maximum of its type")
            }
        }
    )+};
}

integer_newtypes! {
    /// The revision of a configuration, which the operator chooses. Revisions rise in uneven steps; 0 means that no
    /// configuration is in force.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(transparent)]
    Revision(u64);
    /// The revision of a model's weights. Revisions start at 1 and rise; 0 is less than each of them.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(transparent)]
    WeightsRevision(u64);
    /// The priority of the requests of a tenant or a route; 0 is the highest, and greater numbers are lower.
    Priority(u8);
}
