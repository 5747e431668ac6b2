//! Cost model for placing a request on a model engine, measured in tokens.
//!
//! An engine reads one prompt after another, and while it reads, all its requests produce tokens
//! several times more slowly. Requests, copies and cached prompts share one memory. When the memory
//! runs out, the newest request is preempted and its prompt is read again. The cost of a request
//! therefore depends on the tokens that it reads and holds, not on the number of requests. Where
//! engines are uneven, it counts by the time that each part takes there. See
//! [docs/POLICY.md](../../../docs/POLICY.md) and
//! [docs/design/uneven-upstreams.md](../../../docs/design/uneven-upstreams.md).

/// Fraction of the copies that are eventually run: on a day with faults about one request in three
/// loses its engine, and more do where engines fail one after another.
const COPY_USE_FRACTION: f64 = 0.4;
/// Fraction of an engine's memory up to which its use adds no cost. The rest is needed for what
/// other instances place at the same moment, and for what finished requests leave behind.
const CROWDED_FRACTION: f64 = 0.75;
/// Cost of a request that fills an engine's memory, in units of one slowed request: the request
/// that is preempted for it reads its prompt again and is late, while the others are only slower
/// for a while.
const FULL_MEMORY_COST: f64 = 12.0;
/// Cost of waiting for one request to end, in units of one slowed request: the wait lasts as long
/// as a whole answer, several times as long as reading a prompt.
const SLOT_WAIT_COST: f64 = 4.0;
/// Minimum fraction of a prompt that counts as read, however much of it is cached: its last part is
/// unique to the request, and cached parts may have been evicted.
const MIN_READ_FRACTION: f64 = 0.05;

/// Resources that a request needs on an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Need {
    /// Number of tokens of its prompt; 0 for a request without a prompt to read.
    pub prompt_tokens: u64,
    /// Number of tokens that it will produce, as far as known.
    pub output_tokens: u64,
}

impl Need {
    /// Memory that the request occupies when it ends, in tokens.
    pub fn memory_tokens(self) -> u64 {
        self.prompt_tokens.saturating_add(self.output_tokens)
    }
}

/// Known load of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Number of requests that run or wait there.
    pub runs: f64,
    /// Number of copies of runs that are stored there.
    pub copies: f64,
    /// Tokens of prompts that it has yet to read.
    pub pending_tokens: u64,
    /// Tokens of memory that its requests and copies will occupy when they end.
    pub reserved_tokens: u64,
    /// Tokens of the prompt to be placed that it has cached.
    pub cached_tokens: u64,
    /// Size of its memory in tokens, if configured.
    pub memory_tokens: Option<u64>,
    /// Number of requests that it runs at once, if configured.
    pub slots: Option<u32>,
    /// Speed at which it reads prompts, relative to the median of its service.
    pub reading_speed: f64,
    /// Speed at which it runs requests, relative to the median of its service.
    pub running_speed: f64,
}

impl Default for Load {
    fn default() -> Load {
        Load {
            runs: 0.0,
            copies: 0.0,
            pending_tokens: 0,
            reserved_tokens: 0,
            cached_tokens: 0,
            memory_tokens: None,
            slots: None,
            reading_speed: 1.0,
            running_speed: 1.0,
        }
    }
}

impl Load {
    /// Whether its memory has room for a request or a copy in addition to everything reserved
    /// there.
    pub fn has_room(&self, need: Need) -> bool {
        self.memory_use(need) <= 1.0
    }

    /// Cost of placing a request here, in units of one request slowed while a prompt of this length
    /// is read by an engine of median speed.
    pub fn cost(&self, need: Need) -> f64 {
        let reading = self.reading_duration(need);
        let running = duration(self.running_speed);
        self.runs * reading
            + COPY_USE_FRACTION * self.copies * reading
            + self.wait_cost(need) * reading
            + self.slot_cost() * running
            + self.memory_cost(need, running)
            - self.cache_gain(need) * reading
            + self.own_cost(need)
    }

    /// How much longer than at median speed the request itself takes: its prompt is read more
    /// slowly, and it runs for longer. Both count the same, although the run lasts longer: waiting
    /// behind other prompts delays the first event, which a caller notices most.
    fn own_cost(&self, need: Need) -> f64 {
        let reading = self.reading_duration(need) - 1.0;
        let running = duration(self.running_speed) - 1.0;
        if need.prompt_tokens == 0 { running } else { reading + running }
    }

    /// Time to read a prompt relative to an engine of median speed. A request without a prompt is
    /// in the way of others for as long as it runs.
    fn reading_duration(&self, need: Need) -> f64 {
        duration(if need.prompt_tokens == 0 { self.running_speed } else { self.reading_speed })
    }

    /// The first event comes after all pending prompts are read, measured in the reading time of
    /// this request's own prompt.
    fn wait_cost(&self, need: Need) -> f64 {
        match need.prompt_tokens {
            0 => 0.0,
            prompt => self.pending_tokens as f64 / prompt as f64,
        }
    }

    /// Cached tokens need not be read, which slows neither this request nor those that run here.
    fn cache_gain(&self, need: Need) -> f64 {
        if need.prompt_tokens == 0 {
            return 0.0;
        }
        let cached_fraction = self.cached_tokens as f64 / need.prompt_tokens as f64;
        cached_fraction.min(1.0 - MIN_READ_FRACTION) * (1.0 + self.runs)
    }

    fn slot_cost(&self) -> f64 {
        let Some(slots) = self.slots.filter(|slots| *slots > 0) else { return 0.0 };
        SLOT_WAIT_COST * (self.runs + 1.0 - f64::from(slots)).max(0.0)
    }

    /// Memory is held for as long as requests run. What exceeds the memory is preempted, which
    /// costs no less on a fast engine.
    fn memory_cost(&self, need: Need, running_duration: f64) -> f64 {
        let crowding = (self.memory_use(need) - CROWDED_FRACTION) / (1.0 - CROWDED_FRACTION);
        let longer = running_duration - 1.0;
        let held = crowding.clamp(0.0, 1.0) * longer;
        let preempted = (crowding - 1.0).max(0.0) * longer.max(0.0);
        FULL_MEMORY_COST * (crowding.max(0.0) + held + preempted)
    }

    /// Fraction of its memory that is reserved, including this request.
    fn memory_use(&self, need: Need) -> f64 {
        let Some(memory_tokens) = self.memory_tokens.filter(|tokens| *tokens > 0) else {
            return 0.0;
        };
        let cached_tokens = self.cached_tokens.min(need.prompt_tokens);
        let used_tokens = need.memory_tokens().saturating_add(self.reserved_tokens) - cached_tokens;
        used_tokens as f64 / memory_tokens as f64
    }
}

/// Time for a piece of work relative to a speed of 1; an invalid speed counts as 1.
fn duration(speed: f64) -> f64 {
    if speed.is_finite() && speed > 0.0 { 1.0 / speed } else { 1.0 }
}
