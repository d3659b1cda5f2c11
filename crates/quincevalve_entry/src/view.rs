//! Immutable snapshot of the configuration in force.

use std::collections::HashMap;

use indexmap::IndexMap;
use quincevalve_inventory::{Inventory, KeyHash, Serves};
use quincevalve_names::{BackendServerName, ClientAccountName, Revision};
use quincevalve_routing::{ServerSpec, Target};

/// A revision of the inventory with the lookup tables that the filters need.
///
/// Each request keeps the view that it was identified with, so that a configuration change during the request can't
/// show it a mix of old and new values.
#[derive(Clone, Debug)]
pub struct View {
    /// Revision of the inventory.
    pub revision: Revision,
    /// The validated inventory.
    pub inventory: Inventory,
    keys: HashMap<KeyHash, ClientAccountName>,
}

impl View {
    /// Creates a view of a validated inventory.
    pub fn new(revision: Revision, inventory: Inventory) -> Self {
        let accounts = inventory.account.iter();
        let keys = accounts
            .flat_map(|(name, account)| account.key_sha256.iter().map(|it| (*it, name.clone())))
            .collect();
        Self { revision, inventory, keys }
    }

    /// Returns the account that an API key belongs to.
    pub(crate) fn account_of(&self, key: &str) -> Option<&ClientAccountName> {
        let hash = KeyHash::of(key);
        // The hash table only finds the entry; the comparison that decides takes constant time.
        let (stored, account) = self.keys.get_key_value(&hash)?;
        stored.matches(&hash).then_some(account)
    }

    /// Returns the routing specification of each backend server.
    pub(crate) fn servers(&self) -> impl Iterator<Item = ServerSpec> {
        self.inventory.backend_server.iter().map(|(name, server)| {
            let classes: &IndexMap<_, _> = &self.inventory.vm_class;
            let tenure = classes.get(&server.vm_class).map(|it| it.tenure);
            ServerSpec {
                name: name.clone(),
                data_centre: server.data_centre.clone(),
                target: target_of(&server.serves),
                slots: server.slots,
                prefill_tokens_per_s: server.prefill_tokens_per_s,
                token_time: std::time::Duration::from_micros(u64::from(server.token_us)),
                reclaimable: tenure == Some(quincevalve_inventory::Tenure::Reclaimable),
                drained: server.drain,
            }
        })
    }

    /// Returns the address of a backend server.
    pub(crate) fn address(&self, name: &BackendServerName) -> Option<std::net::SocketAddr> {
        self.inventory.backend_server.get(name).map(|it| it.address)
    }
}

pub(crate) fn target_of(serves: &Serves) -> Target {
    match serves {
        Serves::Model(model) => Target::Model(model.clone()),
        Serves::Service(service) => Target::Service(service.clone()),
    }
}
