//! Promise: the tokens of an answer show each hand-over between engines.

use siskinrock_standin::chain;

/// Hand-overs that are tried: a sampler drawn from 256 equals the one before it several times in them.
const HANDOVERS: usize = 4_000;

/// Guards against hand-overs that nobody counts: two streams of an answer had drawn the same sampler.
#[test]
fn each_stream_that_goes_on_shows_as_another_sampler() {
    let mut tokens: Vec<String> = Vec::new();
    let mut previous = chain::root("voyage");
    for index in 0..=HANDOVERS {
        let salt = chain::sampler_after(tokens.last().map(String::as_str));
        previous = chain::next(&previous, index, salt);
        tokens.push(previous.clone());
    }
    assert_eq!(chain::samplers(&tokens), HANDOVERS + 1);
    assert_eq!(chain::verify("voyage", &tokens), Ok(()));
}
