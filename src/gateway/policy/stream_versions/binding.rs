//! What a run may go on at.

use super::super::super::fleet::SoftwareVersion;

/// The software version that a run is bound to, from its first event on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Binding {
    /// No event of it has gone to its caller, so any version may begin it.
    #[default]
    Unbound,
    /// It goes on at this version alone.
    Bound(SoftwareVersion),
}

impl Binding {
    /// Binds the run to the version that made its first event. It stays bound to that, whatever it
    /// is told later, unless it becomes known only then which one that was. Returns whether anything
    /// changed.
    pub fn bind(&mut self, version: &SoftwareVersion) -> bool {
        let is_named = |version: &SoftwareVersion| matches!(version, SoftwareVersion::Named(_));
        let is_new = match self {
            Binding::Unbound => true,
            Binding::Bound(known) => !is_named(known) && is_named(version),
        };
        if is_new {
            *self = Binding::Bound(version.clone());
        }
        is_new
    }

    /// Whether the run may go on at an engine of a version.
    pub fn allows(&self, version: &SoftwareVersion) -> bool {
        match self {
            Binding::Unbound => true,
            Binding::Bound(bound) => bound.fits(version),
        }
    }

    /// The version that the run is bound to, if it is.
    pub fn version(&self) -> Option<&SoftwareVersion> {
        match self {
            Binding::Unbound => None,
            Binding::Bound(version) => Some(version),
        }
    }
}
