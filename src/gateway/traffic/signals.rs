//! What upstreams ask for in their answers, and what this instance makes of it.

use super::super::dialect::Marks;
use super::super::worker::Worker;
use super::Traffic;

impl Traffic {
    /// Takes in what an upstream's answer says of the upstream itself.
    pub fn note_signals(&self, worker: &Worker, status: u16, marks: &Marks) {
        // Another one has the address and answers for itself.
        if status == 421 {
            return;
        }
        if let Some(load) = marks.load {
            worker.tell(load, self.now_ms());
        }
        let before = worker.set_rate_limit(marks.rate_limit);
        if before != marks.rate_limit {
            slog::info!(self.log, "upstream changed its rate limit";
                "upstream" => &*worker.upstream.id, "service" => &*worker.upstream.service,
                "per_s" => marks.rate_limit.map(|rate| rate.as_per_s()),
                "before_per_s" => before.map(|rate| rate.as_per_s()));
        }
    }
}
