//! What an experiment file says, checked on reading.

use std::ops::Range;

use serde::Deserialize;
use toml::Spanned;

/// The most engines, instances or streams a second that a model is made for.
const MOST: u64 = 10_000;

/// A fleet, its load, and what goes wrong.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// For how long streams come.
    pub lasts_ms: Spanned<u64>,
    pub instances: Instances,
    pub engines: Engines,
    pub streams: Streams,
    #[serde(default)]
    pub faults: Vec<Spanned<Fault>>,
}

/// The instances before the engines.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instances {
    pub count: Spanned<u64>,
    /// How old their pictures of each other are at the most.
    pub news_ms: Spanned<u64>,
}

/// The engines, all alike but for their speed.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engines {
    pub domains: Spanned<u64>,
    pub per_domain: Spanned<u64>,
    /// What a step takes on each engine in turn, as a multiple of `step_ms`.
    pub slowness: Spanned<Vec<f64>>,
    pub slots: Spanned<u64>,
    pub memory_tokens: Spanned<u64>,
    /// A step makes one token of each run.
    pub step_ms: Spanned<f64>,
    /// Tokens of a prompt that are read between two steps, and how many of them in a millisecond.
    pub chunk_tokens: Spanned<u64>,
    pub prompt_tokens_per_ms: Spanned<f64>,
}

/// The streams that callers ask for.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Streams {
    pub per_second: Spanned<f64>,
    pub prompt_tokens: Spanned<u64>,
    /// The median of a log-normal distribution, and its spread.
    pub output_tokens: Spanned<u64>,
    pub output_spread: Spanned<f64>,
    /// The first event is on time within this.
    pub objective_ms: Spanned<u64>,
    /// The longest pause between events that is on time.
    pub gap_ms: Spanned<u64>,
    pub patience_ms: Spanned<u64>,
}

/// Something that goes wrong.
#[derive(Debug, Clone, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// The engines of a failure domain are lost and come back empty.
    Domain { at_ms: u64, for_ms: u64, domain: u64, part: f64, is_dark: bool },
    /// All instances are lost; their callers come back with the part of their prompts that engines
    /// still keep.
    Instances { at_ms: u64, for_ms: u64, kept_part: f64 },
}

impl Experiment {
    /// Reads an experiment; an error names file, line, field and remedy.
    pub fn read(file: &str) -> Result<Experiment, String> {
        let text = std::fs::read_to_string(file)
            .map_err(|error| format!("{file} can't be read ({error}); name an experiment file"))?;
        let read = toml::from_str::<Experiment>(&text);
        let experiment = read.map_err(|error| {
            let line = error.span().map_or(1, |span| line(&text, &span));
            let wrong = text.lines().nth(line - 1).unwrap_or_default().trim();
            format!("{file}:{line}: {}; mend '{wrong}'", error.message())
        })?;
        match experiment.fault() {
            Some((span, field, remedy)) => {
                Err(format!("{file}:{}: {field}: {remedy}", line(&text, &span)))
            }
            None => Ok(experiment),
        }
    }

    /// The first field whose value makes no sense, and what it should be.
    fn fault(&self) -> Option<(Range<usize>, &'static str, String)> {
        let Experiment { lasts_ms, instances, engines, streams, faults } = self;
        let counts = [
            ("lasts_ms", lasts_ms, 1..=600_000),
            ("instances.count", &instances.count, 1..=MOST),
            ("instances.news_ms", &instances.news_ms, 1..=10_000),
            ("engines.domains", &engines.domains, 1..=100),
            ("engines.per_domain", &engines.per_domain, 1..=MOST),
            ("engines.slots", &engines.slots, 1..=MOST),
            ("engines.memory_tokens", &engines.memory_tokens, 1..=u64::from(u32::MAX)),
            ("engines.chunk_tokens", &engines.chunk_tokens, 1..=1_000_000),
            ("streams.prompt_tokens", &streams.prompt_tokens, 1..=10_000_000),
            ("streams.output_tokens", &streams.output_tokens, 1..=10_000_000),
            ("streams.objective_ms", &streams.objective_ms, 1..=3_600_000),
            ("streams.gap_ms", &streams.gap_ms, 1..=3_600_000),
            ("streams.patience_ms", &streams.patience_ms, 1..=3_600_000),
        ];
        for (field, value, allowed) in counts {
            if !allowed.contains(value.get_ref()) {
                let (least, most) = allowed.into_inner();
                return Some((value.span(), field, format!("set it from {least} to {most}")));
            }
        }
        let rates = [
            ("engines.step_ms", &engines.step_ms),
            ("engines.prompt_tokens_per_ms", &engines.prompt_tokens_per_ms),
            ("streams.per_second", &streams.per_second),
        ];
        for (field, value) in rates {
            if !(*value.get_ref() > 0.0 && *value.get_ref() <= MOST as f64) {
                return Some((value.span(), field, format!("set it over 0 and up to {MOST}")));
            }
        }
        let slowness = &engines.slowness;
        if slowness.get_ref().is_empty()
            || slowness.get_ref().iter().any(|x| !(0.1..=10.0).contains(x))
        {
            let remedy = "list one number or more from 0.1 to 10".to_owned();
            return Some((slowness.span(), "engines.slowness", remedy));
        }
        if !(0.0..=3.0).contains(streams.output_spread.get_ref()) {
            let remedy = "set it from 0 to 3".to_owned();
            return Some((streams.output_spread.span(), "streams.output_spread", remedy));
        }
        let is_part = |part: &f64| (0.0..=1.0).contains(part);
        let is_wrong = |fault: &&Spanned<Fault>| match fault.get_ref() {
            Fault::Domain { domain, part, .. } => {
                domain >= engines.domains.get_ref() || !is_part(part)
            }
            Fault::Instances { kept_part, .. } => !is_part(kept_part),
        };
        faults.iter().find(is_wrong).map(|fault| {
            let remedy = "set parts from 0 to 1, and domains from 0 to their number less one";
            (fault.span(), "faults", remedy.to_owned())
        })
    }
}

fn line(text: &str, span: &Range<usize>) -> usize {
    text[..span.start.min(text.len())].matches('\n').count() + 1
}
