//! What this instance tells its peers of its traffic.

use std::sync::Arc;

use super::super::loads::{LocalTraffic, SentRequests, UpstreamLoad};
use super::super::policy::isolation::Reach;
use super::super::worker::Worker;
use super::Traffic;

impl Traffic {
    /// Sends peers an update at once: the current load and lost upstreams.
    pub fn notify_peers(&self) {
        self.refresh_peer_update();
        self.shared.news.notify_one();
    }

    /// Sends peers an update if the load changed since the last sweep.
    pub(super) fn notify_peers_if_changed(&self) {
        let tokens = |worker: &Worker| worker.pending_tokens.get() + worker.reserved_tokens.get();
        let load = |worker: &Worker| u64::from(worker.runs.get()) + tokens(worker);
        let load = self.workers.borrow().values().map(|worker| load(worker)).sum();
        if self.reported_load.replace(load) != load {
            self.notify_peers();
        } else {
            self.refresh_peer_update();
        }
    }

    /// Refreshes what the next update to peers contains: load, lost upstreams, cache locations and
    /// retry counts.
    pub(super) fn refresh_peer_update(&self) {
        let now_ms = self.now_ms();
        let mut own = LocalTraffic::default();
        let locations = self.cache_locations.borrow();
        let entries = locations
            .iter()
            .flat_map(|(prefix, engines)| engines.iter().map(|engine| (*prefix, engine)));
        own.cache_locations =
            entries.map(|(prefix, engine)| (prefix, Arc::clone(&engine.upstream))).collect();
        for (service, budget) in self.retry_budgets.borrow().iter() {
            let (requests, repeats) = budget.counts_at(self.settings.repeat_window_ms, now_ms);
            own.sent.push(SentRequests { service: Arc::clone(service), requests, repeats });
        }
        // What this instance lost says nothing about an upstream while its own links are in doubt.
        if self.reach() == Reach::Normal {
            own.lost = self.losses.borrow().own();
        }
        own.queues = self.reported_queues();
        own.observations = self.reported_loads();
        for worker in self.workers.borrow().values() {
            let held = UpstreamLoad {
                upstream: Arc::clone(&worker.upstream.id),
                runs: worker.runs.get(),
                copies: worker.copies.get(),
                reading: worker.reading.get(),
                pending_tokens: worker.pending_tokens.get(),
                reserved_tokens: worker.reserved_tokens.get(),
            };
            if !held.is_empty() {
                own.loads.push(held);
            }
        }
        self.add_own_speeds(&mut own.observations);
        self.add_outcomes(&mut own);
        self.shared.set_own(own);
    }
}
