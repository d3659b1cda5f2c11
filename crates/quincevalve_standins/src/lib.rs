//! Simulated external systems: model engine, plain service, platform and network.
//!
//! Tests, trials and measurements use them in place of the real systems. Each implements the protocol of the system that
//! it replaces, and each fault can be injected with a typed switch.

pub mod answers;
mod engine;
mod engine_model;
mod http_server;
mod platform;
mod prefix_cache;
mod service;
mod store_model;
mod wire;

pub use crate::{
    engine::{Engine, EngineFaults, EngineLedger},
    engine_model::{EngineModel, EngineSpeed, Job, ModelOutput},
    platform::{Platform, PlatformFaults},
    service::{PlainService, ServiceLedger},
    store_model::StoreModel,
    wire::{Cuts, Wire},
};
