//! The faults that a trial can inject.

use snafu::Snafu;

/// Declares [`Fault`] with the command-line name of each variant.
macro_rules! faults {
    ($($variant:ident = $name:literal,)*) => {
        /// A fault to inject; several can be combined in one run.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub(crate) enum Fault {
            $($variant,)*
        }

        impl Fault {
            /// All faults, in declaration order.
            pub(crate) const ALL: &[Self] = &[$(Self::$variant,)*];

            /// Returns the name on the command line.
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

/// Error for a name that isn't a known fault.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("unknown fault `{name}`; see --help for the list"))]
pub(crate) struct UnknownFault {
    name: String,
}

impl Fault {
    /// Parses a comma-separated list of fault names.
    pub(crate) fn parse_list(list: &str) -> Result<Vec<Self>, UnknownFault> {
        let names = list.split(',').map(str::trim).filter(|it| !it.is_empty());
        names
            .map(|name| {
                let found = Self::ALL.iter().copied().find(|it| it.name() == name);
                found.ok_or_else(|| UnknownFault { name: name.to_owned() })
            })
            .collect()
    }

    /// Returns whether an accepted request may end without a complete answer, provided that the caller gets a truthful
    /// outcome. Only failures without prior notice allow this.
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

    /// Returns whether the fault kills an entry VM without notice. Only then may an answer be impossible to resume.
    pub(crate) const fn crashes_entry(self) -> bool {
        matches!(self, Self::CrashEntry)
    }
}
