/** HTTP, event streams and JSON-RPC between processes. */
export {hasLeft, onClientLeave} from './clientLeave.js';
export {readWholeBody} from './wholeBody.js';
export {type ClusterKey, createClusterKey} from './clusterKey.js';
export {
  type OutgoingEvent,
  type StreamEvent,
  formatEvent,
  openEventStream,
  readEvents,
} from './eventStream.js';
export {
  type ClientAnswer,
  type ClientRequest,
  type ConnectionError,
  type HttpClient,
  type WholeAnswer,
  createHttpClient,
  splitAddress,
} from './httpClient.js';
export {
  type HttpServer,
  type HttpServerOptions,
  type ListenError,
  type ServerLimits,
  drained,
  listen,
  sendJson,
  serverLimitsSchema,
} from './httpServer.js';
export {type BodyError, type BodyLimits, readBody} from './requestBody.js';
export {
  type CallError,
  type ControlServer,
  Methods,
  type Peer,
  createControlServer,
  createPeer,
} from './rpc.js';
export {
  type EndpointAnswer,
  type EndpointClient,
  type EndpointRequest,
  type SendOutcome,
  createEndpointClient,
} from './endpointClient.js';
export {EventSplitter, type RawEvent} from './eventSplitter.js';
