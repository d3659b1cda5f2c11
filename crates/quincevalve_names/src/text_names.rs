//! Names as text, with one type for each kind of named object.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// Declares a name type over shared text, which is cheap to clone.
macro_rules! text_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
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
    /// A data centre. Reclaims and network partitions can affect all of its VMs at once.
    DataCentreName
}
text_name! {
    /// A region: data centres with low network latency between them.
    RegionName
}
text_name! {
    /// A customer of the operators. Fair shares and service-level objectives apply per account.
    ClientAccountName
}
text_name! {
    /// A backend server: a model engine worker or a worker of a plain service.
    BackendServerName
}
text_name! {
    /// A language model, as named in requests.
    ModelName
}
text_name! {
    /// A plain service, as named in request paths (`/s/{service}/…`).
    ServiceName
}
text_name! {
    /// A request class, which has a promised latency.
    ClassName
}
text_name! {
    /// A version of a service's software, as reported by its backend servers.
    ServerVersion
}
text_name! {
    /// The caller's `Idempotency-Key`, unique within one client account.
    IdempotencyKey
}
