//! Adapter between the gateway and the users' platform.
//!
//! Only this module uses the platform's terms. Elsewhere its machines are called
//! instances, its zones data centres, its servers upstreams, and its manifests
//! versions.

mod manifest_record;
mod records;
mod rollout_record;
mod store;
mod tenant_records;

pub use manifest_record::decode as decode_manifest;
pub use store::PlatformStore;
