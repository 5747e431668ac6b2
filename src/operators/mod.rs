//! Operators: their commands and queries, and the configuration that these change.

pub mod change;
pub mod command;
pub mod document;
pub mod operate;
pub mod query;
