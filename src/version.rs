//! Versions of the configuration: their records, objects and order.

pub mod fold;
pub mod objects;
pub mod reader;
pub mod record;
