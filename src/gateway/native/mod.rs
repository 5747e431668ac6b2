//! The gateway's own interface: its settings as flags, its configuration as a file, its own names
//! of headers. Nothing here decides anything; another deployment brings its own [`Dialect`] and
//! [`Directory`] instead.
//!
//! [`Dialect`]: super::dialect::Dialect
//! [`Directory`]: super::directory::Directory

use std::sync::Arc;

use super::directory::Directory;
use super::server::Gateway;
use crate::error::Result;
use crate::settings_file;
use settings::Native;

pub mod document;
pub mod duties;
pub mod file;
mod operate;
pub mod quarantine;
pub mod queue;
pub mod settings;
pub mod wire;

/// Starts a gateway from flags, once its configuration file is whole.
///
/// # Errors
///
/// If the configuration file can't be used, with every fault and its remedy; or if a thread can't be
/// started.
pub async fn start(settings: Native, logger: slog::Logger) -> Result<Gateway> {
    settings_file::wait_for(&logger, || document::read(&settings.config)).await?;
    let path = settings.config;
    let make = Box::new(move || {
        let directory: Box<dyn Directory> = Box::new(file::File::new(path));
        directory
    });
    Gateway::start(settings.gateway, Arc::new(wire::Wire), make, logger)
}

/// Does nothing: flags can't change while a process runs, and the configuration file is watched.
///
/// # Errors
///
/// Never.
pub fn reload() -> Result<()> {
    Ok(())
}
