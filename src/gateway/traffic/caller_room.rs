//! Room for callers: connections, and memory for what they send.

use super::Traffic;

impl Traffic {
    /// Whether a new connection of a caller is taken; another one may have to yield to it.
    pub fn takes_connection(&self) -> bool {
        let (open, most) =
            (self.callers.count(), self.settings.machine.connections(&self.limits()));
        if open < most {
            return true;
        }
        let has_room = self.callers.free_connection(self.now_ms());
        let (counter, what) = match has_room {
            true => ("connections_yielded", "a connection yields to a new one"),
            false => ("connections_refused", "new connection refused: all others are served"),
        };
        self.metrics.count(counter);
        slog::warn!(self.log, "all connections of callers are taken"; "connections" => open,
            "outcome" => what);
        has_room
    }

    /// Has callers yield who don't take their answers, so that another one of so many bytes may be read.
    pub(super) fn free_for_answer(&self, bytes: usize) {
        let yielding = self.callers.free_for_answer(bytes, self.now_ms());
        if yielding > 0 {
            self.metrics.count_more("answers_yielded", yielding as u64);
            slog::warn!(self.log, "callers that don't take their answers yield";
                "callers" => yielding, "to_bytes" => bytes,
                "held_bytes" => self.answer_memory.borrow().used_bytes());
        }
    }

    /// Has callers yield so that the body of a request may grow to `bytes`. Returns whether any does.
    pub fn free_for_body(&self, bytes: usize, missing_bytes: usize) -> bool {
        let yielding = self.callers.free_for_body(bytes, missing_bytes, self.now_ms());
        if yielding > 0 {
            self.metrics.count_more("requests_yielded", yielding as u64);
            slog::warn!(self.log, "slow or longer requests yield"; "callers" => yielding,
                "to_bytes" => bytes, "missing_bytes" => missing_bytes,
                "held_bytes" => self.request_memory.borrow().used_bytes());
        }
        yielding > 0
    }
}
