#![no_main]

#[path = "../checks.rs"]
mod checks;

libfuzzer_sys::fuzz_target!(|input: &[u8]| checks::request_framing(input));
