//! The product as separate processes, under failure.

mod env;
mod ledger;
mod matrix;
mod objects;
mod raw;
mod relay;
mod scenarios;
