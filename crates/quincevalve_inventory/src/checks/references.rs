//! Reports references to names that are not declared.
//!
//! A server of an undeclared model would receive no traffic, without any error that states the reason.
//!
//! Example: `data_centre.erding.region: obb is not declared under region`.

use std::fmt::Display;

use super::Findings;
use crate::{Inventory, Serves};

pub(super) fn check(inventory: &Inventory, findings: &mut Findings<'_>) {
    for (name, data_centre) in &inventory.data_centre {
        let declared = inventory.region.contains_key(&data_centre.region);
        let field = format!("data_centre.{name}.region");
        require(declared, field, &data_centre.region, "region", findings);
    }
    for (name, account) in &inventory.account {
        let declared = inventory.class.contains_key(&account.default_class);
        let field = format!("account.{name}.default_class");
        require(declared, field, &account.default_class, "class", findings);
    }
    for (name, class) in &inventory.vm_class {
        for data_centre in class.price_milli.keys() {
            let declared = inventory.data_centre.contains_key(data_centre);
            let field = format!("vm_class.{name}.price_milli.{data_centre}");
            require(declared, field, data_centre, "data_centre", findings);
        }
    }
    check_servers(inventory, findings);
}

fn check_servers(inventory: &Inventory, findings: &mut Findings<'_>) {
    for (name, server) in &inventory.backend_server {
        let prefix = format!("backend_server.{name}");
        let declared = inventory.data_centre.contains_key(&server.data_centre);
        let field = format!("{prefix}.data_centre");
        require(declared, field, &server.data_centre, "data_centre", findings);
        let declared = inventory.vm_class.contains_key(&server.vm_class);
        require(declared, format!("{prefix}.vm_class"), &server.vm_class, "vm_class", findings);
        match &server.serves {
            Serves::Model(model) => {
                let declared = inventory.model.contains_key(model);
                require(declared, format!("{prefix}.serves.model"), model, "model", findings);
            }
            Serves::Service(service) => {
                let declared = inventory.service.contains_key(service);
                require(declared, format!("{prefix}.serves.service"), service, "service", findings);
            }
        }
    }
}

fn require<N>(declared: bool, field: String, name: &N, table: &str, findings: &mut Findings<'_>)
where
    N: Display + ?Sized,
{
    if !declared {
        findings.push(field, format!("`{name}` is not declared under `{table}`"));
    }
}
