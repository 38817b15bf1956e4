//! What goes into the decision core and what comes out of it.

use crate::core::arena_keys;
use crate::core::endpoint_message;
use crate::core::peer_message;
use crate::core::platform_message;
use crate::core::request_verdict;
use crate::core::status_report;

/// The door's number for a caller's connection.
pub type CallerId = u64;
/// The core's number for a call that it awaits an answer to.
pub type CallId = u64;
/// A driver's number for a question that it awaits the core's answer to.
pub type RequestId = u64;

/// What happened outside the core.
#[derive(Debug)]
pub enum CoreEvent {
    /// A caller presents its account and key.
    CallerOpened {
        /// The door's number.
        caller: CallerId,
        /// The account named.
        account: String,
        /// The key presented; it is compared and forgotten.
        key: String,
        /// The service named.
        service: String,
        /// Settings given at the start, by name and value.
        settings: Vec<(String, String)>,
    },
    /// A caller's connection ended.
    CallerClosed {
        /// The door's number.
        caller: CallerId,
    },
    /// A caller sends one statement; it sends the next after the answer.
    StatementArrived {
        /// The door's number.
        caller: CallerId,
        /// The SQL text.
        text: String,
    },
    /// A connection to an endpoint was opened, or could not be.
    ConnectionOpened {
        /// The connection.
        connection: arena_keys::ConnectionKey,
        /// Whether it is open.
        opened: bool,
    },
    /// A connection to an endpoint ended by itself.
    ConnectionEnded {
        /// The connection.
        connection: arena_keys::ConnectionKey,
    },
    /// An endpoint answered a call.
    EndpointResponded {
        /// The call.
        call: CallId,
        /// The outcome.
        outcome: endpoint_message::EndpointOutcome,
    },
    /// A peer asks.
    PeerRequestReceived {
        /// The driver's number for the question.
        request_id: RequestId,
        /// The question.
        request: peer_message::PeerRequest,
    },
    /// A peer answered a call, or could not be reached.
    PeerReplied {
        /// The call.
        call: CallId,
        /// The answer; `None` when there is none.
        reply: Option<peer_message::PeerReply>,
    },
    /// The platform answered a call, or could not be reached.
    PlatformReplied {
        /// The call.
        call: CallId,
        /// The reply; `None` when it is lost, with the call's effect unknown.
        reply: Option<platform_message::PlatformReply>,
    },
    /// An operator asks for the host's status.
    StatusRequested {
        /// The driver's number for the question.
        request_id: RequestId,
    },
    /// The process was asked to stop.
    DrainRequested,
    /// The time that the core asked to be woken at has come.
    TimerFired,
}

/// What the core wants done.
#[derive(Debug)]
pub enum CoreAction {
    /// Lets a caller in.
    AdmitCaller {
        /// The door's number.
        caller: CallerId,
    },
    /// Turns a caller away.
    RefuseCaller {
        /// The door's number.
        caller: CallerId,
        /// Why.
        verdict: request_verdict::RequestVerdict,
    },
    /// Answers a caller's statement.
    RespondToCaller {
        /// The door's number.
        caller: CallerId,
        /// The final verdict.
        verdict: request_verdict::RequestVerdict,
        /// The answer, for statements that ran.
        body: endpoint_message::ResponseBody,
        /// Whether the caller is inside a transaction now.
        in_transaction: bool,
    },
    /// Ends a caller's connection once its answers are out.
    CloseCaller {
        /// The door's number.
        caller: CallerId,
        /// Why.
        verdict: request_verdict::RequestVerdict,
    },
    /// Opens a connection to an endpoint.
    OpenConnection {
        /// The connection's key.
        connection: arena_keys::ConnectionKey,
        /// Address of the endpoint.
        address: String,
    },
    /// Closes a connection; answers to its calls no longer matter.
    CloseConnection {
        /// The connection.
        connection: arena_keys::ConnectionKey,
    },
    /// Sends a request on a connection.
    CallEndpoint {
        /// The call.
        call: CallId,
        /// The connection.
        connection: arena_keys::ConnectionKey,
        /// The request.
        request: endpoint_message::EndpointRequest,
    },
    /// Asks a peer.
    CallPeer {
        /// The call.
        call: CallId,
        /// Address of the peer.
        address: String,
        /// The question.
        request: peer_message::PeerRequest,
    },
    /// Answers a peer's question.
    ReplyToPeer {
        /// The driver's number for the question.
        request_id: RequestId,
        /// The answer.
        reply: peer_message::PeerReply,
    },
    /// Calls the platform.
    CallPlatform {
        /// The call.
        call: CallId,
        /// The request.
        request: platform_message::PlatformRequest,
    },
    /// Answers an operator's question for the status.
    ReplyToStatus {
        /// The driver's number for the question.
        request_id: RequestId,
        /// The status.
        report: Box<status_report::StatusReport>,
    },
    /// All accepted work is finished; the process may stop.
    Stop,
}
