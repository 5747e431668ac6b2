//! Free places for requests over all engines of a service.
//!
//! A place is room for one more run: memory for its whole prompt and output, a slot, and an engine
//! that has no long queue of prompts to read. Every instance computes the list of places from the
//! same reports, so the lists agree but for the last moment's changes, and the request of rank k
//! takes the k-th place without asking anybody. See
//! [docs/design/hard-load.md](../../../docs/design/hard-load.md).

use std::collections::BTreeSet;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::decide::Random;

/// Number of prompts that an engine may have to read at once. With two, the second prompt's caller
/// waits for one other prompt, and the engine doesn't idle while the next request is on its way.
const MAX_PENDING_PROMPTS: u64 = 2;
/// Sizes of places are rounded up to a multiple of an engine's memory divided by this, so that
/// instances whose reports differ a little agree on them.
const SIZE_STEPS: u64 = 64;
/// Steps in which the part of time that an engine reads is told apart. Of two engines with as many
/// prompts to read, the one that read less lately goes first: runs beside prompts are several times
/// slower, and last shorter if all engines read equally often.
const READING_STEPS: f64 = 5.0;
/// Part of the free memory that copies which are still missing can claim before new runs: runs that
/// can't be copied at all must not keep others out.
const MAX_CLAIMED_BY_COPIES: f64 = 0.5;

/// An engine with what runs there and what was promised to others.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineRoom {
    /// Its id.
    pub id: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Size of its memory.
    pub memory_tokens: u64,
    /// Memory that its runs and copies will occupy when they end.
    pub reserved_tokens: u64,
    /// Tokens of prompts that it has yet to read.
    pub pending_tokens: u64,
    /// Part of the last seconds in which it read prompts, 0 to 1.
    pub reading_share: f64,
    /// Number of requests that it runs or that wait there.
    pub runs: u64,
    /// Number of copies that it holds.
    pub copies: u64,
    /// Number of requests that it runs at once, if configured.
    pub slots: Option<u32>,
}

/// Memory of a place, the same for all requests of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlaceSize {
    memory_tokens: u64,
}

impl PlaceSize {
    /// The mean size of what runs at the engines when it ends; `default_tokens` while nothing does.
    pub fn typical(engines: &[EngineRoom], default_tokens: u64) -> PlaceSize {
        let held: u64 = engines.iter().map(|engine| engine.runs + engine.copies).sum();
        let reserved_tokens: u64 = engines.iter().map(|engine| engine.reserved_tokens).sum();
        let mean_tokens = reserved_tokens.checked_div(held).unwrap_or(0);
        let size_tokens = if mean_tokens == 0 { default_tokens } else { mean_tokens };
        let memory_tokens = engines.first().map_or(1, |engine| engine.memory_tokens);
        let step_tokens = (memory_tokens / SIZE_STEPS).max(1);
        let size_tokens = size_tokens.max(1).next_multiple_of(step_tokens);
        PlaceSize { memory_tokens: size_tokens.min(memory_tokens.max(1)) }
    }
}

impl EngineRoom {
    /// Number of runs or copies that its memory has room for.
    fn memory_places(&self, size: PlaceSize) -> u64 {
        self.memory_tokens.saturating_sub(self.reserved_tokens) / size.memory_tokens
    }

    /// Number of prompts that it has yet to read, at least.
    fn pending_prompts(&self, size: PlaceSize) -> u64 {
        self.pending_tokens.div_ceil(size.memory_tokens)
    }

    /// Its part of time spent reading in steps, so that instances that measured it a little
    /// differently agree.
    fn reading_step(&self) -> u64 {
        (self.reading_share.clamp(0.0, 1.0) * READING_STEPS).round() as u64
    }

    /// Number of runs that may be sent to it now.
    fn places(&self, size: PlaceSize) -> u64 {
        let slots = self.slots.map_or(u64::MAX, u64::from).saturating_sub(self.runs);
        let prompts = MAX_PENDING_PROMPTS.saturating_sub(self.pending_prompts(size));
        self.memory_places(size).min(slots).min(prompts)
    }
}

/// Lists the free places for runs, as indices of engines, best place first.
///
/// If copies are kept, each run needs memory for its copy at another engine as well, and copies that
/// are missing go before new runs.
pub fn places(engines: &[EngineRoom], size: PlaceSize, missing_copies: Option<u64>) -> Vec<usize> {
    let mut ranked: Vec<(u64, u64, u64, usize)> = Vec::new();
    for (index, engine) in engines.iter().enumerate() {
        let pending_prompts = engine.pending_prompts(size);
        let hash = xxh3_64(engine.id.as_bytes());
        for nth in 0..engine.places(size) {
            ranked.push((pending_prompts + nth, engine.reading_step(), hash, index));
        }
    }
    ranked.sort_unstable();
    let mut engines_by_place: Vec<usize> = ranked.into_iter().map(|place| place.3).collect();
    if let Some(missing) = missing_copies {
        engines_by_place.truncate(places_with_copies(engines, size, missing) as usize);
    }
    engines_by_place
}

/// Number of runs for which there is memory together with a copy of each.
fn places_with_copies(engines: &[EngineRoom], size: PlaceSize, missing_copies: u64) -> u64 {
    let free: u64 = engines.iter().map(|engine| engine.memory_places(size)).sum();
    let max_claimed = (free as f64 * MAX_CLAIMED_BY_COPIES) as u64;
    let places = (free - missing_copies.min(max_claimed)) / 2;
    let is_idle = engines.iter().all(|engine| engine.runs == 0);
    // An idle service serves a request also where its copy has no room.
    places.max(u64::from(is_idle).min(free))
}

/// Chooses an engine for the copy of a run, at random in proportion to the room for copies that
/// each has, so that instances that copy at the same moment spread out.
///
/// When fewer copies fit than `competing` runs want, only a part of the attempts chooses an engine, so
/// that all instances together don't fill the engines beyond their memory. The others are repeated.
pub fn copy_engine(
    engines: &[EngineRoom],
    size: PlaceSize,
    competing: u64,
    apart_from: &str,
    excluded: &[Arc<str>],
    random: &mut dyn Random,
) -> Option<usize> {
    let excluded: BTreeSet<&str> = excluded.iter().map(|id| &**id).collect();
    let is_possible =
        |engine: &EngineRoom| *engine.domain != *apart_from && !excluded.contains(&*engine.id);
    let room = |engine: &EngineRoom| {
        if is_possible(engine) { engine.memory_places(size) } else { 0 }
    };
    let total: u64 = engines.iter().map(room).sum();
    let mut drawn = random.below(total.max(competing).max(1));
    for (index, engine) in engines.iter().enumerate() {
        let room = room(engine);
        if drawn < room {
            return Some(index);
        }
        drawn -= room;
    }
    None
}
