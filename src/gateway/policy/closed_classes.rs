//! Classes of a service's admission queue that an operator has closed to new requests.
//!
//! Answers overload that an operator wants to end by hand, such as a class that delays the ones
//! above it. Each closure expires, so that one that is forgotten doesn't refuse requests for ever.

use std::collections::BTreeMap;
use std::sync::Arc;

/// The closed classes of each service, and when each closure expires.
#[derive(Debug, Clone, Default)]
pub struct ClosedClasses {
    by_service: BTreeMap<Arc<str>, BTreeMap<u8, u64>>,
}

impl ClosedClasses {
    /// Closes a class. A later order replaces an earlier one, also by a shorter time.
    pub fn close(&mut self, service: &Arc<str>, class: u8, for_ms: u64, now_ms: u64) {
        let classes = self.by_service.entry(Arc::clone(service)).or_default();
        classes.insert(class, now_ms.saturating_add(for_ms));
    }

    /// Opens a class before its closure expires.
    pub fn open(&mut self, service: &str, class: u8) {
        if let Some(classes) = self.by_service.get_mut(service) {
            classes.remove(&class);
        }
    }

    /// For how long a class is still closed: the `Retry-After` of its new requests. `None` if it is
    /// open.
    pub fn left_ms(&self, service: &str, class: u8, now_ms: u64) -> Option<u64> {
        let until_ms = *self.by_service.get(service)?.get(&class)?;
        until_ms.checked_sub(now_ms).filter(|left_ms| *left_ms > 0)
    }

    /// The closed classes of a service, and for how long each stays closed.
    pub fn of(&self, service: &str, now_ms: u64) -> Vec<(u8, u64)> {
        let classes = self.by_service.get(service).into_iter().flat_map(|classes| classes.keys());
        classes.filter_map(|class| Some((*class, self.left_ms(service, *class, now_ms)?))).collect()
    }

    /// Drops expired closures.
    pub fn expire(&mut self, now_ms: u64) {
        self.by_service.retain(|_, classes| {
            classes.retain(|_, until_ms| *until_ms > now_ms);
            !classes.is_empty()
        });
    }
}
