//! Counters, each as its own type.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Declares an ordered counter type.
macro_rules! number {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// Returns the next value.
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

number! {
    /// A revision of the operators' configuration. A node never applies a lower revision than its current one.
    Revision(u64)
}
number! {
    /// A fencing number. An order with a lower number than the highest one received is stale.
    FencingNumber(u64)
}
number! {
    /// An incarnation of a VM. Each restart under the same address has a higher number.
    Incarnation(u64)
}
number! {
    /// The position of a token in an answer, starting at zero.
    Sequence(u32)
}
number! {
    /// A count of model tokens.
    TokenCount(u32)
}
