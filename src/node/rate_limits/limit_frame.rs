//! Frames between a VM and the holder of token buckets.

use serde::{Deserialize, Serialize};

use crate::model::ids;
use crate::node::config;

/// Asks for tokens of several workspaces.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitAsk {
    /// Version of the configuration of the VM that asks.
    pub version: config::ConfigVersion,
    /// What is asked for.
    pub asks: Vec<WorkspaceAsk>,
}

/// Asks for tokens of a workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceAsk {
    /// The workspace.
    pub workspace: ids::WorkspaceName,
    /// Tokens wanted.
    pub wanted: u32,
    /// Recent arrivals at the VM per second.
    pub demand: f64,
    /// Recently admitted operations at the VM per second.
    pub admitted: f64,
    /// Whether the VM stays in contact.
    pub keeps_rate: bool,
}

/// Answers a [`LimitAsk`], with one reply to each of its workspaces, in their order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitAnswer {
    /// The replies.
    pub replies: Vec<WorkspaceReply>,
}

/// Reply for a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum WorkspaceReply {
    /// What the holder grants.
    Grant {
        /// Tokens granted.
        granted: u32,
        /// Factor on the admitted rate of a VM that loses the holder.
        scale: f64,
        /// When to expect the next token.
        retry_after_ms: u32,
        /// Time for which no other VM can grant from the bucket.
        unreplaced_ms: u32,
    },
    /// The VM does not hold the bucket, or may not grant.
    NotValid,
}
