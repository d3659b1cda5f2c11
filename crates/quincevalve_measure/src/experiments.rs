//! The experiments, one module each.

mod admission;
mod cost;
mod digests;
mod ledger;
mod path;
mod peers;
mod placement;
mod plan;
mod recovery;
mod retries;
mod routing;
mod slopes;

use crate::table::Table;

/// Declares the `Experiment` enum together with the experiments' command-line names.
macro_rules! experiments {
    ($($variant:ident = $name:literal => $module:ident,)*) => {
        /// An experiment that can be selected on the command line.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub(crate) enum Experiment {
            $($variant,)*
        }

        impl Experiment {
            /// All experiments.
            pub(crate) const ALL: &[Self] = &[$(Self::$variant,)*];

            /// Returns the experiment's name on the command line.
            pub(crate) const fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)*
                }
            }

            /// Runs the experiment and returns its tables.
            pub(crate) fn run(self, seed: u64) -> Vec<Table> {
                match self {
                    $(Self::$variant => $module::run(seed),)*
                }
            }
        }
    };
}

experiments! {
    Admission = "admission" => admission,
    Routing = "routing" => routing,
    Cost = "cost" => cost,
    Retries = "retries" => retries,
    Ledger = "ledger" => ledger,
    Recovery = "recovery" => recovery,
    Slopes = "slopes" => slopes,
    Plan = "plan" => plan,
    Peers = "peers" => peers,
    Path = "path" => path,
    Digests = "digests" => digests,
    Placement = "placement" => placement,
}
