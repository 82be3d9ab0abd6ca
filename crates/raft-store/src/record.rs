//! Stored values: each carries a checksum over itself and its key.

use crate::error::{Corruption, StoreError};
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Encodes a value to be stored under `key`.
pub(crate) fn encode(key: u64, value: &impl Serialize) -> Vec<u8> {
    let bytes = postcard::to_stdvec(value).expect("plain data can be encoded");
    with_checksum(key, bytes)
}

/// Decodes the value that is stored under `key` in the table `location`.
pub(crate) fn decode<T: DeserializeOwned>(
    location: &'static str,
    key: u64,
    bytes: &[u8],
) -> Result<T, StoreError> {
    let corrupt = |found, expected| {
        Err(StoreError::Corrupt(Corruption::new(
            location, key, found, expected,
        )))
    };
    match postcard::take_from_bytes(without_checksum(location, key, bytes)?) {
        Ok((value, [])) => Ok(value),
        Ok(_) => corrupt("bytes after the value's end", "its end"),
        Err(_) => corrupt("bytes that are no value of its kind", "one"),
    }
}

/// Appends the checksum. It covers the key, so that a value under another's key is found out.
pub(crate) fn with_checksum(key: u64, mut bytes: Vec<u8>) -> Vec<u8> {
    let checksum = checksum(key, &bytes);
    bytes.extend_from_slice(&checksum);
    bytes
}

/// Verifies the checksum and returns the bytes before it.
pub(crate) fn without_checksum<'a>(
    location: &'static str,
    key: u64,
    bytes: &'a [u8],
) -> Result<&'a [u8], StoreError> {
    match bytes.split_last_chunk::<4>() {
        Some((value, last)) if *last == checksum(key, value) => Ok(value),
        _ => Err(StoreError::Corrupt(Corruption::new(
            location,
            key,
            "another checksum",
            "the value's",
        ))),
    }
}

fn checksum(key: u64, bytes: &[u8]) -> [u8; 4] {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&key.to_le_bytes());
    hasher.update(bytes);
    hasher.finalize().to_le_bytes()
}
