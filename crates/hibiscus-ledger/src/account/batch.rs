//! Encoding of account records into records of the stream, each of which holds
//! a batch of them.

use hibiscus_types::codec;
use hibiscus_types::codec::Result;

use crate::account::AccountRecord;

/// Encodes `records` in order into stream records of at most `limit` bytes. A
/// single account record is never split, even if it is longer.
///
/// # Errors
///
/// Fails if a record cannot be encoded.
pub fn encode(records: &[AccountRecord], limit: usize) -> Result<Vec<Vec<u8>>> {
    let mut encoded = Vec::new();
    encode_into(&mut encoded, records, limit)?;
    Ok(encoded)
}

fn encode_into(encoded: &mut Vec<Vec<u8>>, records: &[AccountRecord], limit: usize) -> Result<()> {
    let bytes = codec::encode(&records)?;
    if bytes.len() <= limit || records.len() <= 1 {
        encoded.push(bytes);
        return Ok(());
    }
    let (first, second) = records.split_at(records.len() / 2);
    encode_into(encoded, first, limit)?;
    encode_into(encoded, second, limit)
}
