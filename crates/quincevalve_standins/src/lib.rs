//! Small stand-ins for the systems outside: model engine, plain service, platform, network.
//!
//! They are scaffolding for the trial, the tests and the measurements. Each speaks the same protocol as
//! what it stands for, and each fault is a typed switch.

pub mod answers;
mod engine;
mod engine_model;
mod http_server;
mod lru;
mod platform;
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
