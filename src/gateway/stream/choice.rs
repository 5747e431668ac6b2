//! The choice of a run's next engine.

use std::rc::Rc;
use std::sync::Arc;

use super::super::ablation::Mechanism;
use super::super::dialect::Copy;
use super::super::policy::placement::Constraints;
use super::super::worker::Worker;
use super::{Run, caller_disconnected};

/// How long a run avoids a failure domain in which it lost an engine. Engines that crashed are back
/// after about 1.2 s, and if one domain of three were avoided for longer, copies would lie in the
/// same domain as their runs at the next loss.
const DOMAIN_AVOIDANCE_MS: u64 = 1_500;

impl Run {
    /// Chooses the engine that has the run's copy, else the one that has its prompt cached.
    pub(super) fn engine_with_memory(&mut self) -> Option<(Rc<Worker>, Option<Copy>)> {
        self.poll_pending_copy(self.traffic.now_ms());
        if let Some(copy) = self.copy.take()
            && self.is_copy_usable(&copy.worker)
            && self.allows(&copy.worker)
        {
            if let Some(release) = copy.release {
                release.cancel();
            }
            return Some((copy.worker, Some(copy.name)));
        }
        if let Some(worker) =
            self.own_prefix().and_then(|prefix| self.traffic.cache_location(prefix))
            && !self.excluded.contains(&worker.upstream.id)
            && self.is_eligible(&worker)
            && self.allows(&worker)
        {
            return Some((worker, None));
        }
        None
    }

    /// Waits for engines outside this instance's share of the service; returns whether there are more now.
    pub(super) async fn wait_for_more_upstreams(&mut self) -> bool {
        tokio::select! {
            () = caller_disconnected(&mut self.response_tx, &self.body_tx) => false,
            has_more = self.traffic.wait_for_more_upstreams(&self.job) => has_more,
        }
    }

    /// Chooses the engine with the lowest cost.
    pub(super) fn best_engine(&self) -> Option<Rc<Worker>> {
        let constraints = Constraints {
            need: self.need(),
            excluded: self.excluded.clone(),
            avoided_domains: self.avoided_domains(),
            apart_from: None,
            preferred_domain: Some(Arc::clone(&self.traffic.settings.domain)),
            can_repeat: self.can_retry_elsewhere(self.attempts + 1),
            binding: self.binding.clone(),
        };
        let prompt = &self.job.demand.prompt_parts;
        self.traffic.choose_for_prompt(&self.job.service, &constraints, prompt)
    }

    /// Failure domains in which the run recently lost an engine.
    pub(super) fn avoided_domains(&self) -> Vec<Arc<str>> {
        if !Mechanism::Avoid.is_on() {
            return Vec::new();
        }
        let now_ms = self.traffic.now_ms();
        let recent =
            self.lost_domains.iter().filter(|(_, at_ms)| at_ms + DOMAIN_AVOIDANCE_MS > now_ms);
        recent.map(|(domain, _)| Arc::clone(domain)).collect()
    }
}
