//! The operator's patches: what one says makes of its base what it is said to make.

use std::time::Duration;

use crankpick_configuration::Patch;
use crankpick_soak::configuration::{draw, Constants, IdleTimeouts};
use crankpick_soak::patch::between;
use fastrand::Rng;
use serde_json::Value;

#[test]
fn a_drawn_patch_makes_the_document_that_the_operator_expects() {
    let mut rng = Rng::with_seed(7);
    let constants = Constants { idle_timeouts: IdleTimeouts::Drawn, resumable_retries: 2 };
    for generation in 1..200 {
        let base = draw(&mut rng, generation, constants);
        let wanted = draw(&mut rng, generation + 1, constants);
        let patched = between(&base.document, base.idle_timeout, &wanted.document);
        let patch = Patch::read(patched.patch.to_string().as_bytes()).unwrap();
        let merged = patch.apply(base.document.to_string().as_bytes()).unwrap();
        let merged: Value = serde_json::from_slice(&merged).unwrap();
        assert_eq!(merged, patched.result.document, "{}", patched.patch);
        assert_eq!(patched.result.document["limits"], base.document["limits"]);
        assert_eq!(
            patched.result.idle_timeout,
            Duration::from_millis(base.document["limits"]["idle_timeout_ms"].as_u64().unwrap())
        );
    }
}
