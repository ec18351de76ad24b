//! Records of the account stream, each with a batch of account records.

use hibiscus_types::codec;
use hibiscus_types::codec::Result;

use crate::account::AccountRecord;

/// Encodes `records` for the stream, in their order and in records of up to
/// `limit` bytes. A single account record is never split.
///
/// # Errors
///
/// Fails when a record cannot be encoded.
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
