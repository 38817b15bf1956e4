//! What goes into the decision core and what comes out of it.

use crate::core::arena_keys::ConnectionKey;
use crate::core::endpoint_message::{AnswerBody, EndpointOutcome, EndpointRequest};
use crate::core::peer_message::{PeerReply, PeerRequest};
use crate::core::platform_message::{PlatformReply, PlatformRequest};
use crate::core::request_verdict::RequestVerdict;
use crate::core::status_report::StatusReport;

/// The door's number for a caller's connection.
pub type CallerId = u64;
/// The core's number for a call that it awaits an answer to.
pub type CallId = u64;
/// A driver's number for a question that it awaits the core's answer to.
pub type AskId = u64;

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
        connection: ConnectionKey,
        /// Whether it is open.
        opened: bool,
    },
    /// A connection to an endpoint ended by itself.
    ConnectionEnded {
        /// The connection.
        connection: ConnectionKey,
    },
    /// An endpoint answered a call.
    EndpointAnswered {
        /// The call.
        call: CallId,
        /// The outcome.
        outcome: EndpointOutcome,
    },
    /// A peer asks.
    PeerAsked {
        /// The driver's number for the question.
        ask: AskId,
        /// The question.
        request: PeerRequest,
    },
    /// A peer answered a call, or could not be reached.
    PeerAnswered {
        /// The call.
        call: CallId,
        /// The answer; `None` when there is none.
        reply: Option<PeerReply>,
    },
    /// The platform answered a call, or could not be reached.
    PlatformAnswered {
        /// The call.
        call: CallId,
        /// The reply; `None` when it is lost, with the call's effect unknown.
        reply: Option<PlatformReply>,
    },
    /// An operator asks for the host's status.
    StatusAsked {
        /// The driver's number for the question.
        ask: AskId,
    },
    /// The process was asked to stop.
    DrainAsked,
    /// The time that the core asked to be woken at has come.
    Woken,
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
        verdict: RequestVerdict,
    },
    /// Answers a caller's statement.
    AnswerCaller {
        /// The door's number.
        caller: CallerId,
        /// The final verdict.
        verdict: RequestVerdict,
        /// The answer, for statements that ran.
        body: AnswerBody,
        /// Whether the caller is inside a transaction now.
        in_transaction: bool,
    },
    /// Ends a caller's connection once its answers are out.
    CloseCaller {
        /// The door's number.
        caller: CallerId,
        /// Why.
        verdict: RequestVerdict,
    },
    /// Opens a connection to an endpoint.
    OpenConnection {
        /// The connection's key.
        connection: ConnectionKey,
        /// Address of the endpoint.
        address: String,
    },
    /// Closes a connection; answers to its calls no longer matter.
    CloseConnection {
        /// The connection.
        connection: ConnectionKey,
    },
    /// Sends a request on a connection.
    CallEndpoint {
        /// The call.
        call: CallId,
        /// The connection.
        connection: ConnectionKey,
        /// The request.
        request: EndpointRequest,
    },
    /// Asks a peer.
    CallPeer {
        /// The call.
        call: CallId,
        /// Address of the peer.
        address: String,
        /// The question.
        request: PeerRequest,
    },
    /// Answers a peer's question.
    AnswerPeer {
        /// The driver's number for the question.
        ask: AskId,
        /// The answer.
        reply: PeerReply,
    },
    /// Calls the platform.
    CallPlatform {
        /// The call.
        call: CallId,
        /// The request.
        request: PlatformRequest,
    },
    /// Answers an operator's question for the status.
    AnswerStatus {
        /// The driver's number for the question.
        ask: AskId,
        /// The status.
        report: Box<StatusReport>,
    },
    /// All accepted work is finished; the process may stop.
    Stop,
}
