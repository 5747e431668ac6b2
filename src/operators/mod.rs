//! Operators' commands and queries, and the configuration that commands change.

pub mod change;
pub mod command;
pub mod document;
pub mod operate;
pub mod query;
