//! What lives as long as one version of the configuration.

pub mod fold;
pub mod objects;
pub mod reader;
pub mod record;
