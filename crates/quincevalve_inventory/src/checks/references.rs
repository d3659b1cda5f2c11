//! Finds names that are used but not declared.
//!
//! A server of an undeclared model would get no traffic, and nobody would be told why.
//!
//! Example: `data_centre.erding.region: obb is not declared under region`.

use std::fmt::Display;

use super::Findings;
use crate::{Inventory, Serves};

pub(super) fn check(inventory: &Inventory, findings: &mut Findings<'_>) {
    for (name, data_centre) in &inventory.data_centre {
        let known = inventory.region.contains_key(&data_centre.region);
        let field = format!("data_centre.{name}.region");
        require(known, field, &data_centre.region, "region", findings);
    }
    for (name, account) in &inventory.account {
        let known = inventory.class.contains_key(&account.default_class);
        let field = format!("account.{name}.default_class");
        require(known, field, &account.default_class, "class", findings);
    }
    for (name, class) in &inventory.vm_class {
        for data_centre in class.price_milli.keys() {
            let known = inventory.data_centre.contains_key(data_centre);
            let field = format!("vm_class.{name}.price_milli.{data_centre}");
            require(known, field, data_centre, "data_centre", findings);
        }
    }
    check_servers(inventory, findings);
}

fn check_servers(inventory: &Inventory, findings: &mut Findings<'_>) {
    for (name, server) in &inventory.backend_server {
        let prefix = format!("backend_server.{name}");
        let known = inventory.data_centre.contains_key(&server.data_centre);
        let field = format!("{prefix}.data_centre");
        require(known, field, &server.data_centre, "data_centre", findings);
        let known = inventory.vm_class.contains_key(&server.vm_class);
        require(known, format!("{prefix}.vm_class"), &server.vm_class, "vm_class", findings);
        match &server.serves {
            Serves::Model(model) => {
                let known = inventory.model.contains_key(model);
                require(known, format!("{prefix}.serves.model"), model, "model", findings);
            }
            Serves::Service(service) => {
                let known = inventory.service.contains_key(service);
                require(known, format!("{prefix}.serves.service"), service, "service", findings);
            }
        }
    }
}

fn require<N>(known: bool, field: String, name: &N, table: &str, findings: &mut Findings<'_>)
where
    N: Display + ?Sized,
{
    if !known {
        findings.push(field, format!("`{name}` is not declared under `{table}`"));
    }
}
