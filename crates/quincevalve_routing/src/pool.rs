//! Pools of interchangeable servers.

use quincevalve_names::{DataCentreName, ModelName, ServiceName};
use rustc_hash::FxHashMap;

use crate::ServerIndex;

/// Model or service that a server provides.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Target {
    /// A language model.
    Model(ModelName),
    /// A plain service.
    Service(ServiceName),
}

/// Key of a pool, which contains all servers of one target.
pub type PoolKey = Target;

/// Servers of one target by data centre, so that a routing decision scans only the local ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    by_data_centre: FxHashMap<DataCentreName, Vec<ServerIndex>>,
    /// Data centres in insertion order.
    data_centres: Vec<DataCentreName>,
}

impl Pool {
    pub(crate) fn push(&mut self, data_centre: &DataCentreName, server: ServerIndex) {
        if !self.by_data_centre.contains_key(data_centre) {
            self.data_centres.push(data_centre.clone());
        }
        self.by_data_centre.entry(data_centre.clone()).or_default().push(server);
    }

    pub(crate) fn servers_in(&self, data_centre: &DataCentreName) -> &[ServerIndex] {
        self.by_data_centre.get(data_centre).map_or(&[], Vec::as_slice)
    }

    pub(crate) fn data_centres(&self) -> &[DataCentreName] {
        &self.data_centres
    }
}
