//! Two deployments of the kinds that the crate is for.

use super::engine::EngineModel;
use super::traffic::{Class, Length, Site};

fn length(mean: f64, spread: f64, max: f64) -> Length {
    Length { mean, spread, max }
}

fn stream(
    name: &'static str,
    per_s: f64,
    worth: (f64, f64),
    slo_ms: f64,
    deadline_ms: f64,
    priority: u8,
) -> Class {
    Class {
        name,
        service: "llm",
        per_s,
        slo_ms,
        deadline_ms,
        gap_ms: if slo_ms >= 1000.0 { 500.0 } else { 400.0 },
        worth: worth.0,
        late_worth: worth.1,
        priority,
        again: false,
        request_bytes: 0,
        prompt: length(0.0, 0.0, 0.0),
        pieces: length(0.0, 0.0, 0.0),
        common: (length(0.0, 0.0, 0.0), 1),
        own: (length(0.0, 0.0, 0.0), 1),
        work: None,
    }
}

fn summary(of: Class, sessions: u64) -> Class {
    Class {
        request_bytes: 12_000,
        prompt: length(6610.0, 1.4, 54_600.0),
        pieces: length(54.6, 0.44, 160.0),
        common: (length(512.0, 0.4, 1280.0), 1),
        own: (length(4870.0, 0.7, 14_600.0), sessions),
        ..of
    }
}

fn answer(of: Class, common: u64, sessions: u64) -> Class {
    Class {
        request_bytes: 830,
        prompt: length(628.0, 1.0, 3310.0),
        pieces: length(41.6, 0.69, 136.0),
        common: (length(119.0, 0.4, 298.0), common),
        own: (length(79.4, 0.7, 238.0), sessions),
        ..of
    }
}

fn flag(of: Class, common: u64, sessions: u64) -> Class {
    Class {
        request_bytes: 2400,
        prompt: length(1800.0, 1.3, 6870.0),
        pieces: length(3.22, 1.4, 12.9),
        common: (length(341.0, 0.4, 851.0), common),
        own: (length(227.0, 0.7, 681.0), sessions),
        ..of
    }
}

fn lookup(name: &'static str, per_s: f64, slo_ms: f64, work: Length, late_worth: f64) -> Class {
    let of = stream(name, per_s, (1.0, late_worth), slo_ms, slo_ms * 10.0, 2);
    Class { service: "ledger", request_bytes: 600, work: Some(work), ..of }
}

/// Nine engines in four zones, dear crossings.
pub fn small() -> Site {
    let engine = EngineModel {
        slots: 64,
        kv_tokens: 528_156,
        step_ms: 3.09,
        step_ms_per_slot: 0.0165,
        context_ms_per_k: 0.00677,
        prefill_tokens_per_ms: 61.8,
        pairs_ms_per_m: 0.367,
        first_ms: 3.7,
        stride: 7,
        chunk: 4096,
    };
    let summaries = Class { again: true, ..stream("summary", 6.59, (3.0, 0.3), 1000.0, 12_000.0, 0) };
    let flags = Class { again: true, ..stream("flag", 11.0, (1.0, 0.1), 1500.0, 3000.0, 2) };
    Site {
        name: "small",
        engine,
        engines: vec![0, 0, 0, 1, 1, 2, 2, 3, 3],
        engine_conns: 350,
        workers: 4,
        worker_conns: 98,
        gateways: vec![0, 0, 0, 1, 1, 2, 2, 3, 3],
        zones: vec![9.1, 12.5, 13.0, 11.6],
        classes: vec![
            summary(summaries, 106),
            answer(stream("answer", 19.4, (2.0, 0.2), 1000.0, 12_000.0, 1), 40, 139),
            flag(flags, 40, 178),
            lookup("lookup", 9.24, 100.0, length(15.0, 0.5, 110.0), 0.1),
        ],
        cross_zone_gb: 8400.0,
        read: 0.46,
    }
}

/// Eighteen engines in four zones, twelve gateways, tight aims.
pub fn large() -> Site {
    let engine = EngineModel {
        slots: 64,
        kv_tokens: 770_776,
        step_ms: 2.97,
        step_ms_per_slot: 0.0222,
        context_ms_per_k: 0.00407,
        prefill_tokens_per_ms: 101.0,
        pairs_ms_per_m: 0.184,
        first_ms: 5.0,
        stride: 7,
        chunk: 4096,
    };
    let answers = Class { again: true, ..stream("answer", 55.3, (3.0, 1.5), 400.0, 10_000.0, 0) };
    Site {
        name: "large",
        engine,
        engines: vec![0, 0, 0, 0, 0, 1, 1, 1, 1, 1, 2, 2, 2, 2, 3, 3, 3, 3],
        engine_conns: 390,
        workers: 4,
        worker_conns: 130,
        gateways: vec![0, 0, 0, 1, 1, 1, 2, 2, 2, 3, 3, 3],
        zones: vec![49.2, 48.6, 61.0, 51.5],
        classes: vec![
            summary(stream("summary", 45.2, (2.0, 1.0), 600.0, 12_000.0, 1), 384),
            answer(answers, 8, 470),
            flag(stream("flag", 67.8, (1.0, 0.5), 400.0, 2500.0, 2), 8, 576),
            lookup("lookup", 42.1, 300.0, length(60.0, 0.5, 450.0), 0.5),
        ],
        cross_zone_gb: 1700.0,
        read: 0.33,
    }
}
