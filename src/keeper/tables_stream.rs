//! Sends the control tables to the entry and the pool on the keeper's VM.

use std::sync;

use crate::link::{link_error, program_report, server};
use crate::shared_state::keeper_state;

/// Serves one `Tables` stream: sends the tables at each change and stores the program's reports.
///
/// # Errors
///
/// Fails if the link breaks.
pub async fn serve(
    state: sync::Arc<keeper_state::KeeperState>,
    stream: server::PeerStream,
) -> Result<(), link_error::LinkError> {
    let server::PeerStream {
        peer_hello,
        mut reader,
        mut writer,
        ..
    } = stream;
    let program = peer_hello.program.clone();
    let mut tables = state.follow();
    // Tables without groups would make the program discard what it knows from an earlier keeper,
    // and tables without rules would make an entry refuse every login as unknown.
    let send = async {
        loop {
            let current = tables.borrow_and_update().clone();
            if !current.groups.is_empty() && state.rules_known() {
                writer.send(&*current).await?;
            }
            if tables.changed().await.is_err() {
                return Ok(());
            }
        }
    };
    let receive = async {
        while let Some(report) = reader.next::<program_report::ProgramReport>().await? {
            state.programs().insert(program.clone(), report);
        }
        Ok(())
    };
    tokio::select! {
        sent = send => sent,
        received = receive => received,
    }
}
