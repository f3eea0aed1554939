//! Tests of the product as separate processes, with faults injected.

mod env;
mod ledger;
mod matrix;
mod objects;
mod proxy;
mod raw;
mod scenarios;
