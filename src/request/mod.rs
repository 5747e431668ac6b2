//! Request handling: from the socket through admission and placement to an engine or a service.

pub mod admission;
pub mod admission_task;
pub mod attempt;
pub mod auth;
pub mod budget;
pub mod call;
pub mod callers;
pub mod claim;
pub mod connections;
pub mod engine;
pub mod follow;
pub mod generate;
pub mod generation;
pub mod generation_request;
pub mod intake;
pub mod placement;
pub mod registry;
pub mod reply;
pub mod runner;
pub mod server;
pub mod shared;
