//! Servers that can stand in for each other.

use quincevalve_names::{DataCentreName, ModelName, ServiceName};
use rustc_hash::FxHashMap;

use crate::ServerIndex;

/// What a server serves.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Target {
    /// A language model.
    Model(ModelName),
    /// A plain service.
    Service(ServiceName),
}

/// The key of a pool: every server that serves this target.
pub type PoolKey = Target;

/// One target's servers, by data centre, so that a decision looks at its own data centre's only.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    by_data_centre: FxHashMap<DataCentreName, Vec<ServerIndex>>,
    order: Vec<DataCentreName>,
}

impl Pool {
    pub(crate) fn push(&mut self, data_centre: &DataCentreName, server: ServerIndex) {
        if !self.by_data_centre.contains_key(data_centre) {
            self.order.push(data_centre.clone());
        }
        self.by_data_centre.entry(data_centre.clone()).or_default().push(server);
    }

    pub(crate) fn local(&self, data_centre: &DataCentreName) -> &[ServerIndex] {
        self.by_data_centre.get(data_centre).map_or(&[], Vec::as_slice)
    }

    pub(crate) fn data_centres(&self) -> &[DataCentreName] {
        &self.order
    }
}
