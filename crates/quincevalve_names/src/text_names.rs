//! Names that operators write in the inventory, one type per kind of thing.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// Declares a cheap-to-clone name type over shared text.
macro_rules! text_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as the operator wrote it.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &*self.0)
            }
        }
    };
}

text_name! {
    /// An entry VM: a machine of the system itself, between callers and backend servers.
    EntryVmName
}
text_name! {
    /// A data centre, the unit that reclaims and partitions hit as a whole.
    DataCentreName
}
text_name! {
    /// A region: data centres with short delays between them.
    RegionName
}
text_name! {
    /// A customer of the operators, the unit of fair shares and of service-level objectives.
    ClientAccountName
}
text_name! {
    /// A backend server: a model engine worker or a worker of a plain service.
    BackendServerName
}
text_name! {
    /// A language model as callers name it.
    ModelName
}
text_name! {
    /// A plain service as callers name it in `/s/{service}/…`.
    ServiceName
}
text_name! {
    /// A class of request with its latency promise.
    ClassName
}
text_name! {
    /// A version of a service's software, as its backend servers name it.
    ServerVersion
}
text_name! {
    /// The caller's `Idempotency-Key`, unique within one client account.
    IdempotencyKey
}
