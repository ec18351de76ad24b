//! Hand-over of a stopping process's records to other instances.
//!
//! A witness has acknowledged what its appender still holds, so a planned stop
//! may not end before somebody else answers for it. While the log is out of
//! reach, live instances take the records into their own appenders. Every
//! record is idempotent, so a copy that the log had taken all the same does no
//! harm, and the order of the records is kept.

use std::time::Duration;

use hibiscus_ledger::record::LedgerRecord;
use hibiscus_ledger::witness::WitnessAnswer;

use crate::context::SharedContext;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;
use crate::witness::WitnessRequest;

/// Instances that take the records, when so many can be reached.
const COPIES: usize = 2;
/// Time that an instance may take.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Hands `records` of `shard` to other instances; false when none took them.
pub fn to_peers(context: &SharedContext, shard: u32, records: &[LedgerRecord]) -> bool {
    let instances = context.fleet.lock().instances().to_vec();
    let request = PeerRequest::Witness(WitnessRequest::HandOver {
        shard,
        records: records.to_vec(),
    });
    let mut taken = 0;
    for instance in instances {
        if instance.name == context.settings.instance.name || instance.leaving {
            continue;
        }
        let Ok(PeerReply::Witness(reply)) = request.call(context, instance.peers, TIMEOUT) else {
            continue;
        };
        if reply.answer != WitnessAnswer::Acknowledged {
            continue;
        }
        taken += 1;
        if taken == COPIES {
            return true;
        }
    }
    taken > 0
}
