//! The faults that can be switched on.

use snafu::Snafu;

/// Declares the faults with their names in one table.
macro_rules! faults {
    ($($variant:ident = $name:literal,)*) => {
        /// A fault, alone or together with others.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub(crate) enum Fault {
            $($variant,)*
        }

        impl Fault {
            /// Every fault.
            pub(crate) const ALL: &[Self] = &[$(Self::$variant,)*];

            /// The name on the command line.
            pub(crate) const fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)*
                }
            }
        }
    };
}

faults! {
    ReclaimBackend = "reclaim-backend",
    ReclaimEntry = "reclaim-entry",
    ReclaimDataCentre = "reclaim-data-centre",
    CrashBackend = "crash-backend",
    CrashEntry = "crash-entry",
    StoreOutage = "store-outage",
    StoreAmbiguous = "store-ambiguous",
    StoreSlow = "store-slow",
    LeasePause = "lease-pause",
    SilentConnection = "silent-connection",
    Partition = "partition",
    LateEvents = "late-events",
    Reorder = "reorder",
    CloudRefusal = "cloud-refusal",
    PlannedStop = "planned-stop",
    Overload = "overload",
    OperatorRace = "operator-race",
}

/// A name that is no fault.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("`{name}` is no fault; --help lists them"))]
pub(crate) struct UnknownFault {
    name: String,
}

impl Fault {
    /// Reads a list with commas.
    pub(crate) fn parse_list(list: &str) -> Result<Vec<Self>, UnknownFault> {
        let names = list.split(',').map(str::trim).filter(|it| !it.is_empty());
        names
            .map(|name| {
                let found = Self::ALL.iter().copied().find(|it| it.name() == name);
                found.ok_or_else(|| UnknownFault { name: name.to_owned() })
            })
            .collect()
    }

    /// Whether an accepted request may end without a whole answer, if the truth is told: only where
    /// something went without notice.
    pub(crate) const fn is_unannounced(self) -> bool {
        matches!(
            self,
            Self::CrashBackend
                | Self::CrashEntry
                | Self::StoreOutage
                | Self::StoreAmbiguous
                | Self::SilentConnection
                | Self::Partition
        )
    }

    /// Whether an entry VM dies without notice: only then may a caller lose track of an answer.
    pub(crate) const fn crashes_entry(self) -> bool {
        matches!(self, Self::CrashEntry)
    }
}
