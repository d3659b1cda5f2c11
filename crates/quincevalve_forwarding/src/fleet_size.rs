//! How many servers of each kind a service should have in each data centre.

use indexmap::IndexMap;
use quincevalve_names::{DataCentreName, TimePoint};

use crate::config::Scaling;

/// The work that a service's servers have at present, in servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Servers that would be busy all the time with the work that comes.
    pub busy: f64,
}

/// Servers in a data centre at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Present {
    /// Reclaimable ones that take new work.
    pub reclaimable: u32,
    /// On-demand ones that take new work.
    pub on_demand: u32,
}

/// The number of servers to order in a data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Order {
    /// Reclaimable ones.
    pub reclaimable: u32,
    /// On-demand ones.
    pub on_demand: u32,
}

/// The part of its time that a server should be busy: queues of prompts stay short below it.
const TARGET_BUSY: f64 = 0.5;

/// Whether reclaimable servers can be had in a data centre.
#[derive(Clone, Debug, Default)]
pub struct Market {
    refused: IndexMap<DataCentreName, TimePoint>,
}

impl Market {
    /// Notes that an order for reclaimable servers was refused.
    pub fn refused(&mut self, data_centre: &DataCentreName, now: TimePoint) {
        self.refused.insert(data_centre.clone(), now);
    }

    /// Notes that an order for reclaimable servers was taken.
    pub fn taken(&mut self, data_centre: &DataCentreName) {
        self.refused.swap_remove(data_centre);
    }

    /// Whether an order was refused lately.
    pub fn is_refused(&self, data_centre: &DataCentreName) -> bool {
        self.refused.contains_key(data_centre)
    }
}

/// Plans the servers of a service.
///
/// Load: reclaimable servers cost a fraction of on-demand ones, and all of a data centre's go at once.
/// They are spread evenly, so the loss of one data centre leaves the rest with enough; what is missing
/// while none can be had is ordered on demand, where it is cheapest.
pub fn plan(
    scaling: &Scaling,
    demand: Demand,
    present: &IndexMap<DataCentreName, Present>,
    market: &Market,
) -> IndexMap<DataCentreName, Order> {
    let centres = present.len().max(1) as f64;
    let needed = (demand.busy / TARGET_BUSY).max(1.0);
    // One more data centre's worth, so that the rest carries the load when one goes.
    let spread = (needed / (centres - 1.0).max(1.0)).ceil().max(1.0);
    let each = (spread as u32).clamp(scaling.min, scaling.max);
    if scaling.reclaimable_price.is_none() {
        return present
            .keys()
            .map(|it| (it.clone(), Order { reclaimable: 0, on_demand: each }))
            .collect();
    }
    let mut orders: IndexMap<DataCentreName, Order> =
        present.keys().map(|it| (it.clone(), Order { reclaimable: each, on_demand: 0 })).collect();
    let reclaimable: u32 = present.values().map(|it| it.reclaimable).sum();
    let mut missing = (needed.ceil() as u32).saturating_sub(reclaimable);
    let mut cheapest: Vec<_> = present.keys().cloned().collect();
    cheapest.sort_by(|a, b| price(scaling, a).total_cmp(&price(scaling, b)));
    for centre in cheapest {
        let Some(order) = orders.get_mut(&centre) else { continue };
        let have = present.get(&centre).map_or(0, |it| it.reclaimable);
        let asked = if market.is_refused(&centre) { have } else { order.reclaimable };
        let more = missing.min(scaling.max.saturating_sub(asked));
        order.on_demand = more;
        missing -= more;
    }
    orders
}

fn price(scaling: &Scaling, centre: &DataCentreName) -> f64 {
    scaling.prices.get(centre).copied().unwrap_or(1.0)
}
